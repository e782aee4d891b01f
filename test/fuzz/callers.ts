import type { CallerReply, CallerRequest } from "../../src/coordination/ports.ts";
import type { EntrySlot } from "./entry-slot.ts";
import { DECLARED_RUN_MS, QUEUES } from "./fleet-plan.ts";
import { jobPayload, type Job } from "./jobs.ts";
import type { Oracle } from "./oracle.ts";
import type { Submission } from "./request-history.ts";

/** A request as its caller made it up; a retry sends the same again. */
export interface Order {
  readonly queue: string;
  readonly team: string | undefined;
  readonly key: string | undefined;
  readonly idempotencyKey: string | undefined;
  readonly priority: CallerRequest["priority"];
  /** Lowers an idempotent queue's setting for this request. */
  readonly neverTwice: boolean;
  readonly timeoutMs: number;
  readonly job: Job;
}

interface Accepted {
  readonly order: Order;
  readonly requestId: string;
}

/** Options of {@link Callers.queryAll}. */
export interface QueryOptions {
  /** A valid key of each team. */
  readonly keys?: ReadonlyMap<string, string>;
  readonly lossExcused?: boolean;
  /** Whether a backend server still has a task of the request. */
  readonly kept?: (requestId: string) => boolean;
}

/** Options of {@link Callers}. */
export interface CallersOptions {
  readonly oracle: Oracle;
}

/** Callers of the entry instances. They note what they sent and what they were told. */
export class Callers {
  readonly #oracle: Oracle;
  /** Orders that can be sent again because they carry an idempotency key. */
  readonly repeatable: Order[] = [];
  /** Accepted calls without an outcome. */
  readonly #accepted = new Map<number, Accepted>();
  #count = 0;

  constructor({ oracle }: CallersOptions) {
    this.#oracle = oracle;
  }

  newJob(runMs = DECLARED_RUN_MS, bad = false): Job {
    return { nonce: `n${++this.#count}`, runMs, bad };
  }

  get acceptedCount(): number {
    return this.#accepted.size;
  }

  /** Sends an order to an entry instance. The reply is noted when it arrives. */
  submit(order: Order, slot: EntrySlot, mode: "sync" | "async"): void {
    const call = this.#oracle.requests.sent(this.#submission(order));
    if (order.idempotencyKey !== undefined && !this.repeatable.includes(order)) {
      this.repeatable.push(order);
    }
    const req = callerRequest(order);
    const { nonce } = order.job;
    this.#ask(
      slot,
      call,
      nonce,
      (requests) => requests.submit(req, mode),
      (reply) => {
        this.#oracle.requests.replied(call, reply);
        if (reply.kind === "pending") {
          this.#accepted.set(call, { order, requestId: reply.requestId });
        }
      },
    );
  }

  /**
   * Asks an entry instance for the outcome of every accepted call. With new keys of the teams a
   * withdrawn key does not hide the outcome. `lossExcused` takes "id unknown" for an outcome,
   * because the process that had the request may have been killed, and "home unknown" too unless a
   * backend server keeps a task of the request, whose result must then be found.
   */
  queryAll(slot: EntrySlot, waitMs: number, options: QueryOptions = {}): void {
    for (const [call, { order, requestId }] of this.#accepted) {
      const key = options.keys?.get(order.team ?? "") ?? order.key;
      this.#ask(
        slot,
        undefined,
        order.job.nonce,
        (requests) => requests.query(requestId, key, waitMs),
        (reply) => {
          const kept = options.kept?.(requestId) ?? true;
          const excused = options.lossExcused === true ? (kept ? LOST_RECORD : LOST_REQUEST) : [];
          this.#learnt(call, reply, excused);
        },
      );
    }
  }

  /** Cancels up to the given number of accepted calls. */
  cancel(slot: EntrySlot, count: number): void {
    for (const [call, { order, requestId }] of [...this.#accepted].slice(0, count)) {
      this.#ask(
        slot,
        undefined,
        order.job.nonce,
        (requests) => requests.cancel(requestId, order.key),
        (reply) => {
          this.#learnt(call, reply);
        },
      );
    }
  }

  #learnt(call: number, reply: CallerReply, excused: readonly string[] = []): void {
    // A refusal of the query itself leaves the request open for another query.
    if (reply.kind === "refusal" && !isOutcome(reply, excused)) return;
    this.#oracle.requests.queried(call, reply);
    if (reply.kind !== "pending") this.#accepted.delete(call);
  }

  #ask(
    slot: EntrySlot,
    call: number | undefined,
    nonce: string,
    op: (
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
        const reply = await op(process.instance.requests);
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

  #submission(order: Order): Submission {
    const plan = QUEUES.find((queue) => queue.name === order.queue)!;
    return {
      nonce: order.job.nonce,
      queue: order.queue,
      key: order.key,
      team: order.key === undefined ? undefined : this.#oracle.operators.teamOfKey(order.key),
      idempotent: plan.idempotent && !order.neverTwice,
      keyMayBeValid: order.key !== undefined && this.#oracle.operators.keyMayBeValid(order.key),
      open: plan.open,
      bad: order.job.bad,
      timeoutMs: order.timeoutMs,
    };
  }
}

function callerRequest(order: Order): CallerRequest {
  return {
    queue: order.queue,
    key: order.key,
    idempotencyKey: order.idempotencyKey,
    priority: order.priority,
    idempotent: order.neverTwice ? false : undefined,
    timeoutMs: order.timeoutMs,
    payload: jobPayload(order.job),
  };
}

/** Reasons that speak about the query and not about the request. */
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

/** Query refusals that are outcomes when the process that had the request was killed. */
const LOST_RECORD: readonly string[] = ["id_unknown"];
/** The same when no backend server has a task of the request either. */
const LOST_REQUEST: readonly string[] = [...LOST_RECORD, "home_unknown"];

function isOutcome(
  reply: Extract<CallerReply, { kind: "refusal" }>,
  excused: readonly string[],
): boolean {
  const { reason } = reply.refusal;
  return !QUERY_REFUSALS.includes(reason) || excused.includes(reason);
}
