/** In-memory clients with latency and faults, and a clock that can be paused. */
import { Err } from "ts-results";
import type { BackendResult, BackendServer } from "../../src/platform/backend-server.ts";
import { Clock, type Timer } from "../../src/platform/clock.ts";
import type { KeyValueService } from "../../src/platform/key-value-service.ts";
import type { Random } from "../../src/platform/random.ts";
import { InterceptedBackend, InterceptedKeyValue, type KvResult } from "./intercepted.ts";

/** A clock whose callbacks wait while its process is paused; time goes on. */
export class PausableClock extends Clock {
  readonly #inner: Clock;
  readonly #waiting = new Set<() => void>();
  paused = false;

  constructor(inner: Clock) {
    super();
    this.#inner = inner;
  }

  now(): number {
    return this.#inner.now();
  }

  wallTime(): number {
    return this.#inner.wallTime();
  }

  schedule(delayMs: number, callback: () => void): Timer {
    let cancelled = false;
    const timer = this.#inner.schedule(delayMs, () => {
      const run = (): void => {
        if (!cancelled) callback();
      };
      if (this.paused) this.#waiting.add(run);
      else run();
    });
    return {
      cancel: () => {
        cancelled = true;
        timer.cancel();
      },
    };
  }

  /** Resolves at once unless paused, else on resumption. */
  running(): Promise<void> {
    return this.paused ? new Promise((resolve) => this.#waiting.add(resolve)) : Promise.resolve();
  }

  resume(): void {
    this.paused = false;
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    for (const run of waiting) run();
  }
}

/** Faults of one link. */
export interface Link {
  down: boolean;
  /** Probability that a request takes effect but its reply is lost. */
  lostReplies: number;
  /** Probability that a request takes effect long after its caller gave up. */
  delayed: number;
}

export function newLink(): Link {
  return { down: false, lostReplies: 0, delayed: 0 };
}

/** Options of the faulty clients. */
export interface LinkOptions {
  readonly link: Link;
  /** Clock of the world, which is never paused. */
  readonly world: Clock;
  readonly clock: PausableClock;
  readonly random: Random;
}

const CALL_TIMEOUT_MS = 300;
const DELAYED_MS = 3000;

interface Failure {
  readonly kind: "unreachable" | "ambiguous";
}

/** Carries a call over a link: latency, loss of the reply, delayed arrival. */
export async function carry<T>(
  { link, world, clock, random }: LinkOptions,
  call: () => Promise<T>,
): Promise<T | Failure> {
  if (link.down) {
    await clock.sleep(20);
    await clock.running();
    return { kind: "unreachable" };
  }
  const [lost, delayed] = [random.next() < link.lostReplies, random.next() < link.delayed];
  if (delayed) void world.sleep(DELAYED_MS * (0.5 + random.next())).then(call);
  else await world.sleep(0.5 + random.next());
  const reply = delayed ? undefined : await call();
  if (reply === undefined || lost) {
    await clock.sleep(CALL_TIMEOUT_MS);
    await clock.running();
    return { kind: "ambiguous" };
  }
  await world.sleep(0.5 + random.next());
  await clock.running();
  return reply;
}

function isFailure(reply: unknown): reply is Failure {
  return typeof reply === "object" && reply !== null && "kind" in reply;
}

/** Key-value client of one entry. */
export class LinkedKeyValue extends InterceptedKeyValue {
  readonly #inner: KeyValueService;
  readonly #options: LinkOptions;

  constructor(inner: KeyValueService, options: LinkOptions) {
    super();
    this.#inner = inner;
    this.#options = options;
  }

  protected async intercept<T>(call: (service: KeyValueService) => KvResult<T>): KvResult<T> {
    const reply = await carry(this.#options, () => call(this.#inner));
    if (!isFailure(reply)) return reply;
    const kind = reply.kind === "unreachable" ? "unavailable" : "ambiguous";
    return Err({ kind, detail: "simulated fault" });
  }
}

/** Backend client of one entry. */
export class LinkedBackend extends InterceptedBackend {
  readonly #inner: BackendServer;
  readonly #options: LinkOptions;

  constructor(inner: BackendServer, options: LinkOptions) {
    super();
    this.#inner = inner;
    this.#options = options;
  }

  protected async intercept<T>(
    call: (server: BackendServer) => BackendResult<T>,
  ): Promise<Awaited<BackendResult<T>>> {
    const reply = await carry(this.#options, () => call(this.#inner));
    return isFailure(reply) ? Err({ kind: reply.kind, detail: "simulated fault" }) : reply;
  }
}
