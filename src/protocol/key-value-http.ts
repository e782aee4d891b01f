/**
 * HTTP API of the key-value service. Sections 10.2 and 10.3 of docs/design.md list its paths.
 *
 * Replies are 200 with a body, or 204. Errors are 404 `{error: "absent"}` for an absent key, 409
 * `{error: "conflict", current}`, 410 `{error: "lease-lapsed"}`, and 503 `{error: "unavailable"}`
 * if nothing was done.
 */
import * as v from "valibot";

const revision = v.pipe(v.number(), v.integer(), v.minValue(0));
const milliseconds = v.pipe(v.number(), v.minValue(0));

/** Maximum size of a value in bytes. */
export const MAX_VALUE_BYTES = 1_000_000;

/** A stored value. */
export const KvEntrySchema = v.object({ key: v.string(), value: v.string(), revision });
/** Reply of `GET /v1/keys?prefix=`. */
export const KvListSchema = v.object({ entries: v.array(KvEntrySchema) });
/** Body of `PUT /v1/keys/{key}`. */
export const KvPutSchema = v.object({
  value: v.pipe(v.string(), v.maxBytes(MAX_VALUE_BYTES)),
  expectedRevision: revision,
  leaseId: v.exactOptional(v.string()),
});
/** Reply of `PUT /v1/keys/{key}`. */
export const KvWrittenSchema = v.object({ revision });
/** Reply of `GET /v1/watch/{key}`. `entry` is null if the key was deleted. */
export const KvWatchReplySchema = v.variant("changed", [
  v.object({ changed: v.literal(false) }),
  v.object({ changed: v.literal(true), entry: v.nullable(KvEntrySchema) }),
]);
/** Body of `POST /v1/leases`. */
export const KvGrantSchema = v.object({ ttlMs: milliseconds });
/** Reply of `POST /v1/leases`. */
export const KvLeaseSchema = v.object({ leaseId: v.string() });
/** Body of an error reply. */
export const KvErrorSchema = v.variant("error", [
  v.object({ error: v.literal("absent") }),
  v.object({ error: v.literal("conflict"), current: v.nullable(KvEntrySchema) }),
  v.object({ error: v.literal("lease-lapsed") }),
  v.object({ error: v.picklist(["unavailable", "rejected"]), detail: v.string() }),
]);

/** URL path of a key. */
export function keyPath(key: string): string {
  return `/v1/keys/${encodeURIComponent(key)}`;
}
