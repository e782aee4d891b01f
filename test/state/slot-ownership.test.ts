import { test } from "uvu";
import * as assert from "uvu/assert";
import { parseRequestId, requestIdForKey } from "../../src/protocol/request-id.ts";
import {
  EMPTY_SLOT_OWNERSHIP,
  excessSlots,
  classifyUnrecordedId,
  addMember,
  moveSlots,
  retireMember,
  slotsOf,
  takeOver,
} from "../../src/state/slot-ownership.ts";
import { SeededRandom } from "../fakes/seeded-random.ts";

const NOW = 1_700_000_000_000;
const WINDOW_MS = 3_600_000;

function member(incarnation: string) {
  const place = { address: "10.0.0.1:1", zone: "a", group: "g" };
  return { incarnation, ...place, state: "active" as const, since: NOW };
}

function idCreatedAt(at: number) {
  const key = new SeededRandom(1).uuidV7(at);
  return parseRequestId(requestIdForKey("t", "q", key))!;
}

// Guards against treating the same key of two teams or queues as one request.
test("ids are scoped by team and queue and keep the time of a UUIDv7", () => {
  const key = new SeededRandom(1).uuidV7(NOW);
  const ids = [
    requestIdForKey("t", "q", key),
    requestIdForKey("u", "q", key),
    requestIdForKey("t", "r", key),
    requestIdForKey(undefined, "q", key),
  ];
  assert.is(new Set(ids).size, 4);
  assert.is(parseRequestId(ids[0]!)?.createdAt, NOW);
  assert.is(requestIdForKey("t", "q", `e1.${key}`), `e1.${key}`);
});

// Guards against running a request again that the former owner may have run.
test("after a takeover, ids from before it and keys without a time are too old", () => {
  const classify = (createdAt: number, takeoverAt: number) =>
    classifyUnrecordedId(idCreatedAt(createdAt), takeoverAt, NOW, WINDOW_MS);
  assert.is(classify(NOW - 1000, 0), "fresh");
  assert.is(classify(NOW - WINDOW_MS - 1, 0), "too-old");
  assert.is(classify(NOW + 31_000, 0), "from-future");
  // The former owner may have accepted an id 30 s ahead of its clock, which may be 5 s ahead.
  assert.is(classify(NOW + 24_999, NOW - 10_000), "too-old");
  assert.is(classify(NOW + 25_000, NOW - 10_000), "fresh");
  const order = parseRequestId(requestIdForKey("t", "q", "order-7"))!;
  assert.is(classifyUnrecordedId(order, NOW - 1000, NOW, WINDOW_MS), "too-old");
  assert.is(classifyUnrecordedId(order, NOW - WINDOW_MS, NOW, WINDOW_MS), "fresh");
});

// Guards against a slot with two owners, and against slots that stay with one member.
test("slots move to joining members, and to the other members after fencing", () => {
  let doc = addMember(addMember(EMPTY_SLOT_OWNERSHIP, member("e1"))!, member("e2"))!;
  const move = excessSlots(doc, "e1", ["e2"])!;
  assert.equal([move.to, move.slots.length], ["e2", 32]);
  doc = moveSlots(doc, move.slots, "e1", "e2")!;
  assert.is(moveSlots(doc, move.slots, "e1", "e2"), undefined);
  assert.is(takeOver(doc, "e1", NOW), undefined);
  const fenced = takeOver(retireMember(doc, "e1", NOW)!, "e1", NOW + 1)!;
  assert.is(slotsOf(fenced, "e2").length, 64);
  assert.is(fenced.slots.filter(({ takeoverAt }) => takeoverAt === NOW + 1).length, 32);
  assert.is(addMember(fenced, member("e1")), undefined);
});

test.run();
