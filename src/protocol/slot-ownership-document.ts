import * as v from "valibot";
import { HASH_SLOT_COUNT } from "./request-id.ts";

/** An incarnation and whether it may act as a home. */
export const MemberSchema = v.strictObject({
  incarnation: v.string(),
  /** Address on which it accepts peer connections, `IP:PORT`. */
  address: v.string(),
  zone: v.string(),
  group: v.string(),
  /** `retired` is the mark; `fenced` follows the proof that it can start no work. */
  state: v.picklist(["active", "retired", "fenced"]),
  /** Wall-clock time at which the state was entered, milliseconds since the Unix epoch. */
  since: v.number(),
});

/** Owner of the request ids whose hash falls into the slot. */
export const HashSlotSchema = v.strictObject({
  /** Absent until the slot was first assigned. */
  incarnation: v.optional(v.string()),
  /** Wall-clock time of the last takeover without records, 0 if there was none. */
  takeoverAt: v.number(),
});

/** Members and home slots. */
export const SlotOwnershipDocumentSchema = v.strictObject({
  writeId: v.string(),
  members: v.array(MemberSchema),
  slots: v.pipe(v.array(HashSlotSchema), v.length(HASH_SLOT_COUNT)),
});

export type Member = Readonly<v.InferOutput<typeof MemberSchema>>;
export type HashSlot = Readonly<v.InferOutput<typeof HashSlotSchema>>;

/** The homes document as stored. */
export interface SlotOwnershipDocument {
  readonly writeId: string;
  readonly members: readonly Member[];
  readonly slots: readonly HashSlot[];
}

/** Key of the homes document in the key-value service. */
export const SLOT_OWNERSHIP_KEY = "homes";
