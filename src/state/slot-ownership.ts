/** Rules of the homes document and of what a home can know about an id. */
import type { HomesDocument, HomeSlot, Member } from "../protocol/homes-document.ts";
import { HOME_SLOTS, type ParsedRequestId } from "../protocol/request-id.ts";

/** Bound on how far a caller's clock is ahead of an entry's. */
export const CLOCK_SKEW_MS = 30_000;
/**
 * Bound on the difference between the wall clocks of two entries. The former home may have taken an
 * id from `CLOCK_SKEW_MS` ahead of its own clock, which may be this much ahead of the reclaimer's.
 */
const ENTRY_SKEW_MS = 5000;
/** Time for which a fenced member stays listed, for readers with old ids. */
const FENCED_KEPT_MS = 24 * 3_600_000;

/** What a home without a record of an id knows. */
export type UnknownIdStatus = "fresh" | "too-old" | "from-future";

export const EMPTY_SLOT_OWNERSHIP: HomesDocument = {
  writeId: "",
  members: [],
  slots: Array.from({ length: HOME_SLOTS }, () => ({ takeoverAt: 0 })),
};

export function findMember(doc: HomesDocument, incarnation: string): Member | undefined {
  return doc.members.find((member) => member.incarnation === incarnation);
}

export function activeMembers(doc: HomesDocument): readonly Member[] {
  return doc.members.filter((member) => member.state === "active");
}

/** Numbers of the slots of an incarnation. */
export function slotsOf(doc: HomesDocument, incarnation: string): readonly number[] {
  return doc.slots.flatMap((slot, index) => (slot.incarnation === incarnation ? [index] : []));
}

/** Adds an active member, which takes every slot that was never assigned. */
export function addMember(doc: HomesDocument, member: Member): HomesDocument | undefined {
  if (findMember(doc, member.incarnation) !== undefined) return undefined;
  const members = doc.members.filter(
    (old) => old.state !== "fenced" || member.since - old.since < FENCED_KEPT_MS,
  );
  const slots = doc.slots.map((slot) =>
    slot.incarnation === undefined ? { ...slot, incarnation: member.incarnation } : slot,
  );
  return { ...doc, members: [...members, member], slots };
}

/** Marks an active member as retired. */
export function retireMember(
  doc: HomesDocument,
  incarnation: string,
  at: number,
): HomesDocument | undefined {
  if (findMember(doc, incarnation)?.state !== "active") return undefined;
  return { ...doc, members: withState(doc, incarnation, "retired", at) };
}

/** Moves slots whose records the next home already has. Undefined if one has another owner. */
export function moveSlots(
  doc: HomesDocument,
  slots: readonly number[],
  from: string,
  to: string,
): HomesDocument | undefined {
  if (findMember(doc, to)?.state !== "active") return undefined;
  if (slots.some((slot) => doc.slots[slot]?.incarnation !== from)) return undefined;
  const moved = new Set(slots);
  return {
    ...doc,
    slots: doc.slots.map((slot, index) => (moved.has(index) ? { ...slot, incarnation: to } : slot)),
  };
}

/** Gives the slots of a fenced member to the active members that have fewest. */
export function takeOver(
  doc: HomesDocument,
  incarnation: string,
  at: number,
): HomesDocument | undefined {
  if (findMember(doc, incarnation)?.state !== "retired") return undefined;
  const counts = new Map(
    activeMembers(doc).map((member) => [
      member.incarnation,
      slotsOf(doc, member.incarnation).length,
    ]),
  );
  if (counts.size === 0) return undefined;
  const slots = doc.slots.map((slot): HomeSlot => {
    if (slot.incarnation !== incarnation) return slot;
    const next = [...counts].reduce((least, one) => (one[1] < least[1] ? one : least));
    counts.set(next[0], next[1] + 1);
    return { incarnation: next[0], takeoverAt: at };
  });
  return { ...doc, members: withState(doc, incarnation, "fenced", at), slots };
}

/** Slots that a member with more than its share gives to the member with fewest. */
export function excessSlots(
  doc: HomesDocument,
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
    own.length - Math.ceil(HOME_SLOTS / active.length),
    Math.floor(HOME_SLOTS / active.length) - least.count,
  );
  return number > 0 ? { to: least.to, slots: own.slice(0, number) } : undefined;
}

/** What the owner of a slot can know about an id that it has no record of. */
export function classifyUnknownId(
  id: ParsedRequestId,
  takeoverAt: number,
  now: number,
  windowMs: number,
): UnknownIdStatus {
  if (id.createdAt === undefined) {
    return takeoverAt > 0 && now < takeoverAt + windowMs ? "too-old" : "fresh";
  }
  if (id.createdAt > now + CLOCK_SKEW_MS) return "from-future";
  if (id.createdAt < now - windowMs) return "too-old";
  if (takeoverAt > 0 && id.createdAt < takeoverAt + CLOCK_SKEW_MS + ENTRY_SKEW_MS) return "too-old";
  return "fresh";
}

function withState(
  doc: HomesDocument,
  incarnation: string,
  state: Member["state"],
  since: number,
): readonly Member[] {
  return doc.members.map((member) =>
    member.incarnation === incarnation ? { ...member, state, since } : member,
  );
}
