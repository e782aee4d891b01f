/** Updates of the stored `homes` document, which assigns hash slots of request ids to owners. */
import type {
  SlotOwnershipDocument,
  HashSlot,
  Member,
} from "../protocol/slot-ownership-document.ts";
import { HASH_SLOT_COUNT, type ParsedRequestId } from "../protocol/request-id.ts";

/** Maximum time in milliseconds by which a caller's clock may be ahead of an entry instance's. */
export const CLOCK_SKEW_MS = 30_000;
/**
 * Maximum difference in milliseconds between the wall clocks of two entry instances. The former
 * owner may have accepted an id from `CLOCK_SKEW_MS` ahead of its own clock, which may be this much
 * ahead of the new owner's clock.
 */
const ENTRY_SKEW_MS = 5000;
/** Time in milliseconds for which a fenced member stays listed, for readers with old ids. */
const FENCED_RETENTION_MS = 24 * 3_600_000;

/** How the owner of an id classifies the id without a record of it. */
export type UnrecordedIdStatus = "fresh" | "too-old" | "from-future";

export const EMPTY_SLOT_OWNERSHIP: SlotOwnershipDocument = {
  writeId: "",
  members: [],
  slots: Array.from({ length: HASH_SLOT_COUNT }, () => ({ takeoverAt: 0 })),
};

export function findMember(doc: SlotOwnershipDocument, incarnation: string): Member | undefined {
  return doc.members.find((member) => member.incarnation === incarnation);
}

export function activeMembers(doc: SlotOwnershipDocument): readonly Member[] {
  return doc.members.filter((member) => member.state === "active");
}

/** Indexes of the hash slots that an incarnation owns. */
export function slotsOf(doc: SlotOwnershipDocument, incarnation: string): readonly number[] {
  return doc.slots.flatMap((slot, index) => (slot.incarnation === incarnation ? [index] : []));
}

/** Adds an active member, which gets all unowned slots. Undefined if it is already a member. */
export function addMember(
  doc: SlotOwnershipDocument,
  member: Member,
): SlotOwnershipDocument | undefined {
  if (findMember(doc, member.incarnation) !== undefined) return undefined;
  const members = doc.members.filter(
    (old) => old.state !== "fenced" || member.since - old.since < FENCED_RETENTION_MS,
  );
  const slots = doc.slots.map((slot) =>
    slot.incarnation === undefined ? { ...slot, incarnation: member.incarnation } : slot,
  );
  return { ...doc, members: [...members, member], slots };
}

/** Marks an active member as retired. Undefined if it is not active. */
export function retireMember(
  doc: SlotOwnershipDocument,
  incarnation: string,
  at: number,
): SlotOwnershipDocument | undefined {
  if (findMember(doc, incarnation)?.state !== "active") return undefined;
  return { ...doc, members: withMemberState(doc, incarnation, "retired", at) };
}

/**
 * Moves slots to a new owner, which must already have their records. Undefined if the new owner is
 * not active or `from` does not own all of the slots.
 */
export function moveSlots(
  doc: SlotOwnershipDocument,
  slots: readonly number[],
  from: string,
  to: string,
): SlotOwnershipDocument | undefined {
  if (findMember(doc, to)?.state !== "active") return undefined;
  if (slots.some((slot) => doc.slots[slot]?.incarnation !== from)) return undefined;
  const moved = new Set(slots);
  return {
    ...doc,
    slots: doc.slots.map((slot, index) => (moved.has(index) ? { ...slot, incarnation: to } : slot)),
  };
}

/**
 * Marks a retired member as fenced and assigns its slots to the active members with the fewest
 * slots. Undefined if the member is not retired or no member is active.
 */
export function takeOver(
  doc: SlotOwnershipDocument,
  incarnation: string,
  at: number,
): SlotOwnershipDocument | undefined {
  if (findMember(doc, incarnation)?.state !== "retired") return undefined;
  const counts = new Map(
    activeMembers(doc).map((member) => [
      member.incarnation,
      slotsOf(doc, member.incarnation).length,
    ]),
  );
  if (counts.size === 0) return undefined;
  const slots = doc.slots.map((slot): HashSlot => {
    if (slot.incarnation !== incarnation) return slot;
    const next = [...counts].reduce((least, one) => (one[1] < least[1] ? one : least));
    counts.set(next[0], next[1] + 1);
    return { incarnation: next[0], takeoverAt: at };
  });
  return { ...doc, members: withMemberState(doc, incarnation, "fenced", at), slots };
}

/** Slots that a member above the mean should move to the candidate with the fewest slots. */
export function excessSlots(
  doc: SlotOwnershipDocument,
  incarnation: string,
  candidates: readonly string[],
): { readonly to: string; readonly slots: readonly number[] } | undefined {
  const own = slotsOf(doc, incarnation);
  const active = activeMembers(doc);
  const others = active
    .filter((member) => member.incarnation !== incarnation)
    .filter((member) => candidates.includes(member.incarnation))
    .map((member) => ({
      to: member.incarnation,
      count: slotsOf(doc, member.incarnation).length,
    }));
  const first = others[0];
  if (first === undefined) return undefined;
  const least = others.reduce((a, b) => (b.count < a.count ? b : a), first);
  const number = Math.min(
    own.length - Math.ceil(HASH_SLOT_COUNT / active.length),
    Math.floor(HASH_SLOT_COUNT / active.length) - least.count,
  );
  return number > 0 ? { to: least.to, slots: own.slice(0, number) } : undefined;
}

/**
 * Classifies an id without a record. An id is `too-old` if it may have been used before: it is
 * older than the window, or the slot was taken over without records after the id may have been
 * accepted.
 */
export function classifyUnrecordedId(
  id: ParsedRequestId,
  takeoverAt: number,
  now: number,
  windowMs: number,
): UnrecordedIdStatus {
  if (id.createdAt === undefined) {
    return takeoverAt > 0 && now < takeoverAt + windowMs ? "too-old" : "fresh";
  }
  if (id.createdAt > now + CLOCK_SKEW_MS) return "from-future";
  if (id.createdAt < now - windowMs) return "too-old";
  if (takeoverAt > 0 && id.createdAt < takeoverAt + CLOCK_SKEW_MS + ENTRY_SKEW_MS) return "too-old";
  return "fresh";
}

function withMemberState(
  doc: SlotOwnershipDocument,
  incarnation: string,
  state: Member["state"],
  since: number,
): readonly Member[] {
  return doc.members.map((member) =>
    member.incarnation === incarnation ? { ...member, state, since } : member,
  );
}
