/** Encoding of calls to the record store that peers relay for each other. */
import { encode } from "cbor-x";
import * as v from "valibot";
import type { Result } from "ts-results";
import { Err, Ok } from "ts-results";
import type { RecordTransaction, StoreError } from "../ports/record-store.ts";
import { decodeCbor } from "./cbor.ts";

/** A call to the record store. */
export type StoreCall =
  | { readonly kind: "get"; readonly key: string }
  | { readonly kind: "range"; readonly prefix: string }
  | {
      readonly kind: "watch";
      readonly prefix: string;
      readonly after: number;
      readonly waitMs: number;
    }
  | { readonly kind: "commit"; readonly txn: RecordTransaction }
  | { readonly kind: "grant"; readonly ttlMs: number }
  /** Renews a lease. */
  | { readonly kind: "keep"; readonly lease: number }
  /** Revokes a lease. */
  | { readonly kind: "end"; readonly lease: number };

const bytes = v.custom<Uint8Array>((value) => value instanceof Uint8Array);
const condition = v.object({ key: v.string(), revision: v.number() });
const put = v.object({ key: v.string(), value: bytes, lease: v.exactOptional(v.number()) });
const StoreCallSchema: v.GenericSchema<unknown, StoreCall> = v.variant("kind", [
  v.object({ kind: v.literal("get"), key: v.string() }),
  v.object({ kind: v.literal("range"), prefix: v.string() }),
  v.object({
    ...{ kind: v.literal("watch"), prefix: v.string() },
    ...{ after: v.number(), waitMs: v.number() },
  }),
  v.object({
    kind: v.literal("commit"),
    txn: v.object({
      conditions: v.array(condition),
      puts: v.array(put),
      deletes: v.exactOptional(v.array(v.string())),
    }),
  }),
  v.object({ kind: v.literal("grant"), ttlMs: v.number() }),
  v.object({ kind: v.literal("keep"), lease: v.number() }),
  v.object({ kind: v.literal("end"), lease: v.number() }),
]);
const ResultSchema = v.variant("ok", [
  v.object({ ok: v.literal(true), val: v.unknown() }),
  v.object({ ok: v.literal(false), err: v.looseObject({ kind: v.string() }) }),
]);

/** Encodes a call. */
export function encodeStoreCall(call: StoreCall): Uint8Array {
  return encode(call);
}

/** Decodes a call; undefined if the bytes are malformed. */
export function decodeStoreCall(data: Uint8Array): StoreCall | undefined {
  return decodeCbor(StoreCallSchema, data);
}

/** Encodes the result of a call. */
export function encodeStoreResult(result: Result<unknown, StoreError>): Uint8Array {
  return encode(result.ok ? { ok: true, val: result.val } : { ok: false, err: result.val });
}

/**
 * Decodes the result of a call. Peers run this same program, so the content is not validated. A
 * malformed reply means that the outcome is unknown.
 */
export function decodeStoreResult(data: Uint8Array): Result<unknown, StoreError> {
  const output = decodeCbor(ResultSchema, data);
  if (output === undefined) return Err({ kind: "unknown", detail: "malformed reply from a peer" });
  return output.ok ? Ok(output.val) : Err(output.err as StoreError);
}
