import { createHash } from "node:crypto";
import type { Payload, Priority } from "../ports/backend-server.ts";
import type { RequestSpec, RequestState, SlotRecord } from "../protocol/peer-messages.ts";
import type { RanState } from "../protocol/problem.ts";
import type { JobFailure } from "./failure-attribution.ts";

/** What the home knows of one request. Only its home's driver and table change it. */
export interface RequestRecord {
  readonly requestId: string;
  readonly team: string | undefined;
  readonly queue: string;
  readonly priority: Priority;
  readonly idempotent: boolean;
  /** Digest of the payload; undefined for an outcome found on a backend server. */
  readonly digest: string | undefined;
  /** Wall-clock time of acceptance, milliseconds since the Unix epoch. */
  readonly acceptedAt: number;
  /** Monotonic time in milliseconds until which the request may start. */
  readonly deadline: number;
  /** Keeps its place in the table for the whole window, so that it never runs twice. */
  readonly pinned: boolean;
  /** Body of the request; dropped once no attempt can follow. */
  payload: Payload | undefined;
  state: RequestState;
  /** Last attempt that was dispatched, 0 if none. */
  attempt: number;
  /** Attempts that ran or may have run. */
  runs: number;
  /** What is known about the attempts so far. */
  ran: RanState;
  cancelRequested: boolean;
  /** Came from a former home, which may have gone on with it if the slot was not moved after all. */
  readonly imported?: boolean;
  readonly failures: JobFailure[];
}

/** Builds the record of a request from its former home. */
export function importedRecord(
  { spec, digest, state, acceptedAt, attempt }: SlotRecord,
  now: number,
): RequestRecord {
  const pending = state.kind === "pending";
  const touched = attempt > 0 ? "unknown" : "no";
  return {
    ...identityOf(spec),
    digest: digest === "" ? undefined : digest,
    acceptedAt,
    deadline: now + spec.timeoutMs,
    pinned: !spec.idempotent,
    payload: pending ? spec.payload : undefined,
    state,
    attempt,
    runs: attempt > 0 ? 1 : 0,
    ran: state.kind === "refused" ? state.ran : pending ? touched : "yes",
    cancelRequested: false,
    imported: true,
    failures: [],
  };
}

/** Form in which a record moves to another home. */
export function exportedRecord(record: RequestRecord, now: number): SlotRecord {
  const { digest, state, acceptedAt } = record;
  const payload = record.payload ?? { contentType: "", body: new Uint8Array() };
  const timeoutMs = Math.max(0, record.deadline - now);
  const spec = { ...identityOf(record), timeoutMs, payload };
  return { spec, digest: digest ?? "", state, acceptedAt, attempt: record.attempt };
}

/** Builds a record of a request that was accepted now. */
export function newRecord(
  spec: RequestSpec,
  at: { readonly wallTime: number; readonly now: number },
  pinned: boolean,
): RequestRecord {
  return {
    ...identityOf(spec),
    digest: payloadDigest(spec.payload),
    acceptedAt: at.wallTime,
    deadline: at.now + spec.timeoutMs,
    pinned,
    payload: spec.payload,
    state: { kind: "pending", started: false },
    attempt: 0,
    runs: 0,
    ran: "no",
    cancelRequested: false,
    failures: [],
  };
}

/** What stays the same of a request wherever its home is. */
function identityOf(request: Omit<RequestSpec, "timeoutMs" | "payload">) {
  const { requestId, team, queue, priority, idempotent } = request;
  return { requestId, team, queue, priority, idempotent };
}

/** Hexadecimal SHA-256 of a payload, by which a retry is told from another request. */
export function payloadDigest(payload: Payload): string {
  return createHash("sha256").update(`${payload.contentType}\n`).update(payload.body).digest("hex");
}

/** True if a retry under the same id may be dispatched as if it were new. */
export function isRetryAllowed(record: RequestRecord): boolean {
  const { state } = record;
  if (state.kind !== "refused" || state.reason === "cancelled") return false;
  if (state.ran === "no") return true;
  return record.idempotent && state.ran === "unknown";
}
