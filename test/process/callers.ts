/** Sends requests to a process cluster and checks the replies. */
import * as assert from "uvu/assert";
import type { EntryProcessHandle, ProcessCluster } from "./cluster.ts";

/** Template with the non-idempotent queue `orders` and the team `crew`. */
export function orderTemplate({ upperLimit }: { readonly upperLimit: number }): string {
  const pool = "[pool.work]\ngroup = g\ntarget_size = 6\nmin_available = 2\n";
  const queue = "[queue.orders]\npool = work\n";
  return `${pool}${queue}[team.crew]\nshare = 1\nupper_limit = ${upperLimit}\n`;
}

/** Reply to one request. */
export interface Reply {
  /** Body of the request, which a correct reply with status 200 returns. */
  readonly sentBody: string;
  /** Undefined if the connection broke. */
  readonly status: number | undefined;
  readonly body: string;
}

/** Options of {@link sendOrder}. */
export interface OrderOptions {
  readonly entry: EntryProcessHandle;
  readonly key: string;
  readonly body: object;
  /** `Idempotency-Key` header; without it, the entry issues an id. */
  readonly id?: string | undefined;
  /** @default "15000" */
  readonly timeoutMs?: string;
}

/** Sends one request to the queue `orders`. */
export async function sendOrder(options: OrderOptions): Promise<Reply> {
  const { entry, key, body, id, timeoutMs = "15000" } = options;
  const sent = JSON.stringify(body);
  const headers = { authorization: `Bearer ${key}`, "request-timeout-ms": timeoutMs };
  try {
    const res = await fetch(`${entry.callerUrl}/v1/queues/orders/requests`, {
      method: "POST",
      headers: { ...headers, ...(id === undefined ? {} : { "idempotency-key": id }) },
      body: sent,
    });
    return { sentBody: sent, status: res.status, body: await res.text() };
  } catch {
    return { sentBody: sent, status: undefined, body: "" };
  }
}

export function countAnswered(replies: readonly Reply[]): number {
  return replies.filter((reply) => reply.status === 200).length;
}

/**
 * Asserts that no reply has a wrong body, that no request was started twice and that no refusal
 * with `ran` "no" belongs to a request that was started.
 */
export function assertRepliesMatchTasks(cluster: ProcessCluster, replies: readonly Reply[]): void {
  const started = cluster.startedAttempts().map((attempt) => attempt.split("#")[0]);
  assert.is(new Set(started).size, started.length, "a request was started twice");
  const ids = new Set(started);
  for (const reply of replies) {
    if (reply.status === 200) assert.is(reply.body, reply.sentBody);
    else if (reply.status !== undefined) {
      const problem = JSON.parse(reply.body) as {
        readonly ran: string;
        readonly request_id: string;
      };
      if (problem.ran === "no") assert.not.ok(ids.has(problem.request_id), reply.body);
    }
  }
}

/** Maximum number of concurrently running tasks, by the clock of the backend servers' machine. */
export function peakRunningTasks(cluster: ProcessCluster): number {
  // At equal times, an end sorts before a start.
  const events = [...cluster.taskEvents()].sort(
    (a, b) => a.at - b.at || a.event.localeCompare(b.event),
  );
  let running = 0;
  let peak = 0;
  for (const { event } of events) {
    running += event === "start" ? 1 : -1;
    peak = Math.max(peak, running);
  }
  return peak;
}
