/** In-memory clients with latency and faults. */
import { Err } from "ts-results";
import type { BackendResult, BackendServer } from "../../src/ports/backend-server.ts";
import type { Clock } from "../../src/ports/clock.ts";
import type { KeyValueService } from "../../src/ports/key-value-service.ts";
import type { Random } from "../../src/ports/random.ts";
import { InterceptedBackend, InterceptedKeyValue, type KvResult } from "./intercepted.ts";
import type { ProcessClock } from "./process-gate.ts";

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
  readonly clock: ProcessClock;
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
