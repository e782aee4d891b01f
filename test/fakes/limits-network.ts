/** In-memory clients with latency and injected faults. */
import { Err } from "ts-results";
import type { BackendResult, BackendServer } from "../../src/ports/backend-server.ts";
import type { Clock } from "../../src/ports/clock.ts";
import type { KeyValueService } from "../../src/ports/key-value-service.ts";
import type { Random } from "../../src/ports/random.ts";
import { InterceptedBackend, InterceptedKeyValue, type KvResult } from "./intercepted.ts";
import type { ProcessClock } from "./process-gate.ts";

/** Faults that tests inject into one link. */
export interface Link {
  down: boolean;
  /** Probability that a request takes effect but its reply is lost. */
  lostReplyProbability: number;
  /** Probability that a request takes effect long after its caller timed out. */
  delayProbability: number;
}

export function newLink(): Link {
  return { down: false, lostReplyProbability: 0, delayProbability: 0 };
}

/** Options of the faulty clients. */
export interface LinkOptions {
  readonly link: Link;
  /** Clock of the simulation, which is never paused. */
  readonly baseClock: Clock;
  readonly clock: ProcessClock;
  readonly random: Random;
}

const CALL_TIMEOUT_MS = 300;
const MEAN_DELAY_MS = 3000;

interface Failure {
  readonly kind: "unreachable" | "ambiguous";
}

/** Makes a call over a link with latency, lost replies and delayed delivery. */
export async function callOverLink<T>(
  { link, baseClock, clock, random }: LinkOptions,
  call: () => Promise<T>,
): Promise<T | Failure> {
  if (link.down) {
    await clock.sleep(20);
    await clock.untilRunning();
    return { kind: "unreachable" };
  }
  const [lost, delayed] = [
    random.next() < link.lostReplyProbability,
    random.next() < link.delayProbability,
  ];
  if (delayed) void baseClock.sleep(MEAN_DELAY_MS * (0.5 + random.next())).then(call);
  else await baseClock.sleep(0.5 + random.next());
  const reply = delayed ? undefined : await call();
  if (reply === undefined || lost) {
    await clock.sleep(CALL_TIMEOUT_MS);
    await clock.untilRunning();
    return { kind: "ambiguous" };
  }
  await baseClock.sleep(0.5 + random.next());
  await clock.untilRunning();
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
    const reply = await callOverLink(this.#options, () => call(this.#inner));
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
    const reply = await callOverLink(this.#options, () => call(this.#inner));
    return isFailure(reply) ? Err({ kind: reply.kind, detail: "simulated fault" }) : reply;
  }
}
