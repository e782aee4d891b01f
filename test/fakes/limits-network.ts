/** In-memory clients with latency and faults, and a clock that can be paused. */
import { Err, type Result } from "ts-results";
import { BackendServer, type BackendError } from "../../src/platform/backend-server.ts";
import { Clock, type Timer } from "../../src/platform/clock.ts";
import {
  KeyValueService,
  type KvDelete,
  type KvError,
  type KvPut,
  type KvWatch,
} from "../../src/platform/key-value-service.ts";
import type { Random } from "../../src/platform/random.ts";

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
export class LinkedKeyValue extends KeyValueService {
  readonly #inner: KeyValueService;
  readonly #options: LinkOptions;

  constructor(inner: KeyValueService, options: LinkOptions) {
    super();
    this.#inner = inner;
    this.#options = options;
  }

  get = (key: string) => this.#carry(() => this.#inner.get(key));
  list = (prefix: string) => this.#carry(() => this.#inner.list(prefix));
  put = (put: KvPut) => this.#carry(() => this.#inner.put(put));
  delete = (del: KvDelete) => this.#carry(() => this.#inner.delete(del));
  watch = (watch: KvWatch) => this.#carry(() => this.#inner.watch(watch));
  grantLease = (ttlMs: number) => this.#carry(() => this.#inner.grantLease(ttlMs));
  renewLease = (leaseId: string) => this.#carry(() => this.#inner.renewLease(leaseId));
  revokeLease = (leaseId: string) => this.#carry(() => this.#inner.revokeLease(leaseId));

  async #carry<T>(call: () => Promise<Result<T, KvError>>): Promise<Result<T, KvError>> {
    const reply = await carry(this.#options, call);
    if (!isFailure(reply)) return reply;
    const kind = reply.kind === "unreachable" ? "unavailable" : "ambiguous";
    return Err({ kind, detail: "simulated fault" });
  }
}

/** Backend client of one entry. */
export class LinkedBackend extends BackendServer {
  readonly #inner: BackendServer;
  readonly #options: LinkOptions;

  constructor(inner: BackendServer, options: LinkOptions) {
    super();
    this.#inner = inner;
    this.#options = options;
  }

  acquireLease: BackendServer["acquireLease"] = (...args) =>
    this.#carry(() => this.#inner.acquireLease(...args));
  renewLease: BackendServer["renewLease"] = (...args) =>
    this.#carry(() => this.#inner.renewLease(...args));
  releaseLease: BackendServer["releaseLease"] = (...args) =>
    this.#carry(() => this.#inner.releaseLease(...args));
  startTask: BackendServer["startTask"] = (...args) =>
    this.#carry(() => this.#inner.startTask(...args));
  listTasks: BackendServer["listTasks"] = (...args) =>
    this.#carry(() => this.#inner.listTasks(...args));
  pollEvents: BackendServer["pollEvents"] = (...args) =>
    this.#carry(() => this.#inner.pollEvents(...args));
  stopTask: BackendServer["stopTask"] = (...args) =>
    this.#carry(() => this.#inner.stopTask(...args));
  checkpointTask: BackendServer["checkpointTask"] = (...args) =>
    this.#carry(() => this.#inner.checkpointTask(...args));
  acknowledgeTask: BackendServer["acknowledgeTask"] = (...args) =>
    this.#carry(() => this.#inner.acknowledgeTask(...args));
  reboot: BackendServer["reboot"] = (...args) => this.#carry(() => this.#inner.reboot(...args));

  async #carry<T>(call: () => Promise<Result<T, BackendError>>): Promise<Result<T, BackendError>> {
    const reply = await carry(this.#options, call);
    return isFailure(reply) ? Err({ kind: reply.kind, detail: "simulated fault" }) : reply;
  }
}
