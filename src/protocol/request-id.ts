/**
 * Formats of request ids. An issued id contains the incarnation that owns it; an id derived from a
 * caller's key belongs to a hash slot.
 */
import { createHash } from "node:crypto";

/** Number of hash slots. */
export const HASH_SLOT_COUNT = 64;

const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/;
const KEYED = /^k\d{2}-[A-Za-z0-9_-]{43}(?:-t([0-9a-f]+))?$/;

/** Content of a request id. */
export type ParsedRequestId =
  | { readonly kind: "issued"; readonly incarnation: string; readonly createdAt: number }
  /** `createdAt` is the wall-clock time in ms of a UUIDv7 key; undefined for any other key. */
  | { readonly kind: "keyed"; readonly slot: number; readonly createdAt: number | undefined };

/** Wall-clock time in milliseconds of a UUIDv7; undefined for any other text. */
export function uuidV7Time(text: string): number | undefined {
  const match = UUID_V7.exec(text.toLowerCase());
  return match === null ? undefined : Number.parseInt(`${match[1] ?? ""}${match[2] ?? ""}`, 16);
}

/** Formats the id of a request issued by an incarnation. */
export function issuedRequestId(incarnation: string, uuidV7: string): string {
  return `${incarnation}.${uuidV7}`;
}

/**
 * Request id for a caller's key. Issued ids are returned unchanged. Any other key is hashed
 * together with team and queue, so that equal keys of two teams or queues identify different
 * requests.
 */
export function requestIdForKey(
  team: string | undefined,
  queue: string,
  callerKey: string,
): string {
  if (parseIssued(callerKey) !== undefined) return callerKey;
  const hash = createHash("sha256").update(JSON.stringify([team ?? null, queue, callerKey]));
  const digest = hash.digest();
  const slot = (digest.readUInt32BE(0) % HASH_SLOT_COUNT).toString().padStart(2, "0");
  const createdAt = uuidV7Time(callerKey);
  const time = createdAt === undefined ? "" : `-t${createdAt.toString(16)}`;
  return `k${slot}-${digest.toString("base64url")}${time}`;
}

/** Parses a request id; undefined if it is malformed. */
export function parseRequestId(requestId: string): ParsedRequestId | undefined {
  const keyed = KEYED.exec(requestId);
  if (keyed === null) return parseIssued(requestId);
  const slot = Number(requestId.slice(1, 3));
  const time = keyed[1];
  const createdAt = time === undefined ? undefined : Number.parseInt(time, 16);
  return slot < HASH_SLOT_COUNT ? { kind: "keyed", slot, createdAt } : undefined;
}

function parseIssued(text: string): ParsedRequestId | undefined {
  const dot = text.lastIndexOf(".");
  const createdAt = dot < 1 ? undefined : uuidV7Time(text.slice(dot + 1));
  if (createdAt === undefined) return undefined;
  return { kind: "issued", incarnation: text.slice(0, dot), createdAt };
}
