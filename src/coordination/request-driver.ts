import type { TaskRef, TaskResult } from "../ports/backend-server.ts";
import type { RequestState } from "../protocol/peer-messages.ts";
import type { RequestRecord } from "../state/request-record.ts";
import type { RequestTable } from "../state/request-table.ts";
import { AttemptOutcomes, lostState, type AttemptOutcomesOptions } from "./attempt-outcomes.ts";
import type { AttemptEnd, AttemptTracker, PossibleStart } from "./attempt-tracker.ts";
import type { Ticket } from "./dispatcher.ts";
import { ownerMoving } from "./refused-states.ts";
import type { Budgets, HeldServers, Homes, Peers } from "./ports.ts";
import { Deferred, waitAtMost } from "./wait.ts";
import type { WithdrawReason } from "./work.ts";

/** How often a request looks whether its home slot has been moved. */
const HOME_CHECK_MS = 100;
const STOP_CALL_TIMEOUT_MS = 1000;

/** Options of {@link RequestDriver}. */
export interface RequestDriverOptions extends AttemptOutcomesOptions {
  readonly table: RequestTable;
  readonly tracker: AttemptTracker;
  readonly budgets: Budgets;
  readonly held: HeldServers;
  readonly homes: Homes;
  readonly peers: Peers;
}

interface Active {
  ref: TaskRef | undefined;
  result: Deferred<AttemptEnd>;
  /** From the hand-over to the dispatcher until it is known whether the attempt started. */
  dispatching: boolean;
  ticket: Ticket | undefined;
  place: PossibleStart | undefined;
}

/** Takes each request of this home from acceptance to its outcome, one loop per request. */
export class RequestDriver {
  readonly #options: RequestDriverOptions;
  readonly #outcomes: AttemptOutcomes;
  readonly #active = new Map<string, Active>();

  constructor(options: RequestDriverOptions) {
    this.#options = options;
    this.#outcomes = new AttemptOutcomes(options);
  }

  /** Requests without an outcome. */
  get active(): number {
    return this.#active.size;
  }

  /** Requests that have not started. */
  get unstarted(): number {
    return [...this.#active.values()].filter((active) => active.place === undefined).length;
  }

  /** Starts the loop of a new record. */
  begin(record: RequestRecord): void {
    this.#options.retryBudget.recordRequest(this.#options.clock.now());
    void this.#run(record);
  }

  /** Takes a result; false if no attempt with this number is awaited. */
  deliver(ref: TaskRef, server: string, result: TaskResult): boolean {
    const active = this.#active.get(ref.requestId);
    if (active?.ref?.attempt !== ref.attempt) return false;
    active.result.resolve({ kind: "result", server, result });
    return true;
  }

  /** Removes a queued request, or asks for its running attempt to be stopped. */
  cancel(record: RequestRecord): void {
    record.cancelRequested = true;
    const active = this.#active.get(record.requestId);
    active?.ticket?.withdraw("cancelled");
    if (active?.place !== undefined) void this.#stop(active.place);
  }

  /** Takes over a pending request from its former home, once its id's home is here. */
  adopt(record: RequestRecord): void {
    void this.#run(record);
  }

  /**
   * Takes a pending request out of the queue because it may move to another home. It goes on here
   * if its id's home stays. Undefined if it is being started, so that it cannot move now.
   */
  suspend(record: RequestRecord): "started" | "queued" | undefined {
    const active = this.#active.get(record.requestId);
    if (active?.dispatching === true)
      return active.ticket?.withdraw("moved") === true ? "queued" : undefined;
    return active?.place === undefined ? "queued" : "started";
  }

  /** Ends the loop of a request that has another home by now. */
  ownerMoved(record: RequestRecord): void {
    this.#active.get(record.requestId)?.result.resolve({ kind: "moved" });
  }

  /** Refuses every request that has not started. */
  withdrawQueued(reason: WithdrawReason): void {
    for (const active of this.#active.values()) active.ticket?.withdraw(reason);
  }

  async #run(record: RequestRecord): Promise<void> {
    const active: Active = {
      ref: undefined,
      result: new Deferred(),
      dispatching: false,
      ticket: undefined,
      place: undefined,
    };
    this.#active.set(record.requestId, active);
    let state: RequestState | undefined;
    if (record.imported === true) state = await this.#resume(record, active);
    while (state === undefined) state = await this.#attempt(record, active);
    // A later import of the same id has an entry of its own.
    if (this.#active.get(record.requestId) === active) this.#active.delete(record.requestId);
    const { table, counters, clock } = this.#options;
    counters.duration("request", clock.wallTime() - record.acceptedAt);
    table.finish(record, state);
  }

  /** One stay in the queue and what followed; undefined if the request is to be tried again. */
  async #attempt(record: RequestRecord, active: Active): Promise<RequestState | undefined> {
    if (!(await this.#isHome(record, active))) return ownerMoving();
    if (isCancelled(record)) return this.#outcomes.withdrawn(record, "cancelled");
    active.dispatching = true;
    const ticket = this.#dispatch(record, active);
    active.ticket = ticket;
    const early = active.result.promise;
    const outcome = await Promise.race([ticket.outcome, early]);
    active.ticket = undefined;
    active.dispatching = false;
    if (outcome.kind === "withdrawn")
      return outcome.reason === "moved"
        ? undefined
        : this.#outcomes.withdrawn(record, outcome.reason);
    if (outcome.kind === "declined") return undefined;
    if (outcome.kind !== "started" && outcome.kind !== "ambiguous") {
      ticket.withdraw("cancelled");
      return this.#ended(record, active, outcome);
    }
    active.place = outcome;
    const { counters, clock } = this.#options;
    counters.duration(`start_wait_${record.priority}`, clock.wallTime() - record.acceptedAt);
    record.state = { kind: "pending", started: true };
    if (isCancelled(record)) void this.#stop(outcome);
    const end = await this.#options.tracker.waitForEnd(outcome, early, record);
    active.place = undefined;
    if (end.kind === "never-started") this.#releaseOwn(record, outcome);
    return this.#ended(record, active, end);
  }

  /** Waits while the id's home slot is being moved; false if the home is elsewhere afterwards. */
  async #isHome(record: RequestRecord, active: Active): Promise<boolean> {
    const { homes, clock } = this.#options;
    for (;;) {
      const { kind } = homes.lookup(record.requestId);
      if (kind === "self") return true;
      if (kind !== "moving") return false;
      const end = await waitAtMost(clock, active.result.promise, HOME_CHECK_MS);
      if (end?.kind === "moved") return false;
    }
  }

  /** Waits until an imported request's home is here, then for an attempt that already runs. */
  async #resume(record: RequestRecord, active: Active): Promise<RequestState | undefined> {
    const { homes, clock, table, tracker } = this.#options;
    const started = record.state.kind === "pending" && record.state.started;
    // The result may arrive as soon as the home is here.
    if (started) active.ref = { requestId: record.requestId, attempt: record.attempt };
    while (homes.lookup(record.requestId).kind !== "self") {
      if (table.find(record.requestId) !== record) return ownerMoving();
      await clock.sleep(HOME_CHECK_MS);
    }
    // The move failed and the slot was taken over later: the former home may have gone on.
    if (!record.idempotent && homes.classify(record.requestId) !== "fresh") return lostState();
    if (!started) return undefined;
    const end = await tracker.waitForResult(active.result.promise, record.deadline);
    return this.#ended(record, active, end);
  }

  #dispatch(record: RequestRecord, active: Active): Ticket {
    const { clock, dispatcher, peers } = this.#options;
    const { requestId, team, queue, priority, idempotent, payload } = record;
    if (payload === undefined) throw new Error("a request without its body cannot be dispatched");
    const timeoutMs = record.deadline - clock.now();
    return dispatcher.dispatch({
      spec: { requestId, team, queue, priority, idempotent, timeoutMs, payload },
      home: peers.self.incarnation,
      acceptedAt: clock.now() - (clock.wallTime() - record.acceptedAt),
      expiresAt: record.deadline,
      avoid: record.failures.map((failure) => failure.server),
      offered: false,
      nextRef: () => {
        const ref = { requestId, attempt: ++record.attempt };
        // A result of an earlier attempt no longer counts once another may have started.
        active.ref = ref;
        return ref;
      },
    });
  }

  async #ended(
    record: RequestRecord,
    active: Active,
    end: AttemptEnd,
  ): Promise<RequestState | undefined> {
    if (end.kind === "never-started") {
      this.#options.counters.retry("never_started");
      return record.cancelRequested ? this.#outcomes.withdrawn(record, "cancelled") : undefined;
    }
    if (end.kind === "moved") return ownerMoving();
    active.result = new Deferred();
    active.ref = undefined;
    record.runs++;
    if (end.kind === "lost") return this.#outcomes.lost(record);
    return this.#outcomes.result(record, end.server, end.result);
  }

  #releaseOwn(record: RequestRecord, outcome: PossibleStart): void {
    const { peers, budgets } = this.#options;
    if (record.team !== undefined && outcome.holder === peers.self.incarnation)
      budgets.release(record.team, outcome.ref);
  }

  async #stop(place: PossibleStart): Promise<void> {
    const { held, peers } = this.#options;
    const { server, ref, holder } = place;
    if (server !== undefined && held.status(server, ref) !== "not-holder")
      await held.stop(server, ref, "stop");
    else if (holder !== peers.self.incarnation)
      await peers.call(holder, { type: "run-cancel", ...ref }, STOP_CALL_TIMEOUT_MS);
  }
}

/** A function, because the flag changes between two awaits of one loop. */
function isCancelled(record: RequestRecord): boolean {
  return record.cancelRequested;
}
