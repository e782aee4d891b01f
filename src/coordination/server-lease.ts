/** The lease on one backend server: acquisition, renewal, adoption of its tasks and release. */
import { Err, Ok, type Result } from "ts-results";
import type {
  BackendError,
  BackendServer,
  LeaseGrant,
  TaskRecord,
  TaskRef,
  TaskSpec,
} from "../ports/backend-server.ts";
import type { Clock } from "../ports/clock.ts";
import type { Random } from "../ports/random.ts";
import { taskKey, type TaskCharges } from "../state/task-charges.ts";
import { ServerTasks } from "../state/server-tasks.ts";
import { isValid, type LeaseCoverage, type Validity } from "./lease-coverage.ts";
import type { Counters, StartError, TaskStatus } from "./ports.ts";
import { notStartedReason, stateAfterStartError } from "./start-outcome.ts";
import { isTermLost, newLeaseTerm, type LeaseTerm } from "./lease-term.ts";

/** Fraction of the time to live that a holder relies on; the rest allows for clock drift. */
const VALID_FRACTION = 0.9;
/** Renewal interval as a fraction of the time to live. */
const RENEW_FRACTION = 1 / 3;
const RETRY_DELAY_MS = 200;
/** Interval at which unacknowledged finished tasks are announced again. */
const ANNOUNCE_INTERVAL_MS = 2000;
/** Maximum wait for in-flight starts before a release. */
const SETTLE_TIMEOUT_MS = 1500;

/** Options of {@link ServerLease}. */
export interface ServerLeaseOptions {
  readonly name: string;
  readonly backend: BackendServer;
  readonly incarnation: string;
  readonly leaseTtlMs: number;
  readonly resultRetentionMs: number;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly coverage: LeaseCoverage;
  readonly charges: TaskCharges;
  readonly onFinished: (record: TaskRecord) => void;
  readonly onLeaving: () => void;
  readonly onChange: () => void;
}

/** Keeps the lease of one server once {@link tryHold} has acquired it. One object per server. */
export class ServerLease {
  readonly tasks: ServerTasks;
  readonly #options: ServerLeaseOptions;
  #term: LeaseTerm | undefined;
  #closed = false;
  #releasing = false;
  #release: Promise<void> | undefined;
  #leaving = false;

  constructor(options: ServerLeaseOptions) {
    this.#options = options;
    this.tasks = new ServerTasks(options);
  }

  get backend(): BackendServer {
    return this.#options.backend;
  }

  /** Id of the lease while it is valid by this entry's clocks and the server's tasks are known. */
  get leaseId(): string | undefined {
    const term = this.#term;
    if (term?.adopted !== true || !isValid(this.#options.clock, term.validity)) return undefined;
    return term.leaseId;
  }

  /** True while a lease is held, even if the server's tasks have not been read yet. */
  get held(): boolean {
    return this.#term !== undefined && isValid(this.#options.clock, this.#term.validity);
  }

  get leaving(): boolean {
    return this.#leaving;
  }

  get releasing(): boolean {
    return this.#releasing;
  }

  /** Remaining validity in milliseconds; 0 without a {@link leaseId} or during a release. */
  get validMs(): number {
    if (this.leaseId === undefined || this.#releasing) return 0;
    return Math.max(0, (this.#term?.validity.until ?? 0) - this.#options.clock.now());
  }

  /** Monotonic time in milliseconds since which the server is held; infinite if it is not. */
  get heldSince(): number {
    return this.#term?.startedAt ?? Infinity;
  }

  /** Time in milliseconds since the uninterrupted hold of the server began; 0 if not held. */
  get heldForMs(): number {
    return this.#term === undefined ? 0 : this.#options.clock.now() - this.#term.startedAt;
  }

  /**
   * Tries once to acquire the lease and, if granted, keeps it until it is lost or released.
   * Returns the error if it was not granted.
   */
  async tryHold(): Promise<BackendError | undefined> {
    const grant = await this.#acquire();
    if (!grant.ok) return grant.val;
    const { validity, leaseId, bootId } = grant.val;
    const { clock, coverage, name, backend } = this.#options;
    if (this.#closed) {
      await backend.releaseLease(leaseId);
      return undefined;
    }
    const term = newLeaseTerm(clock.now(), leaseId, validity);
    this.#term = term;
    this.#releasing = false;
    this.#leaving = false;
    coverage.extend(name, validity);
    await this.#adopt(term, bootId);
    this.#options.onChange();
    // Not awaited, because a poll may stay open long after the lease is lost.
    void this.#pollLoop(term);
    await this.#renewLoop(term);
    coverage.drop(name);
    await this.#release;
    this.#options.onChange();
    return undefined;
  }

  /** Releases the lease permanently; a lease still being acquired is released once granted. */
  close(successor: string | undefined): Promise<void> {
    this.#closed = true;
    return this.release(successor);
  }

  /** Stops dispatch, waits for in-flight starts and releases the lease. */
  async release(successor: string | undefined): Promise<void> {
    const term = this.#term;
    if (term === undefined || this.#releasing) return;
    this.#releasing = true;
    this.#options.onChange();
    this.#release = this.#handOver(term, successor);
    await this.#release;
  }

  async #handOver(term: LeaseTerm, successor: string | undefined): Promise<void> {
    const { clock, coverage, name, backend } = this.#options;
    const end = clock.now() + SETTLE_TIMEOUT_MS;
    while (this.tasks.starting > 0 && clock.now() < end) await clock.sleep(20, term.lost.signal);
    coverage.drop(name);
    this.#endTerm(term);
    await backend.releaseLease(term.leaseId, successor);
  }

  /** Starts a task. The caller has checked that the server is dispatchable. */
  async start(spec: TaskSpec): Promise<Result<void, StartError>> {
    const leaseId = this.leaseId;
    if (leaseId === undefined || this.#releasing) {
      return Err({ kind: "not-started", reason: "lease_lapsed" });
    }
    const known = this.tasks.status(spec);
    if (known === "running" || known === "finished") return Err({ kind: "ambiguous" });
    this.tasks.beginStart(spec);
    this.#options.charges.recordPlacement(spec, this.#options.name, this.tasks.bootId);
    const reply = await this.#options.backend.startTask(leaseId, spec);
    const outcome = reply.ok ? Ok(undefined) : this.#startError(leaseId, reply.val);
    if (!outcome.ok && outcome.val.kind === "ambiguous") this.#term?.renewNow.abort();
    this.tasks.settleStart(spec, outcome.ok ? "running" : stateAfterStartError(outcome.val));
    this.#options.onChange();
    return outcome;
  }

  async stop(ref: TaskRef, how: "stop" | "checkpoint"): Promise<void> {
    const leaseId = this.leaseId;
    if (leaseId === undefined) return;
    const { backend } = this.#options;
    await (how === "stop" ? backend.stopTask(leaseId, ref) : backend.checkpointTask(leaseId, ref));
  }

  async acknowledge(ref: TaskRef): Promise<void> {
    const leaseId = this.leaseId;
    if (leaseId === undefined) return;
    const reply = await this.#options.backend.acknowledgeTask(leaseId, ref);
    if (reply.ok) this.tasks.forgetAcknowledged(ref);
  }

  /** True if the server itself lists no task under the current lease. */
  async listsNoTasks(): Promise<boolean> {
    const leaseId = this.leaseId;
    if (leaseId === undefined) return false;
    const reply = await this.#options.backend.listTasks(leaseId);
    if (!reply.ok) return false;
    this.tasks.dropUnlistedFinished(reply.val);
    return reply.val.length === 0 && leaseId === this.leaseId;
  }

  /**
   * Status of a task for another entry, undefined if the server is not held. For a task unknown to
   * this entry, the server itself is queried under the current lease: it may have been rebooted and
   * acquired by the requesting entry in the meantime, whose task this entry cannot know.
   */
  async confirmedStatus(ref: TaskRef): Promise<TaskStatus | undefined> {
    const leaseId = this.leaseId;
    if (leaseId === undefined) return undefined;
    const known = this.tasks.status(ref);
    if (known !== undefined) return known;
    const reply = await this.#options.backend.listTasks(leaseId);
    if (!reply.ok) return undefined;
    const record = reply.val.find((one) => taskKey(one) === taskKey(ref));
    return record?.state ?? "lost";
  }

  async #acquire(): Promise<Result<LeaseGrant & { readonly validity: Validity }, BackendError>> {
    const { backend, incarnation, leaseTtlMs } = this.#options;
    const validity = this.#validityFromNow();
    const reply = await backend.acquireLease(incarnation, leaseTtlMs);
    return reply.ok ? Ok({ ...reply.val, validity }) : Err(reply.val);
  }

  /** Reads the server's tasks. Nothing is dispatched until that succeeds. */
  async #adopt(term: LeaseTerm, bootId: string): Promise<boolean> {
    const { clock, backend, charges, name } = this.#options;
    while (!isTermLost(term) && isValid(clock, term.validity)) {
      const leaseId = term.leaseId;
      const reply = await backend.listTasks(leaseId);
      if (reply.ok) {
        if (this.#term !== term || leaseId !== term.leaseId) return false;
        charges.endChargesOfOtherBoots(name, bootId);
        for (const ref of this.tasks.reconcile(reply.val, bootId)) charges.endCharge(ref);
        term.adopted = true;
        for (const record of reply.val) if (record.state === "finished") this.#announce(record);
        return true;
      }
      if (reply.val.kind === "lease-lapsed") return false;
      await clock.sleep(RETRY_DELAY_MS, term.lost.signal);
    }
    return false;
  }

  async #renewLoop(term: LeaseTerm): Promise<void> {
    const { clock, leaseTtlMs } = this.#options;
    // Without the task list nothing can be dispatched, so the lease is left to other entries.
    if (!term.adopted) this.#endTerm(term);
    await this.#pause(term, leaseTtlMs * RENEW_FRACTION);
    while (!isTermLost(term) && isValid(clock, term.validity)) {
      const uncertain = this.tasks.uncertain > 0 && this.tasks.starting === 0;
      const ok = await (uncertain ? this.#reacquire(term) : this.#renew(term));
      for (const record of this.tasks.takeUnacknowledged(ANNOUNCE_INTERVAL_MS))
        this.#announce(record);
      const retrySoon = !ok || this.tasks.uncertain > 0;
      await this.#pause(term, retrySoon ? RETRY_DELAY_MS : leaseTtlMs * RENEW_FRACTION);
    }
    this.#endTerm(term);
  }

  /** Waits between renewals. Ends early if a start must be resolved or the lease is lost. */
  async #pause(term: LeaseTerm, ms: number): Promise<void> {
    const signal = AbortSignal.any([term.lost.signal, term.renewNow.signal]);
    await this.#options.clock.sleep(ms, signal);
    term.renewNow = new AbortController();
  }

  async #renew(term: LeaseTerm): Promise<boolean> {
    const { backend, leaseTtlMs } = this.#options;
    const leaseId = term.leaseId;
    const validity = this.#validityFromNow();
    const reply = await backend.renewLease(leaseId, leaseTtlMs);
    if (isTermLost(term) || leaseId !== term.leaseId) return true;
    if (reply.ok) {
      this.#extend(term, validity);
      term.events.recordRenewal(
        reply.val.next,
        this.#options.clock.now(),
        leaseTtlMs * RENEW_FRACTION,
      );
    } else if (reply.val.kind === "lease-lapsed") this.#endTerm(term);
    return reply.ok;
  }

  /**
   * Replaces the current lease by a new one, so that starts without a complete reply are either
   * listed by the server or can no longer take effect.
   */
  async #reacquire(term: LeaseTerm): Promise<boolean> {
    term.adopted = false;
    this.#options.onChange();
    const grant = await this.#acquire();
    if (isTermLost(term)) return false;
    if (!grant.ok) {
      // If a new lease was granted and only the reply was lost, the server refuses the old lease.
      const renewed = await this.#renew(term);
      if (renewed) term.adopted = true;
      return false;
    }
    // If validity was interrupted, another entry may have held the server in between.
    if (!isValid(this.#options.clock, term.validity) || grant.val.bootId !== this.tasks.bootId) {
      this.#endTerm(term);
      return false;
    }
    term.leaseId = grant.val.leaseId;
    this.#extend(term, grant.val.validity);
    const adopted = await this.#adopt(term, grant.val.bootId);
    if (!adopted) this.#endTerm(term);
    this.#options.onChange();
    return adopted;
  }

  async #pollLoop(term: LeaseTerm): Promise<void> {
    const { clock, backend, charges } = this.#options;
    const { events } = term;
    const { signal } = term.lost;
    while (!isTermLost(term)) {
      const leaseId = term.leaseId;
      const poll = backend.pollEvents(leaseId, events.delivered, events.pollWaitMs);
      const reply = await events.replyOrLoss(poll, signal);
      if (isTermLost(term)) return;
      if (reply === undefined) continue;
      if (!reply.ok) {
        const lapsed = reply.val.kind === "lease-lapsed" && leaseId === term.leaseId;
        if (lapsed && term.adopted) this.#endTerm(term);
        await clock.sleep(RETRY_DELAY_MS, signal);
        continue;
      }
      events.advance(reply.val.next);
      for (const record of this.tasks.recordFinished(reply.val.finished)) this.#announce(record);
      for (const record of reply.val.finished) charges.endCharge(record);
      if (reply.val.leaving) this.#markLeaving();
    }
  }

  #startError(leaseId: string, err: BackendError): Result<void, StartError> {
    if (err.kind === "lease-lapsed" || err.kind === "held") {
      if (this.#term?.leaseId === leaseId) this.#endTerm(this.#term);
    }
    if (err.kind === "leaving") this.#markLeaving();
    const reason = notStartedReason(err);
    return Err(reason === undefined ? { kind: "ambiguous" } : { kind: "not-started", reason });
  }

  #announce(record: TaskRecord): void {
    this.#options.charges.endCharge(record);
    this.#options.onFinished(record);
    this.#options.onChange();
  }

  #markLeaving(): void {
    if (this.#leaving) return;
    this.#leaving = true;
    this.#options.onLeaving();
    this.#options.onChange();
  }

  #extend(term: LeaseTerm, validity: Validity): void {
    term.validity = validity;
    this.#options.coverage.extend(this.#options.name, validity);
  }

  #endTerm(term: LeaseTerm): void {
    term.lost.abort();
    if (this.#term === term) this.#term = undefined;
  }

  #validityFromNow(): Validity {
    const { clock, leaseTtlMs } = this.#options;
    const validMs = leaseTtlMs * VALID_FRACTION;
    return { until: clock.now() + validMs, wallUntil: clock.wallTime() + validMs };
  }
}
