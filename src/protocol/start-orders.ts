/** Encoding of start orders that the scheduler forwards through peers. */
import { encode } from "cbor-x";
import { Err, Ok, type Result } from "ts-results";
import * as v from "valibot";
import type { BackendClock, OrderError, StartOrder } from "../ports/job-backend.ts";
import { decodeCbor } from "./cbor.ts";

/** A start order without the job spec, which the receiving peer already has. */
export type ForwardedStart = Omit<StartOrder, "spec"> & {
  /** Id of the job. */
  readonly job: string;
  /** Address of the backend server, `IP:PORT`. */
  readonly address: string;
  /** Id of the backend server. */
  readonly server: string;
};

const ForwardedStartSchema = v.object({
  ...{ job: v.string(), address: v.string(), server: v.string() },
  ...{ task: v.string(), run: v.number(), deadlineMs: v.number(), token: v.number() },
  checkpoint: v.exactOptional(v.string()),
  ticket: v.exactOptional(v.string()),
});
const ResultSchema = v.variant("ok", [
  v.object({ ok: v.literal(true), clockMs: v.number() }),
  v.object({
    ok: v.literal(false),
    kind: v.picklist([
      ...(["fenced", "old-run", "late", "no-room", "ticket", "gone"] as const),
      ...(["not-done", "not-sent", "unknown"] as const),
    ]),
    detail: v.optional(v.string(), ""),
  }),
]);

/** Encodes a start order for a peer. */
export function encodeForwardedStart(start: ForwardedStart): Uint8Array {
  return encode(start);
}

/** Decodes a start order from a peer; undefined if the bytes are malformed. */
export function decodeForwardedStart(data: Uint8Array): ForwardedStart | undefined {
  return decodeCbor(ForwardedStartSchema, data);
}

/** Encodes the result of a start order. */
export function encodeStartResult(result: Result<BackendClock, OrderError>): Uint8Array {
  if (result.ok) return encode({ ok: true, clockMs: result.val.clockMs });
  return encode({ ok: false, ...result.val });
}

/** Decodes the result of a start order. A malformed reply means that the outcome is unknown. */
export function decodeStartResult(data: Uint8Array): Result<BackendClock, OrderError> {
  const result = decodeCbor(ResultSchema, data);
  if (result === undefined) return Err({ kind: "unknown", detail: "malformed reply from a peer" });
  if (result.ok) return Ok({ clockMs: result.clockMs });
  const { kind, detail } = result;
  return Err({ kind, detail });
}
