import type { Clock } from "../ports/clock.ts";
import type { TaskRef, TaskResult } from "../ports/backend-server.ts";
import type { RequestSpec, RequestState } from "../protocol/peer-messages.ts";
import type { RanState } from "../protocol/refusal.ts";
import { idCreationTime } from "../state/id-creation-time.ts";
import {
  isRetryAllowed,
  newRecord,
  payloadDigest,
  type RequestRecord,
} from "../state/request-record.ts";
import type { RequestTable } from "../state/request-table.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { Counters, FinishedTask, RequestOwnership } from "./ports.ts";
import { ownerMovingState, stateOfResult, refusedState } from "./refused-states.ts";
import type { RequestDriver } from "./request-driver.ts";

const RETRY_AFTER_MS = 1000;
/** Limit in bytes on bodies of requests without an outcome; an entry has about 128 MB in all. */
const MAX_PENDING_BYTES = 48 * 1024 * 1024;

/** Options of {@link OwnedRequests}. */
export interface OwnedRequestsOptions {
  readonly clock: Clock;
  readonly table: RequestTable;
  readonly driver: RequestDriver;
  readonly dispatcher: Dispatcher;
  readonly ownership: RequestOwnership;
  readonly counters: Counters;
}

/** Where a request's id came from. */
export type IdOrigin = "issued-now" | "caller";

/** The requests that this entry owns: admission, lookup, cancellation and results. */
export class OwnedRequests {
  readonly #options: OwnedRequestsOptions;
  #stopping = false;

  constructor(options: OwnedRequestsOptions) {
    this.#options = options;
  }

  /** Refuses new requests from now on; known ones can still be queried. */
  stop(): void {
    this.#stopping = true;
  }

  /** Accepts a request, or returns the record already known under its id, or a refusal. */
  submit(spec: RequestSpec, origin: IdOrigin): RequestRecord | RequestState {
    const { table } = this.#options;
    const known = table.find(spec.requestId);
    if (known !== undefined) {
      const differs = known.digest !== undefined && known.digest !== payloadDigest(spec.payload);
      if (differs || known.team !== spec.team || known.queue !== spec.queue)
        return refusedState("id_body_mismatch", "Another request was made under this id.", "no");
      if (!isRetryAllowed(known)) return known;
    }
    const refusal = this.#refusal(spec, origin, known);
    return refusal ?? this.#accept(spec, origin, known);
  }

  /** Record of a request, if the team may see it. Requests of open queues are visible to all. */
  find(requestId: string, team: string | undefined): RequestRecord | undefined {
    const record = this.#options.table.find(requestId);
    return record !== undefined && maySee(record, team) ? record : undefined;
  }

  /** True if there is a record of the id, whatever its team. */
  hasRecord(requestId: string): boolean {
    return this.#options.table.find(requestId) !== undefined;
  }

  cancel(record: RequestRecord): void {
    if (record.state.kind === "pending") this.#options.driver.cancel(record);
  }

  /** Waits for the outcome of a request, at most `waitMs`. */
  wait(record: RequestRecord, waitMs: number): Promise<RequestState> {
    return this.#options.table.wait(record, waitMs);
  }

  /** Accepts a result from the holder of its server; drops it if it matches no attempt. */
  deliver(ref: TaskRef, server: string, result: TaskResult): void {
    const { table, driver, counters } = this.#options;
    if (driver.deliver(ref, server, result)) return;
    const record = table.find(ref.requestId);
    if (record?.attempt === ref.attempt && hasUnknownOutcome(record.state)) {
      counters.event("result_after_unknown");
      table.finish(record, stateOfResult(result));
    } else counters.event("result_unmatched");
  }

  /** Stores a result for an id that this entry took over without a record from its former owner. */
  storeResultOfFormerOwner({ record: task }: FinishedTask): void {
    const { table, clock } = this.#options;
    const { result } = task;
    if (result === undefined || table.find(task.requestId) !== undefined) return;
    const record: RequestRecord = {
      requestId: task.requestId,
      team: task.team,
      queue: task.queue,
      priority: task.priority,
      idempotent: task.idempotent,
      digest: undefined,
      acceptedAt: clock.wallTime(),
      deadline: clock.now(),
      pinned: !task.idempotent,
      payload: undefined,
      state: { kind: "pending", started: true },
      attempt: task.attempt,
      runs: 1,
      ran: "yes",
      cancelRequested: false,
      failures: [],
    };
    table.add(record);
    table.finish(record, stateOfResult(result));
  }

  #accept(spec: RequestSpec, origin: IdOrigin, known: RequestRecord | undefined): RequestRecord {
    const { clock, table, driver } = this.#options;
    const at = { wallTime: clock.wallTime(), now: clock.now() };
    const record = newRecord(spec, at, origin === "caller" && !spec.idempotent);
    // Attempt numbers continue, so that a result of an earlier attempt matches no new attempt.
    record.attempt = known?.attempt ?? 0;
    table.add(record);
    driver.begin(record);
    return record;
  }

  #refusal(
    spec: RequestSpec,
    origin: IdOrigin,
    known: RequestRecord | undefined,
  ): RequestState | undefined {
    const ran: RanState = known?.ran ?? "no";
    // An imported record does not show what the former owner did after a failed move.
    if (origin === "caller" && (known === undefined || known.imported === true)) {
      const refusal = this.#idRefusal(spec);
      if (refusal !== undefined) return refusal;
    }
    if (this.#stopping)
      return refusedState("stopping", "The entry instance shuts down.", ran, RETRY_AFTER_MS);
    const bytes = this.#options.table.pendingBytes + spec.payload.body.byteLength;
    if (bytes > MAX_PENDING_BYTES)
      return refusedState("overload", "Too many requests are queued.", ran, RETRY_AFTER_MS);
    const wait = this.#options.dispatcher.expectedWait(spec.queue, spec.team, spec.priority);
    if (wait > spec.timeoutMs) {
      const detail = `The expected wait of ${Math.round(wait)} ms exceeds the deadline.`;
      return refusedState("overload", detail, ran, Math.max(RETRY_AFTER_MS, wait - spec.timeoutMs));
    }
    return undefined;
  }

  #idRefusal(spec: RequestSpec): RequestState | undefined {
    const { ownership, table } = this.#options;
    const idStatus = ownership.classify(spec.requestId);
    if (idStatus === "not-home") return ownerMovingState();
    if (idStatus === "from-future")
      return refusedState("id_from_future", "The id's creation time is in the future.", "no");
    if (idStatus === "too-old" || this.#mayBeEvicted(spec.requestId))
      return refusedState(
        "id_too_old",
        "The id is too old to know whether it was used.",
        "unknown",
      );
    if (!spec.idempotent && !table.canAddPinned()) {
      this.#options.counters.event("id_memory_full");
      const detail = "The memory for idempotency keys is full.";
      return refusedState("id_memory_full", detail, "no", RETRY_AFTER_MS);
    }
    return undefined;
  }

  /** True if an issued id's record may have been evicted, so the id may have been used. */
  #mayBeEvicted(requestId: string): boolean {
    const time = idCreationTime(requestId);
    return time !== undefined && time <= this.#options.table.evictedThrough;
  }
}

/** True if the team may see the request; requests of open queues are visible to all. */
export function maySee(request: Pick<RequestSpec, "team">, team: string | undefined): boolean {
  return request.team === undefined || request.team === team;
}

function hasUnknownOutcome(state: RequestState): boolean {
  return state.kind === "refused" && state.reason === "outcome_unknown" && state.ran === "unknown";
}
