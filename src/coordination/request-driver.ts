import type { TaskRef, TaskResult } from "../ports/backend-server.ts";
import type { RequestState } from "../protocol/peer-messages.ts";
import type { RequestRecord } from "../state/request-record.ts";
import type { RequestTable } from "../state/request-table.ts";
import { AttemptOutcomes, lostState, type AttemptOutcomesOptions } from "./attempt-outcomes.ts";
import type { AttemptEnd, AttemptTracker, PossibleStart } from "./attempt-tracker.ts";
import type { DispatchHandle } from "./dispatcher.ts";
import { ownerMovingState } from "./refused-states.ts";
import type { Budgets, HeldServers, RequestOwnership, Peers } from "./ports.ts";
import { Deferred, waitAtMost } from "./wait.ts";
import type { WithdrawReason } from "./work.ts";

/** Interval at which a request checks whether its hash slot has been moved. */
const OWNER_CHECK_MS = 100;
const STOP_CALL_TIMEOUT_MS = 1000;

/** Options of {@link RequestDriver}. */
export interface RequestDriverOptions extends AttemptOutcomesOptions {
  readonly table: RequestTable;
  readonly tracker: AttemptTracker;
  readonly budgets: Budgets;
  readonly held: HeldServers;
  readonly ownership: RequestOwnership;
  readonly peers: Peers;
}

/** A request whose loop runs, with its current attempt. */
interface ActiveRequest {
  /** Latest attempt that may have started; results of other attempts are ignored. */
  ref: TaskRef | undefined;
  result: Deferred<AttemptEnd>;
  /** True from dispatch until it is known whether the attempt started. */
  dispatching: boolean;
  handle: DispatchHandle | undefined;
  /** Set while the attempt may be running. */
  possibleStart: PossibleStart | undefined;
}

/** Drives each owned request from acceptance to its outcome, with one loop per request. */
export class RequestDriver {
  readonly #options: RequestDriverOptions;
  readonly #outcomes: AttemptOutcomes;
  readonly #active = new Map<string, ActiveRequest>();

  constructor(options: RequestDriverOptions) {
    this.#options = options;
    this.#outcomes = new AttemptOutcomes(options);
  }

  /** Number of requests without an outcome. */
  get activeCount(): number {
    return this.#active.size;
  }

  /** Number of requests that wait for a start or a retry, or were imported while running. */
  get unstartedCount(): number {
    return [...this.#active.values()].filter((active) => active.possibleStart === undefined).length;
  }

  /** Starts the loop of a new record. */
  begin(record: RequestRecord): void {
    this.#options.retryBudget.recordRequest(this.#options.clock.now());
    void this.#run(record);
  }

  /** Accepts a result; false if no attempt with this number is pending. */
  deliver(ref: TaskRef, server: string, result: TaskResult): boolean {
    const active = this.#active.get(ref.requestId);
    if (active?.ref?.attempt !== ref.attempt) return false;
    active.result.resolve({ kind: "result", server, result });
    return true;
  }

  /** Removes a queued request, or requests a stop of its running attempt. */
  cancel(record: RequestRecord): void {
    record.cancelRequested = true;
    const active = this.#active.get(record.requestId);
    active?.handle?.withdraw("cancelled");
    if (active?.possibleStart !== undefined) void this.#stop(active.possibleStart);
  }

  /** Resumes a pending request from its former owner, once this entry owns its id. */
  beginImported(record: RequestRecord): void {
    void this.#run(record);
  }

  /**
   * Takes a pending request out of the queue because it may move to another owner. It continues
   * here if its id keeps its owner. Undefined if it is being started, so that it cannot move now.
   */
  suspend(record: RequestRecord): "started" | "queued" | undefined {
    const active = this.#active.get(record.requestId);
    if (active?.dispatching === true)
      return active.handle?.withdraw("moved") === true ? "queued" : undefined;
    return active?.possibleStart === undefined ? "queued" : "started";
  }

  /** Ends the loop of a request that now has another owner. */
  endForMovedOwner(record: RequestRecord): void {
    this.#active.get(record.requestId)?.result.resolve({ kind: "moved" });
  }

  /** Withdraws every request that is still queued. */
  withdrawQueued(reason: WithdrawReason): void {
    for (const active of this.#active.values()) active.handle?.withdraw(reason);
  }

  async #run(record: RequestRecord): Promise<void> {
    const active: ActiveRequest = {
      ref: undefined,
      result: new Deferred(),
      dispatching: false,
      handle: undefined,
      possibleStart: undefined,
    };
    this.#active.set(record.requestId, active);
    let state: RequestState | undefined;
    if (record.imported === true) state = await this.#resume(record, active);
    while (state === undefined) state = await this.#attempt(record, active);
    // A later import of the same id has its own entry in the map.
    if (this.#active.get(record.requestId) === active) this.#active.delete(record.requestId);
    const { table, counters, clock } = this.#options;
    counters.duration("request", clock.wallTime() - record.acceptedAt);
    table.finish(record, state);
  }

  /** Queues the request once and follows the attempt; undefined if it must be retried. */
  async #attempt(record: RequestRecord, active: ActiveRequest): Promise<RequestState | undefined> {
    if (!(await this.#waitForOwnership(record, active))) return ownerMovingState();
    if (isCancelled(record)) return this.#outcomes.withdrawnState(record, "cancelled");
    active.dispatching = true;
    const handle = this.#dispatch(record, active);
    active.handle = handle;
    const early = active.result.promise;
    const outcome = await Promise.race([handle.outcome, early]);
    active.handle = undefined;
    active.dispatching = false;
    if (outcome.kind === "withdrawn")
      return outcome.reason === "moved"
        ? undefined
        : this.#outcomes.withdrawnState(record, outcome.reason);
    if (outcome.kind === "declined") return undefined;
    if (outcome.kind !== "started" && outcome.kind !== "ambiguous") {
      handle.withdraw("cancelled");
      return this.#afterAttempt(record, active, outcome);
    }
    active.possibleStart = outcome;
    const { counters, clock } = this.#options;
    counters.duration(`start_wait_${record.priority}`, clock.wallTime() - record.acceptedAt);
    record.state = { kind: "pending", started: true };
    if (isCancelled(record)) void this.#stop(outcome);
    const end = await this.#options.tracker.waitForEnd(outcome, early, record);
    active.possibleStart = undefined;
    if (end.kind === "never-started") this.#releaseLocalCharge(record, outcome);
    return this.#afterAttempt(record, active, end);
  }

  /** Waits while the id's hash slot is being moved; false if another entry owns it afterwards. */
  async #waitForOwnership(record: RequestRecord, active: ActiveRequest): Promise<boolean> {
    const { ownership, clock } = this.#options;
    for (;;) {
      const { kind } = ownership.lookup(record.requestId);
      if (kind === "self") return true;
      if (kind !== "moving") return false;
      const end = await waitAtMost(clock, active.result.promise, OWNER_CHECK_MS);
      if (end?.kind === "moved") return false;
    }
  }

  /** Waits until this entry owns an imported request, then for an attempt already running. */
  async #resume(record: RequestRecord, active: ActiveRequest): Promise<RequestState | undefined> {
    const { ownership, clock, table, tracker } = this.#options;
    const started = record.state.kind === "pending" && record.state.started;
    // The result may arrive as soon as this entry is the owner.
    if (started) active.ref = { requestId: record.requestId, attempt: record.attempt };
    while (ownership.lookup(record.requestId).kind !== "self") {
      if (table.find(record.requestId) !== record) return ownerMovingState();
      await clock.sleep(OWNER_CHECK_MS);
    }
    // An id that is not fresh shows that the move failed and the slot was taken over later; the
    // former owner may have run the request in between.
    if (!record.idempotent && ownership.classify(record.requestId) !== "fresh") return lostState();
    if (!started) return undefined;
    const end = await tracker.waitForResult(active.result.promise, record.deadline);
    return this.#afterAttempt(record, active, end);
  }

  #dispatch(record: RequestRecord, active: ActiveRequest): DispatchHandle {
    const { clock, dispatcher, peers } = this.#options;
    const { requestId, team, queue, priority, idempotent, payload } = record;
    if (payload === undefined) throw new Error("cannot dispatch a request without a body");
    const timeoutMs = record.deadline - clock.now();
    return dispatcher.dispatch({
      spec: { requestId, team, queue, priority, idempotent, timeoutMs, payload },
      owner: peers.self.incarnation,
      acceptedAt: clock.now() - (clock.wallTime() - record.acceptedAt),
      expiresAt: record.deadline,
      avoid: record.failures.map((failure) => failure.server),
      offered: false,
      nextRef: () => {
        const ref = { requestId, attempt: ++record.attempt };
        // From here on, a result of an earlier attempt is ignored, since this one may start.
        active.ref = ref;
        return ref;
      },
    });
  }

  async #afterAttempt(
    record: RequestRecord,
    active: ActiveRequest,
    end: AttemptEnd,
  ): Promise<RequestState | undefined> {
    if (end.kind === "never-started") {
      this.#options.counters.retry("never_started");
      return record.cancelRequested
        ? this.#outcomes.withdrawnState(record, "cancelled")
        : undefined;
    }
    if (end.kind === "moved") return ownerMovingState();
    active.result = new Deferred();
    active.ref = undefined;
    record.runs++;
    if (end.kind === "lost") return this.#outcomes.handleLoss(record);
    return this.#outcomes.handleResult(record, end.server, end.result);
  }

  #releaseLocalCharge(record: RequestRecord, outcome: PossibleStart): void {
    const { peers, budgets } = this.#options;
    if (record.team !== undefined && outcome.holder === peers.self.incarnation)
      budgets.release(record.team, outcome.ref);
  }

  async #stop(possibleStart: PossibleStart): Promise<void> {
    const { held, peers } = this.#options;
    const { server, ref, holder } = possibleStart;
    if (server !== undefined && held.status(server, ref) !== "not-holder")
      await held.stop(server, ref, "stop");
    else if (holder !== peers.self.incarnation)
      await peers.call(holder, { type: "run-cancel", ...ref }, STOP_CALL_TIMEOUT_MS);
  }
}

/** A function call prevents type narrowing: the flag changes between two awaits of one loop. */
function isCancelled(record: RequestRecord): boolean {
  return record.cancelRequested;
}
