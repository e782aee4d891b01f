import { test } from "uvu";
import * as assert from "uvu/assert";
import type { OwnerLookup } from "../../src/coordination/ports.ts";
import { connect, entryFixture, onClock, summary } from "../fakes/entry-fixture.ts";
import type { EntryFixture } from "../fakes/entry-fixture.ts";
import { VirtualClock } from "../fakes/virtual-clock.ts";

const ID = "red:jobs:order-1";
const KEYED = { idempotencyKey: "order-1" };
const matches = (requestId: string): boolean => requestId === ID;

interface Pair {
  readonly clock: VirtualClock;
  readonly first: EntryFixture;
  readonly second: EntryFixture;
  /** States where each entry thinks the home of the id is. */
  readonly place: (atFirst: OwnerLookup, atSecond: OwnerLookup) => void;
}

const SELF = { kind: "self" } as const;
const MOVING = { kind: "moving" } as const;
const AT_FIRST = { kind: "peer", incarnation: "e1" } as const;
const AT_SECOND = { kind: "peer", incarnation: "e2" } as const;

function pair(): Pair {
  const clock = new VirtualClock();
  const first = entryFixture({ name: "e1", clock });
  const second = entryFixture({ name: "e2", clock });
  connect(first, second);
  const place = (atFirst: OwnerLookup, atSecond: OwnerLookup): void => {
    first.homes.placed.set(ID, atFirst);
    second.homes.placed.set(ID, atSecond);
  };
  place(SELF, AT_FIRST);
  return { clock, first, second, place };
}

/** Moves the id's record as a planned hand-over of its slot does. */
function move({ first, second, place }: Pair): void {
  place(MOVING, AT_FIRST);
  const records = first.path.records.export(matches);
  assert.ok(records !== undefined && second.path.records.import(records));
  place(AT_SECOND, SELF);
  first.path.records.drop(matches);
}

// Guards against a queued request that both the former and the next home dispatch.
test("a queued request moves with its slot, and its waiting caller gets the answer", async () => {
  const entries = pair();
  const { clock, first, second } = entries;
  const reply = first.submit(KEYED);
  await clock.advance(10);
  move(entries);
  first.held.add("s1");
  second.held.add("s2");
  assert.is(summary(await onClock(clock, reply)), "answer");
  assert.is(first.held.started.length + second.held.started.length, 1);
});

// Guards against the result of a running request that is lost between two homes.
test("the result of a running request reaches the next home", async () => {
  const entries = pair();
  const { clock, first } = entries;
  first.held.add("s1");
  first.held.runMs = undefined;
  const reply = first.submit(KEYED);
  await clock.until(() => first.held.started.length === 1);
  const { spec } = first.held.started[0]!;
  entries.place(MOVING, AT_FIRST);
  first.held.finish(spec, { kind: "answer", payload: spec.payload });
  entries.place(SELF, AT_FIRST);
  move(entries);
  assert.is(summary(await onClock(clock, reply)), "answer");
  assert.is(first.held.started.length, 1);
  await clock.until(() => first.held.acknowledged.length === 1);
});

// Guards against requests that wait for ever, or run twice, after a move that did not happen.
test("a request goes on here when its slot stays", async () => {
  const { clock, first, second, place } = pair();
  const reply = first.submit(KEYED);
  await clock.advance(10);
  place(MOVING, AT_FIRST);
  const records = first.path.records.export(matches)!;
  second.path.records.import(records);
  first.held.add("s1");
  second.held.add("s2");
  await clock.advance(500);
  assert.is(first.held.started.length, 0);
  place(SELF, AT_FIRST);
  assert.is(summary(await onClock(clock, reply)), "answer");
  // The first entry is lost later and the slot taken over, so the old copy proves nothing.
  second.homes.verdicts.set(ID, "too-old");
  place(AT_SECOND, SELF);
  const retry = await onClock(clock, second.submit(KEYED));
  assert.is(summary(retry), "outcome_unknown ran=unknown");
  assert.is(first.held.started.length + second.held.started.length, 1);
});

// Guards against a move in the middle of a start, after which both homes could start the request.
test("a request that is being started keeps its slot from moving", async () => {
  const { clock, first, place } = pair();
  first.held.add("s1");
  let exported: unknown = [];
  first.held.rule = () => {
    exported = first.path.records.export(matches);
    return undefined;
  };
  place(SELF, AT_FIRST);
  assert.is(summary(await onClock(clock, first.submit(KEYED))), "answer");
  assert.is(exported, undefined);
});

// Guards against stored outcomes that a move loses.
test("a stored answer moves with its slot", async () => {
  const entries = pair();
  const { clock, first, second } = entries;
  first.held.add("s1");
  await onClock(clock, first.submit(KEYED));
  move(entries);
  assert.is(summary(await onClock(clock, second.submit(KEYED))), "answer");
  assert.is(summary(await onClock(clock, first.submit(KEYED))), "answer");
  assert.is(first.held.started.length + second.held.started.length, 1);
});

test.run();
