import { test } from "uvu";
import * as assert from "uvu/assert";
import type { OwnerLookup } from "../../src/coordination/ports.ts";
import { connect, entryFixture, advanceUntilSettled, summary } from "../fakes/entry-fixture.ts";
import type { EntryFixture } from "../fakes/entry-fixture.ts";
import { VirtualClock } from "../fakes/virtual-clock.ts";

const ID = "red:jobs:order-1";
const KEYED = { idempotencyKey: "order-1" };
const matches = (requestId: string): boolean => requestId === ID;

interface Pair {
  readonly clock: VirtualClock;
  readonly first: EntryFixture;
  readonly second: EntryFixture;
  /** Sets which owner of the id each entry sees. */
  readonly setOwners: (atFirst: OwnerLookup, atSecond: OwnerLookup) => void;
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
  const setOwners = (atFirst: OwnerLookup, atSecond: OwnerLookup): void => {
    first.ownership.lookupOverrides.set(ID, atFirst);
    second.ownership.lookupOverrides.set(ID, atSecond);
  };
  setOwners(SELF, AT_FIRST);
  return { clock, first, second, setOwners };
}

/** Moves the id's record as a planned transfer of its hash slot does. */
function move({ first, second, setOwners }: Pair): void {
  setOwners(MOVING, AT_FIRST);
  const records = first.path.records.export(matches);
  assert.ok(records !== undefined && second.path.records.import(records));
  setOwners(AT_SECOND, SELF);
  first.path.records.drop(matches);
}

// Guards against a queued request that both the previous and the new owner dispatch.
test("a queued request moves with its slot, and its waiting caller gets the answer", async () => {
  const entries = pair();
  const { clock, first, second } = entries;
  const reply = first.submit(KEYED);
  await clock.advance(10);
  move(entries);
  first.held.add("s1");
  second.held.add("s2");
  assert.is(summary(await advanceUntilSettled(clock, reply)), "answer");
  assert.is(first.held.started.length + second.held.started.length, 1);
});

// Guards against losing the result of a running request while its owner changes.
test("the result of a running request reaches the new owner", async () => {
  const entries = pair();
  const { clock, first } = entries;
  first.held.add("s1");
  first.held.runMs = undefined;
  const reply = first.submit(KEYED);
  await clock.until(() => first.held.started.length === 1);
  const { spec } = first.held.started[0]!;
  entries.setOwners(MOVING, AT_FIRST);
  first.held.finish(spec, { kind: "answer", payload: spec.payload });
  entries.setOwners(SELF, AT_FIRST);
  move(entries);
  assert.is(summary(await advanceUntilSettled(clock, reply)), "answer");
  assert.is(first.held.started.length, 1);
  await clock.until(() => first.held.acknowledged.length === 1);
});

// Guards against requests that wait forever, or run twice, after a transfer that was not completed.
test("a request continues at its owner when the transfer of its slot is not completed", async () => {
  const { clock, first, second, setOwners } = pair();
  const reply = first.submit(KEYED);
  await clock.advance(10);
  setOwners(MOVING, AT_FIRST);
  const records = first.path.records.export(matches)!;
  second.path.records.import(records);
  first.held.add("s1");
  second.held.add("s2");
  await clock.advance(500);
  assert.is(first.held.started.length, 0);
  setOwners(SELF, AT_FIRST);
  assert.is(summary(await advanceUntilSettled(clock, reply)), "answer");
  // The first entry is lost later and its slot taken over, so the second's old copy proves nothing.
  second.ownership.idStatuses.set(ID, "too-old");
  setOwners(AT_SECOND, SELF);
  const retry = await advanceUntilSettled(clock, second.submit(KEYED));
  assert.is(summary(retry), "outcome_unknown ran=unknown");
  assert.is(first.held.started.length + second.held.started.length, 1);
});

// Guards against a slot transfer during a start, after which both owners could start the request.
test("a slot is not transferred while one of its requests is being started", async () => {
  const { clock, first, setOwners } = pair();
  first.held.add("s1");
  let exported: unknown = [];
  first.held.rule = () => {
    exported = first.path.records.export(matches);
    return undefined;
  };
  setOwners(SELF, AT_FIRST);
  assert.is(summary(await advanceUntilSettled(clock, first.submit(KEYED))), "answer");
  assert.is(exported, undefined);
});

// Guards against losing stored outcomes in a slot transfer.
test("a stored answer moves with its slot", async () => {
  const entries = pair();
  const { clock, first, second } = entries;
  first.held.add("s1");
  await advanceUntilSettled(clock, first.submit(KEYED));
  move(entries);
  assert.is(summary(await advanceUntilSettled(clock, second.submit(KEYED))), "answer");
  assert.is(summary(await advanceUntilSettled(clock, first.submit(KEYED))), "answer");
  assert.is(first.held.started.length + second.held.started.length, 1);
});

test.run();
