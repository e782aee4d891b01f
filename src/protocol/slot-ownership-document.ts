import * as v from "valibot";
import { HASH_SLOT_COUNT } from "./request-id.ts";

/** An incarnation and whether it may own requests. */
export const MemberSchema = v.strictObject({
  incarnation: v.string(),
  /** Address for peer connections, `IP:PORT`. */
  address: v.string(),
  zone: v.string(),
  group: v.string(),
  /** `retired` forbids further work; `fenced` follows the proof that it cannot start any. */
  state: v.picklist(["active", "retired", "fenced"]),
  /** Wall-clock time of the last state change in milliseconds since the Unix epoch. */
  since: v.number(),
});

/** A hash slot and the incarnation that owns the request ids hashed to it. */
export const HashSlotSchema = v.strictObject({
  /** Absent until the slot is first assigned. */
  incarnation: v.optional(v.string()),
  /** Wall-clock time in ms of the last takeover without request records; 0 if there was none. */
  takeoverAt: v.number(),
});

/** All members and the owners of all hash slots. */
export const SlotOwnershipDocumentSchema = v.strictObject({
  writeId: v.string(),
  members: v.array(MemberSchema),
  slots: v.pipe(v.array(HashSlotSchema), v.length(HASH_SLOT_COUNT)),
});

export type Member = Readonly<v.InferOutput<typeof MemberSchema>>;
export type HashSlot = Readonly<v.InferOutput<typeof HashSlotSchema>>;

/** The slot ownership document as stored. */
export interface SlotOwnershipDocument {
  readonly writeId: string;
  readonly members: readonly Member[];
  readonly slots: readonly HashSlot[];
}

/** Key in the key-value service; the document is also called the homes document. */
export const SLOT_OWNERSHIP_KEY = "homes";
