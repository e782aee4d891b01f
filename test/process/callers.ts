/** Callers of a process cluster, and the check of what they were told. */
import * as assert from "uvu/assert";
import type { EntryProcessHandle, ProcessCluster } from "./cluster.ts";

/** A template with the queue `orders`, whose work must not run twice, and the team `crew`. */
export function orderTemplate({ upperLimit }: { readonly upperLimit: number }): string {
  const pool = "[pool.work]\ngroup = g\ntarget_size = 6\nmin_available = 2\n";
  const queue = "[queue.orders]\npool = work\n";
  return `${pool}${queue}[team.crew]\nshare = 1\nupper_limit = ${upperLimit}\n`;
}

/** What a caller got for one request. */
export interface Reply {
  readonly sent: string;
  /** Undefined if the connection broke. */
  readonly status: number | undefined;
  readonly body: string;
}

/** Options of {@link sendOrder}. */
export interface OrderOptions {
  readonly entry: EntryProcessHandle;
  readonly key: string;
  readonly body: object;
  /** `Idempotency-Key`; an id is issued without one. */
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
    const res = await fetch(`${entry.callers}/v1/queues/orders/requests`, {
      method: "POST",
      headers: { ...headers, ...(id === undefined ? {} : { "idempotency-key": id }) },
      body: sent,
    });
    return { sent, status: res.status, body: await res.text() };
  } catch {
    return { sent, status: undefined, body: "" };
  }
}

export function countAnswered(replies: readonly Reply[]): number {
  return replies.filter((reply) => reply.status === 200).length;
}

/** No wrong or crossed answer, no attempt started twice, and no refusal that says "no" in error. */
export function assertRepliesMatchTasks(cluster: ProcessCluster, replies: readonly Reply[]): void {
  const started = cluster.startedAttempts().map((attempt) => attempt.split("#")[0]);
  assert.is(new Set(started).size, started.length, "a request was started twice");
  const ids = new Set(started);
  for (const reply of replies) {
    if (reply.status === 200) assert.is(reply.body, reply.sent);
    else if (reply.status !== undefined) {
      const problem = JSON.parse(reply.body) as {
        readonly ran: string;
        readonly request_id: string;
      };
      if (problem.ran === "no") assert.not.ok(ids.has(problem.request_id), reply.body);
    }
  }
}

/** Most tasks that ran at once, by the clock of the backend servers' machine. */
export function peakRunningTasks(cluster: ProcessCluster): number {
  // An end goes before a start of the same time.
  const events = [...cluster.taskEvents()].sort(
    (a, b) => a.at - b.at || a.event.localeCompare(b.event),
  );
  let running = 0;
  let most = 0;
  for (const { event } of events) {
    running += event === "start" ? 1 : -1;
    most = Math.max(most, running);
  }
  return most;
}
