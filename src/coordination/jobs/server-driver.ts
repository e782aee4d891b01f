import type { Clock } from "../../ports/clock.ts";
import type {
  BackendClock,
  JobBackend,
  OrderError,
  OrderResult,
  PollOrder,
  RunLists,
  StartOrder,
} from "../../ports/job-backend.ts";
import type { Log } from "../../ports/log.ts";
import type { RegisteredServer } from "../../protocol/fleet-config.ts";
import { inheritedLeasesLapsedAt, ServerClock } from "../../state/jobs/server-clock.ts";
import { ServerSpeed } from "../../state/jobs/server-speed.ts";
import { ServerHealth } from "../../state/jobs/server-health.ts";
import { Deferred, waitAtMost } from "../wait.ts";
import { POLL_RETRY_MS, START_VALID_MS, STOP_RETRY_MS } from "./order-timing.ts";
import type { LockTenure } from "./scheduler-lock.ts";

/** What a driver reports to the scheduler. */
export abstract class DriverListener {
  /** True if runs on the server have to be watched. */
  abstract hasRuns(server: string): boolean;
  /** Longest wait in ms for an end there, before progress should be looked at. */
  abstract pollWait(server: string): number;
  /**
   * New lists were read at a question sent at `askedAt`. Resolves true once what follows from the
   * ends is stored, so that they can be acknowledged.
   */
  abstract listsRead(driver: ServerDriver, lists: RunLists, askedAt: number): Promise<boolean>;
  /** Every run on the server has ended: it rebooted, was replaced, or its lease lapsed. */
  abstract runsLost(driver: ServerDriver, reason: "rebooted" | "gone" | "lapsed"): void;
  /** A higher fencing token was seen. */
  abstract fenced(): void;
}

/** Planned work for which a backend server takes no new tasks. */
export type ReservationReason = "maintenance" | "move" | "surplus";

/** Options of {@link ServerDriver}. */
export interface ServerDriverOptions {
  readonly backend: JobBackend;
  readonly clock: Clock;
  readonly log: Log;
  readonly tenure: LockTenure;
  readonly listener: DriverListener;
  readonly registration: RegisteredServer;
  /** Time to live of the lease given to the server, in milliseconds. */
  readonly leaseTtlMs: number;
  /** Monotonic time in ms at which this scheduler took over. */
  readonly takenOverAt: number;
}

/**
 * Drives one boot of a backend server: asks for its lists, which renews its lease, and gives orders.
 * It is adopted once it has answered under this scheduler's token; from then on it refuses every
 * order of a former scheduler.
 */
export class ServerDriver {
  readonly health = new ServerHealth();
  readonly speed = new ServerSpeed();
  adopted = false;
  /** Monotonic time in ms at which it was first seen draining; undefined if it is not. */
  drainingSince: number | undefined;
  /** No longer registered: it takes no new tasks, but what runs there may go on. */
  absent = false;
  readonly #reservations = new Set<ReservationReason>();
  /** Its instance belongs to a maintenance wave and is still to be maintained. */
  maintenanceAhead = false;
  /** Monotonic time in ms before which it takes no new tasks, after it refused one. */
  notBefore = 0;
  #registration: RegisteredServer;
  readonly #options: ServerDriverOptions;
  readonly #time = new ServerClock();
  readonly #closed = new AbortController();
  #wake = new Deferred<void>();
  #awake = true;
  #acknowledged = 0;
  #acknowledgedThere = 0;
  #failures = 0;

  constructor(options: ServerDriverOptions) {
    this.#options = options;
    this.#registration = options.registration;
    if (options.registration.draining) this.drainingSince = options.clock.now();
  }

  get id(): string {
    return this.#registration.id;
  }

  get bootedAt(): number {
    return this.#registration.bootedAt;
  }

  get registration(): RegisteredServer {
    return this.#registration;
  }

  /** True while it takes no new tasks because of planned work. */
  get reserved(): boolean {
    return this.#reservations.size > 0;
  }

  /** True if it is reserved for one of the given reasons. */
  hasReservation(...reasons: readonly ReservationReason[]): boolean {
    return reasons.some((reason) => this.#reservations.has(reason));
  }

  /** Keeps new tasks away for planned work. */
  reserve(reason: ReservationReason): void {
    this.#reservations.add(reason);
  }

  /** Ends a reservation. */
  release(reason: ReservationReason): void {
    this.#reservations.delete(reason);
  }

  get closed(): boolean {
    return this.#closed.signal.aborted;
  }

  /** True if the last question was answered. */
  get reachable(): boolean {
    return this.#failures === 0;
  }

  /** Takes over a newer registration of the same boot. */
  updateRegistration(registration: RegisteredServer): void {
    this.#registration = registration;
    if (registration.draining) this.drainingSince ??= this.#options.clock.now();
    else this.drainingSince = undefined;
    this.absent = false;
    this.requestPoll();
  }

  /** Has the lists read if something may have changed. */
  requestPoll(): void {
    this.#awake = true;
    this.#wake.resolve();
  }

  close(): void {
    this.#closed.abort();
    this.requestPoll();
  }

  /** Asks for lists until closed. */
  async run(): Promise<void> {
    const { clock, tenure, listener } = this.#options;
    while (!this.closed) {
      if (this.#idle() && !this.#awake) {
        await this.#wake.promise;
        continue;
      }
      this.#awake = false;
      this.#wake = new Deferred();
      if (!tenure.valid) await clock.sleep(POLL_RETRY_MS, this.#closed.signal);
      else if (!this.#idle()) await this.#poll();
      if (this.#lapsed()) listener.runsLost(this, "lapsed");
    }
  }

  /**
   * Orders a start, by default on the own connection to the server. The reply is outstanding for a
   * short time only, as its deadline is close.
   */
  async start(
    order: Omit<StartOrder, "token" | "deadlineMs">,
    send: (order: StartOrder) => OrderResult<BackendClock> = (whole) =>
      this.#options.backend.start(whole),
  ): OrderResult<BackendClock> {
    const { clock, tenure } = this.#options;
    const deadlineMs = this.#time.issueDeadline(clock.now(), START_VALID_MS) ?? 0;
    const result = await send({ ...order, token: tenure.token, deadlineMs });
    if (result.ok) this.#time.addReading({ clockMs: result.val.clockMs, receivedAt: clock.now() });
    else this.#refused(result.val);
    return result;
  }

  /** Orders a stop until it is acknowledged or the server is gone. */
  async stop(task: string, run: number): Promise<void> {
    const { clock, backend, tenure, log } = this.#options;
    for (let attempt = 0; !this.closed; attempt++) {
      if (tenure.valid) {
        const result = await backend.stop({ task, run, token: tenure.token });
        if (result.ok) break;
        if (attempt === 0) log.warn({ server: this.id, task, run, err: result.val }, "stop failed");
        this.#refused(result.val);
      }
      await clock.sleep(STOP_RETRY_MS, this.#closed.signal);
    }
    this.requestPoll();
  }

  /** Orders the speed of a run, in percent. */
  async pace(task: string, run: number, percent: number): Promise<boolean> {
    const { backend, tenure } = this.#options;
    if (!tenure.valid) return false;
    const result = await backend.pace({ task, run, percent, token: tenure.token });
    if (result.err) this.#refused(result.val);
    return result.ok;
  }

  #idle(): boolean {
    // A silent server is asked until it answers, also when nothing runs there any more.
    if (!this.adopted || !this.reachable) return false;
    if (this.#acknowledged > this.#acknowledgedThere) return false;
    return !this.#options.listener.hasRuns(this.id);
  }

  async #poll(): Promise<void> {
    const { backend, clock, leaseTtlMs } = this.#options;
    const askedAt = clock.now();
    // A silent server gets no more time, so that its lease certainly lapses.
    const deadlineMs = this.reachable ? this.#time.issueDeadline(askedAt, leaseTtlMs) : undefined;
    const acknowledged = this.#acknowledged;
    const waitMs = this.#pollWait();
    const order: PollOrder = { ...this.#order(), deadlineMs, acknowledged, waitMs };
    const result = await backend.poll(order);
    if (this.closed) return;
    if (result.err) {
      await this.#pollFailed(result.val);
      return;
    }
    this.#acknowledgedThere = acknowledged;
    await this.#take(result.val, askedAt);
  }

  #pollWait(): number {
    if (!this.adopted || this.#failures > 0) return 0;
    return this.#options.listener.pollWait(this.id);
  }

  #order(): { readonly token: number } {
    return { token: this.#options.tenure.token };
  }

  async #take(lists: RunLists, askedAt: number): Promise<void> {
    const { clock, log, listener } = this.#options;
    if (this.#failures > 0) log.info({ server: this.id }, "backend server answers again");
    this.#failures = 0;
    if (lists.bootedAt !== undefined && lists.bootedAt !== this.bootedAt) {
      listener.runsLost(this, "rebooted");
      return;
    }
    this.#time.addReading({ clockMs: lists.clockMs, receivedAt: clock.now() });
    this.adopted = true;
    const last = lists.ended.at(-1)?.sequence;
    const stored = listener.listsRead(this, lists, askedAt);
    // While the store does not answer, the lease still has to be renewed.
    const durable = await waitAtMost(clock, stored, POLL_RETRY_MS);
    if (durable === true && last !== undefined) this.#acknowledged = last;
  }

  async #pollFailed(err: OrderError): Promise<void> {
    const { clock, log } = this.#options;
    if (this.#failures === 0) log.warn({ server: this.id, err }, "backend server does not answer");
    this.#failures++;
    this.#refused(err);
    if (this.closed) return;
    await clock.sleep(POLL_RETRY_MS, this.#closed.signal);
  }

  #refused(err: OrderError): void {
    const { listener } = this.#options;
    if (err.kind === "fenced") listener.fenced();
    if (err.kind === "gone" && !this.closed) listener.runsLost(this, "gone");
  }

  #lapsed(): boolean {
    if (this.reachable || this.closed) return false;
    const { clock, takenOverAt, leaseTtlMs } = this.#options;
    const inherited = inheritedLeasesLapsedAt(takenOverAt, leaseTtlMs);
    return clock.now() > Math.max(inherited, this.#time.lapsedAt() ?? 0);
  }
}
