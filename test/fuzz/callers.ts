import type { CallerReply, CallerRequest } from "../../src/coordination/ports.ts";
import type { EntrySlot } from "./entry-slot.ts";
import { DECLARED_RUN_MS, QUEUES } from "./fleet-plan.ts";
import { jobPayload, type Job } from "./job-runner.ts";
import type { Oracle } from "./oracle.ts";
import type { Submission } from "./request-history.ts";

/** A request as its caller composed it. A retry submits the same object again. */
export interface SimulatedRequest {
  readonly queue: string;
  readonly team: string | undefined;
  readonly key: string | undefined;
  readonly idempotencyKey: string | undefined;
  readonly priority: CallerRequest["priority"];
  /** Marks this request as not idempotent, even if its queue is. */
  readonly atMostOnce: boolean;
  readonly timeoutMs: number;
  readonly job: Job;
}

interface AcceptedCall {
  readonly request: SimulatedRequest;
  readonly requestId: string;
}

/** Options of {@link Callers.queryAll}. */
export interface QueryOptions {
  /** A valid key of each team, used instead of the key of the request. */
  readonly keys?: ReadonlyMap<string, string>;
  /** Whether a reply that the request is unknown counts as its outcome. @default false */
  readonly lossAllowed?: boolean;
  /** Whether a backend server still has a task of the request. @default always true */
  readonly hasTask?: (requestId: string) => boolean;
}

/** Options of {@link Callers}. */
export interface CallersOptions {
  readonly oracle: Oracle;
}

/** Simulated callers of the entry instances. Reports each call and reply to the oracle. */
export class Callers {
  readonly #oracle: Oracle;
  /** Requests that can be retried because they have an idempotency key. */
  readonly retryable: SimulatedRequest[] = [];
  /** Accepted calls that have no outcome yet, by call number. */
  readonly #accepted = new Map<number, AcceptedCall>();
  #jobCount = 0;

  constructor({ oracle }: CallersOptions) {
    this.#oracle = oracle;
  }

  newJob(runMs = DECLARED_RUN_MS, bad = false): Job {
    return { nonce: `n${++this.#jobCount}`, runMs, bad };
  }

  get acceptedCount(): number {
    return this.#accepted.size;
  }

  /** Sends a request to an entry instance. The reply is reported to the oracle on arrival. */
  submit(request: SimulatedRequest, slot: EntrySlot, mode: "sync" | "async"): void {
    const call = this.#oracle.requests.sent(this.#submission(request));
    if (request.idempotencyKey !== undefined && !this.retryable.includes(request)) {
      this.retryable.push(request);
    }
    const req = callerRequest(request);
    const { nonce } = request.job;
    this.#call(
      slot,
      call,
      nonce,
      (requests) => requests.submit(req, mode),
      (reply) => {
        this.#oracle.requests.replied(call, reply);
        if (reply.kind === "pending") {
          this.#accepted.set(call, { request, requestId: reply.requestId });
        }
      },
    );
  }

  /**
   * Queries an entry instance for the outcome of every accepted call. New keys of the teams ensure
   * that a withdrawn key does not hide an outcome. With `lossAllowed`, "id_unknown" counts as an
   * outcome, because the process that owned the request may have been killed. "home_unknown" counts
   * as well, unless a backend server still has a task of the request, because its result must then
   * be found.
   */
  queryAll(slot: EntrySlot, waitMs: number, options: QueryOptions = {}): void {
    for (const [call, { request, requestId }] of this.#accepted) {
      const key = options.keys?.get(request.team ?? "") ?? request.key;
      this.#call(
        slot,
        undefined,
        request.job.nonce,
        (requests) => requests.query(requestId, key, waitMs),
        (reply) => {
          const hasTask = options.hasTask?.(requestId) ?? true;
          const excused =
            options.lossAllowed === true ? (hasTask ? LOST_RECORD : LOST_REQUEST) : [];
          this.#onStatusReply(call, reply, excused);
        },
      );
    }
  }

  /** Cancels up to the given number of accepted calls. */
  cancel(slot: EntrySlot, count: number): void {
    for (const [call, { request, requestId }] of [...this.#accepted].slice(0, count)) {
      this.#call(
        slot,
        undefined,
        request.job.nonce,
        (requests) => requests.cancel(requestId, request.key),
        (reply) => {
          this.#onStatusReply(call, reply);
        },
      );
    }
  }

  #onStatusReply(call: number, reply: CallerReply, excused: readonly string[] = []): void {
    // A refusal of the query itself is not an outcome, so the request is queried again later.
    if (reply.kind === "refusal" && !isOutcome(reply, excused)) return;
    this.#oracle.requests.queried(call, reply);
    if (reply.kind !== "pending") this.#accepted.delete(call);
  }

  #call(
    slot: EntrySlot,
    call: number | undefined,
    nonce: string,
    send: (
      requests: NonNullable<EntrySlot["process"]>["instance"]["requests"],
    ) => Promise<CallerReply>,
    onReply: (reply: CallerReply) => void,
  ): void {
    const process = slot.process;
    if (process === undefined) {
      if (call !== undefined) this.#oracle.requests.lost(call);
      return;
    }
    const { gate } = process.party;
    if (call !== undefined) process.waiting.set(call, nonce);
    const run = async (): Promise<void> => {
      try {
        const reply = await send(process.instance.requests);
        gate.run(() => {
          if (call !== undefined) process.waiting.delete(call);
          onReply(reply);
        });
      } catch (error) {
        if (!gate.dead) this.#oracle.threw(`request service of ${slot.tag}`, error);
      }
    };
    gate.run(() => void run());
  }

  #submission(request: SimulatedRequest): Submission {
    const plan = QUEUES.find((queue) => queue.name === request.queue)!;
    return {
      nonce: request.job.nonce,
      queue: request.queue,
      key: request.key,
      team: request.key === undefined ? undefined : this.#oracle.operators.teamOfKey(request.key),
      idempotent: plan.idempotent && !request.atMostOnce,
      keyMayBeValid: request.key !== undefined && this.#oracle.operators.keyMayBeValid(request.key),
      open: plan.open,
      bad: request.job.bad,
      timeoutMs: request.timeoutMs,
    };
  }
}

function callerRequest(request: SimulatedRequest): CallerRequest {
  return {
    queue: request.queue,
    key: request.key,
    idempotencyKey: request.idempotencyKey,
    priority: request.priority,
    idempotent: request.atMostOnce ? false : undefined,
    timeoutMs: request.timeoutMs,
    payload: jobPayload(request.job),
  };
}

/** Refusal reasons that concern the query and not the request. */
const QUERY_REFUSALS: readonly string[] = [
  "id_unknown",
  "home_unreachable",
  "home_moving",
  "home_unknown",
  "config_stale",
  "config_missing",
  "key_unknown",
  "key_missing",
  "key_not_allowed",
  "peer_busy",
  "stopping",
];

/** Query refusals that count as outcomes if the owner of the request may have been killed. */
const LOST_RECORD: readonly string[] = ["id_unknown"];
/** As `LOST_RECORD`, if no backend server has a task of the request either. */
const LOST_REQUEST: readonly string[] = [...LOST_RECORD, "home_unknown"];

function isOutcome(
  reply: Extract<CallerReply, { kind: "refusal" }>,
  excused: readonly string[],
): boolean {
  const { reason } = reply.refusal;
  return !QUERY_REFUSALS.includes(reason) || excused.includes(reason);
}
