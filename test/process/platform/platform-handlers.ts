/** HTTP handlers that expose the stand-ins through the platform's protocols. */
import type { Err } from "ts-results";
import type { RecordEvent, StoredRecord, StoreError } from "../../../src/ports/record-store.ts";
import type { OrderError } from "../../../src/ports/job-backend.ts";
import type { MemoryRecordClient } from "../../../src/stand-ins/memory-record-store.ts";
import type { SimulatedJobServer } from "../../../src/stand-ins/simulated-job-server.ts";
import type { FakeHttpResponse, RecordedCall } from "../../fakes/jobs/fake-http-server.ts";

interface TransactionBody {
  readonly expectedRevision?: readonly { readonly key: string; readonly revision: number }[];
  readonly puts?: readonly {
    readonly key: string;
    readonly value: string;
    readonly lease?: number;
  }[];
  readonly delete?: readonly string[];
}

const REFUSAL_REASONS: Readonly<Record<string, string>> = {
  fenced: "fence",
  "old-run": "old",
  late: "late",
  "no-room": "room",
};

/** Handles a call to the store with a client of the stand-in. */
export async function handleStoreCall(
  store: MemoryRecordClient,
  { method, path, query, body }: RecordedCall,
): Promise<FakeHttpResponse> {
  const prefix = query.get("prefix") ?? "";
  switch (path) {
    case "/v1/kv-key": {
      const record = await store.get(query.get("key") ?? "");
      if (record.err) return storeErrorResponse(record);
      return record.val === undefined ? { status: 404 } : okResponse(toItem(record.val));
    }
    case "/v1/kv-range": {
      const range = await store.range(prefix);
      if (range.err) return storeErrorResponse(range);
      const items = range.val.records.map(toItem);
      return okResponse({ items, hasMore: false, storeRevision: range.val.revision });
    }
    case "/v1/kv-watch": {
      const after = Number(query.get("after"));
      const changes = await store.watch(prefix, after, Number(query.get("waitMs")));
      if (changes.err) return storeErrorResponse(changes);
      return okResponse({
        events: changes.val.events.map(toEvent),
        storeRevision: changes.val.revision,
      });
    }
    case "/v1/kv-txn":
      return commit(store, body as TransactionBody);
    case "/v1/kv-lease": {
      const lease = await store.grantLease((body as { readonly ttlMs: number }).ttlMs);
      return lease.err
        ? storeErrorResponse(lease)
        : okResponse({ lease: lease.val.id, ttlMs: lease.val.ttlMs });
    }
  }
  const id = Number(path.split("/").at(-1));
  const result = await (method === "DELETE" ? store.revokeLease(id) : store.renewLease(id));
  return result.err ? storeErrorResponse(result) : okResponse({});
}

async function commit(store: MemoryRecordClient, txn: TransactionBody): Promise<FakeHttpResponse> {
  const puts = (txn.puts ?? []).map(({ value, ...put }) => ({
    ...{ ...put, value: Buffer.from(value, "base64") },
  }));
  const conditions = txn.expectedRevision ?? [];
  const written = await store.commit({ conditions, puts, deletes: txn.delete ?? [] });
  return written.err ? storeErrorResponse(written) : okResponse({ revision: written.val });
}

/** Handles an order to a worker. */
export async function handleWorkerOrder(
  server: SimulatedJobServer,
  { path, headers, body }: RecordedCall,
): Promise<FakeHttpResponse> {
  if (headers["x-expect-instance"] !== server.id) return { status: 421 };
  const { fencingToken: token = 0, lastSeen = 0, waitMs = 0, ...rest } = body as OrderBody;
  const client = server.client();
  if (path === "/v1/hold") {
    const { deadlineMs } = rest;
    const lists = await client.poll({ token, acknowledged: lastSeen, waitMs, deadlineMs });
    if (lists.err) return orderErrorResponse(lists.val);
    const { clockMs, bootedAt, running, ended } = lists.val;
    return okResponse({
      ...{ clockMs, born: bootedAt },
      running: running.map((run) => [run.task, run.run, run.checkpoint, run.percent, run.load]),
      ended: ended.map((end) => [end.sequence, end.task, end.run, end.end, end.checkpoint]),
    });
  }
  const { task = "", run = 0, spec = "", deadlineMs = 0 } = rest;
  const result = await (path === "/v1/run-start"
    ? client.start({ task, run, spec, deadlineMs, token })
    : client.stop({ task, run, token }));
  return result.err ? orderErrorResponse(result.val) : okResponse(result.val);
}

interface OrderBody {
  readonly task?: string;
  readonly run?: number;
  readonly spec?: string;
  readonly deadlineMs?: number;
  readonly fencingToken?: number;
  readonly lastSeen?: number;
  readonly waitMs?: number;
}

function orderErrorResponse(err: OrderError): FakeHttpResponse {
  const reason = REFUSAL_REASONS[err.kind];
  if (reason !== undefined) return { status: 409, body: { clockMs: 0, reason } };
  return { status: err.kind === "not-done" ? 503 : undefined };
}

function storeErrorResponse({ val }: Err<StoreError>): FakeHttpResponse {
  if (val.kind === "conflict") return { status: 412, body: { items: val.current.map(toItem) } };
  if (val.kind === "lease-ended") return { status: 404 };
  if (val.kind === "compacted") return { status: 410 };
  // An unresponsive store closes the connection after its callers have timed out.
  return { status: val.kind === "unavailable" && val.detail === "refused" ? 503 : undefined };
}

function okResponse(body: object): FakeHttpResponse {
  return { status: 200, body };
}

function toItem({ key, value, revision }: StoredRecord): object {
  return { key, revision, value: Buffer.from(value).toString("base64") };
}

function toEvent(change: RecordEvent): object {
  if (change.kind === "written") return toItem(change.record);
  return { key: change.key, revision: change.revision, deleted: true };
}
