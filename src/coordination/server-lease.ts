/** The lease on one backend server: granted, renewed, adopted, released. One task per server. */
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
import { notStartedReason, outcomeOf } from "./start-outcome.ts";
import { isTermLost, newLeaseTerm, type LeaseTerm } from "./lease-term.ts";

/** Part of the time to live that a holder relies on; the rest allows for clock drift. */
const VALID_PART = 0.9;
/** Interval of renewals as a part of the time to live. */
const RENEW_PART = 1 / 3;
const RETRY_MS = 200;
/** Interval at which finished tasks that nobody acknowledged are announced again. */
const ANNOUNCE_MS = 2000;
/** Longest wait for starts on their way before a release. */
const SETTLE_MS = 1500;

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

/** Holds the lease of one server while asked to. */
export class ServerLease {
  readonly tasks: ServerTasks;
  readonly #options: ServerLeaseOptions;
  #tenure: LeaseTerm | undefined;
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

  /** Id of the lease while it is valid by this entry's clocks and the tasks are known. */
  get leaseId(): string | undefined {
    const tenure = this.#tenure;
    if (tenure?.adopted !== true || !isValid(this.#options.clock, tenure.validity))
      return undefined;
    return tenure.leaseId;
  }

  /** True while a lease is held, even if the tasks were not read yet. */
  get held(): boolean {
    return this.#tenure !== undefined && isValid(this.#options.clock, this.#tenure.validity);
  }

  get leaving(): boolean {
    return this.#leaving;
  }

  get releasing(): boolean {
    return this.#releasing;
  }

  /** Remaining validity in milliseconds, 0 if not held. */
  get validMs(): number {
    if (this.leaseId === undefined || this.#releasing) return 0;
    return Math.max(0, (this.#tenure?.validity.until ?? 0) - this.#options.clock.now());
  }

  /** Monotonic time in milliseconds since which the server is held; infinite if it is not. */
  get heldSince(): number {
    return this.#tenure?.startedAt ?? Infinity;
  }

  /** Time in milliseconds since the lease was first granted without a break since. */
  get heldForMs(): number {
    return this.#tenure === undefined ? 0 : this.#options.clock.now() - this.#tenure.startedAt;
  }

  /**
   * Tries once to acquire the lease, and if granted keeps it until it is lost or released.
   * Returns why it was not granted.
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
    const tenure = newLeaseTerm(clock.now(), leaseId, validity);
    this.#tenure = tenure;
    this.#releasing = false;
    this.#leaving = false;
    coverage.extend(name, validity);
    await this.#adopt(tenure, bootId);
    this.#options.onChange();
    // A poll may wait long after the lease is lost, so it is not waited for.
    void this.#pollLoop(tenure);
    await this.#renewLoop(tenure);
    coverage.drop(name);
    await this.#release;
    this.#options.onChange();
    return undefined;
  }

  /** Releases the lease for good; one that is being acquired meanwhile is given up at once. */
  close(successor: string | undefined): Promise<void> {
    this.#closed = true;
    return this.release(successor);
  }

  /** Stops dispatch, waits for starts on their way and gives the lease up. */
  async release(successor: string | undefined): Promise<void> {
    const tenure = this.#tenure;
    if (tenure === undefined || this.#releasing) return;
    this.#releasing = true;
    this.#options.onChange();
    this.#release = this.#handOver(tenure, successor);
    await this.#release;
  }

  async #handOver(tenure: LeaseTerm, successor: string | undefined): Promise<void> {
    const { clock, coverage, name, backend } = this.#options;
    const end = clock.now() + SETTLE_MS;
    while (this.tasks.starting > 0 && clock.now() < end) await clock.sleep(20, tenure.lost.signal);
    coverage.drop(name);
    this.#end(tenure);
    await backend.releaseLease(tenure.leaseId, successor);
  }

  /** Starts a task; the caller has checked that the server may be dispatched to. */
  async start(spec: TaskSpec): Promise<Result<void, StartError>> {
    const leaseId = this.leaseId;
    if (leaseId === undefined || this.#releasing) {
      return Err({ kind: "not-started", reason: "lease_lapsed" });
    }
    const known = this.tasks.status(spec);
    if (known === "running" || known === "finished") return Err({ kind: "ambiguous" });
    this.tasks.begin(spec);
    this.#options.charges.placed(spec, this.#options.name, this.tasks.bootId);
    const reply = await this.#options.backend.startTask(leaseId, spec);
    const outcome = reply.ok ? Ok(undefined) : this.#startError(leaseId, reply.val);
    if (!outcome.ok && outcome.val.kind === "ambiguous") this.#tenure?.renewNow.abort();
    this.tasks.settleStart(spec, outcome.ok ? "running" : outcomeOf(outcome.val));
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
    if (reply.ok) this.tasks.acknowledged(ref);
  }

  /** True if the server itself lists no task under the present lease. */
  async listsNoTasks(): Promise<boolean> {
    const leaseId = this.leaseId;
    if (leaseId === undefined) return false;
    const reply = await this.#options.backend.listTasks(leaseId);
    if (!reply.ok) return false;
    this.tasks.dropUnlistedFinished(reply.val);
    return reply.val.length === 0 && leaseId === this.leaseId;
  }

  /**
   * Status of a task for another entry, undefined if the server is not held. For a task that is not
   * known here the server itself is asked under the present lease: it may have been rebooted and
   * acquired by the asker meanwhile, whose task this entry cannot know.
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

  /** Reads the server's tasks; until that succeeds, nothing is dispatched. */
  async #adopt(tenure: LeaseTerm, bootId: string): Promise<boolean> {
    const { clock, backend, charges, name } = this.#options;
    while (!isTermLost(tenure) && isValid(clock, tenure.validity)) {
      const leaseId = tenure.leaseId;
      const reply = await backend.listTasks(leaseId);
      if (reply.ok) {
        if (this.#tenure !== tenure || leaseId !== tenure.leaseId) return false;
        charges.endChargesOfOtherBoots(name, bootId);
        for (const ref of this.tasks.reconcile(reply.val, bootId)) charges.ended(ref);
        tenure.adopted = true;
        for (const record of reply.val) if (record.state === "finished") this.#announce(record);
        return true;
      }
      if (reply.val.kind === "lease-lapsed") return false;
      await clock.sleep(RETRY_MS, tenure.lost.signal);
    }
    return false;
  }

  async #renewLoop(tenure: LeaseTerm): Promise<void> {
    const { clock, leaseTtlMs } = this.#options;
    // Nothing can be dispatched without the task list, so another entry may try.
    if (!tenure.adopted) this.#end(tenure);
    await this.#pause(tenure, leaseTtlMs * RENEW_PART);
    while (!isTermLost(tenure) && isValid(clock, tenure.validity)) {
      const uncertain = this.tasks.uncertain > 0 && this.tasks.starting === 0;
      const ok = await (uncertain ? this.#reacquire(tenure) : this.#renew(tenure));
      for (const record of this.tasks.takeUnacknowledged(ANNOUNCE_MS)) this.#announce(record);
      const soon = !ok || this.tasks.uncertain > 0;
      await this.#pause(tenure, soon ? RETRY_MS : leaseTtlMs * RENEW_PART);
    }
    this.#end(tenure);
  }

  /** Waits between renewals; ends early when a start needs to be resolved or the lease is lost. */
  async #pause(tenure: LeaseTerm, ms: number): Promise<void> {
    const signal = AbortSignal.any([tenure.lost.signal, tenure.renewNow.signal]);
    await this.#options.clock.sleep(ms, signal);
    tenure.renewNow = new AbortController();
  }

  async #renew(tenure: LeaseTerm): Promise<boolean> {
    const { backend, leaseTtlMs } = this.#options;
    const leaseId = tenure.leaseId;
    const validity = this.#validityFromNow();
    const reply = await backend.renewLease(leaseId, leaseTtlMs);
    if (isTermLost(tenure) || leaseId !== tenure.leaseId) return true;
    if (reply.ok) {
      this.#extend(tenure, validity);
      tenure.events.recordRenewal(
        reply.val.next,
        this.#options.clock.now(),
        leaseTtlMs * RENEW_PART,
      );
    } else if (reply.val.kind === "lease-lapsed") this.#end(tenure);
    return reply.ok;
  }

  /**
   * Takes a new lease in place of the present one, so that starts without a whole reply are either
   * listed or can no longer take effect.
   */
  async #reacquire(tenure: LeaseTerm): Promise<boolean> {
    tenure.adopted = false;
    this.#options.onChange();
    const grant = await this.#acquire();
    if (isTermLost(tenure)) return false;
    if (!grant.ok) {
      // The reply may be lost after a new lease was granted; the old one is then refused.
      const kept = await this.#renew(tenure);
      if (kept) tenure.adopted = true;
      return false;
    }
    // Without unbroken validity another entry may have held the server in between.
    if (!isValid(this.#options.clock, tenure.validity) || grant.val.bootId !== this.tasks.bootId) {
      this.#end(tenure);
      return false;
    }
    tenure.leaseId = grant.val.leaseId;
    this.#extend(tenure, grant.val.validity);
    const adopted = await this.#adopt(tenure, grant.val.bootId);
    if (!adopted) this.#end(tenure);
    this.#options.onChange();
    return adopted;
  }

  async #pollLoop(tenure: LeaseTerm): Promise<void> {
    const { clock, backend, charges } = this.#options;
    const { events } = tenure;
    const { signal } = tenure.lost;
    while (!isTermLost(tenure)) {
      const leaseId = tenure.leaseId;
      const poll = backend.pollEvents(leaseId, events.delivered, events.pollWaitMs);
      const reply = await events.replyOrLoss(poll, signal);
      if (isTermLost(tenure)) return;
      if (reply === undefined) continue;
      if (!reply.ok) {
        const lapsed = reply.val.kind === "lease-lapsed" && leaseId === tenure.leaseId;
        if (lapsed && tenure.adopted) this.#end(tenure);
        await clock.sleep(RETRY_MS, signal);
        continue;
      }
      events.advance(reply.val.next);
      for (const record of this.tasks.finish(reply.val.finished)) this.#announce(record);
      for (const record of reply.val.finished) charges.ended(record);
      if (reply.val.leaving) this.#leave();
    }
  }

  #startError(leaseId: string, err: BackendError): Result<void, StartError> {
    if (err.kind === "lease-lapsed" || err.kind === "held") {
      if (this.#tenure?.leaseId === leaseId) this.#end(this.#tenure);
    }
    if (err.kind === "leaving") this.#leave();
    const reason = notStartedReason(err);
    return Err(reason === undefined ? { kind: "ambiguous" } : { kind: "not-started", reason });
  }

  #announce(record: TaskRecord): void {
    this.#options.charges.ended(record);
    this.#options.onFinished(record);
    this.#options.onChange();
  }

  #leave(): void {
    if (this.#leaving) return;
    this.#leaving = true;
    this.#options.onLeaving();
    this.#options.onChange();
  }

  #extend(tenure: LeaseTerm, validity: Validity): void {
    tenure.validity = validity;
    this.#options.coverage.extend(this.#options.name, validity);
  }

  #end(tenure: LeaseTerm): void {
    tenure.lost.abort();
    if (this.#tenure === tenure) this.#tenure = undefined;
  }

  #validityFromNow(): Validity {
    const { clock, leaseTtlMs } = this.#options;
    const validMs = leaseTtlMs * VALID_PART;
    return { until: clock.now() + validMs, wallUntil: clock.wallTime() + validMs };
  }
}
