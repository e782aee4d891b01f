import { createHash } from "node:crypto";
import type { Payload, Priority } from "../ports/backend-server.ts";
import type { RequestSpec, RequestState, TransferredRequest } from "../protocol/peer-messages.ts";
import type { RanState } from "../protocol/refusal.ts";
import type { JobFailure } from "./failure-attribution.ts";

/** State of one request at its owner. Only the owner's driver and request table change it. */
export interface RequestRecord {
  readonly requestId: string;
  readonly team: string | undefined;
  readonly queue: string;
  readonly priority: Priority;
  readonly idempotent: boolean;
  /** Digest of the payload; undefined if the outcome was found on a backend server. */
  readonly digest: string | undefined;
  /** Wall-clock time of acceptance, milliseconds since the Unix epoch. */
  readonly acceptedAt: number;
  /** Monotonic time in milliseconds after which the request must not start. */
  readonly deadline: number;
  /** Stays in the table for the whole idempotency window, so that the request never runs twice. */
  readonly pinned: boolean;
  /** Body of the request; dropped once no further attempt is possible. */
  payload: Payload | undefined;
  state: RequestState;
  /** Number of the last dispatched attempt, 0 if none. */
  attempt: number;
  /** Number of attempts that ran or may have run. */
  runs: number;
  /** Whether any attempt so far has run, as far as known. */
  ran: RanState;
  cancelRequested: boolean;
  /**
   * Imported from the former owner, which may have continued the request if the slot was not moved
   * after all.
   */
  readonly imported?: boolean;
  readonly failures: JobFailure[];
}

/** Builds the record of a request that was exported by its former owner. */
export function importedRecord(
  { spec, digest, state, acceptedAt, attempt }: TransferredRequest,
  now: number,
): RequestRecord {
  const pending = state.kind === "pending";
  const ranBefore = attempt > 0 ? "unknown" : "no";
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
    ran: state.kind === "refused" ? state.ran : pending ? ranBefore : "yes",
    cancelRequested: false,
    imported: true,
    failures: [],
  };
}

/** Converts a record to the form in which it is sent to another owner. */
export function exportedRecord(record: RequestRecord, now: number): TransferredRequest {
  const { digest, state, acceptedAt } = record;
  const payload = record.payload ?? { contentType: "", body: new Uint8Array() };
  const timeoutMs = Math.max(0, record.deadline - now);
  const spec = { ...identityOf(record), timeoutMs, payload };
  return { spec, digest: digest ?? "", state, acceptedAt, attempt: record.attempt };
}

/** Builds the record of a newly accepted request. */
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

/** Fields of a request that do not depend on its owner. */
function identityOf(request: Omit<RequestSpec, "timeoutMs" | "payload">) {
  const { requestId, team, queue, priority, idempotent } = request;
  return { requestId, team, queue, priority, idempotent };
}

/** Hexadecimal SHA-256 of a payload. Distinguishes a retry from another request. */
export function payloadDigest(payload: Payload): string {
  return createHash("sha256").update(`${payload.contentType}\n`).update(payload.body).digest("hex");
}

/** True if a retry with the same id may be dispatched like a new request. */
export function isRetryAllowed(record: RequestRecord): boolean {
  const { state } = record;
  if (state.kind !== "refused" || state.reason === "cancelled") return false;
  if (state.ran === "no") return true;
  return record.idempotent && state.ran === "unknown";
}
