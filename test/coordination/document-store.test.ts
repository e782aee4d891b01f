import { test } from "uvu";
import * as assert from "uvu/assert";
import * as v from "valibot";
import { DocumentFollower } from "../../src/coordination/document-follower.ts";
import { DocumentStore, type DocumentKind } from "../../src/coordination/document-store.ts";
import { KeyValueStore } from "../../src/stand-ins/key-value-store.ts";
import { LinkedKeyValue, newLink } from "../fakes/limits-network.ts";
import { ProcessClock, ProcessGate } from "../fakes/process-gate.ts";
import { RecordedCounters } from "../fakes/observability-fakes.ts";
import { SeededRandom } from "../fakes/seeded-random.ts";
import { advanceUntilSettled, VirtualClock } from "../fakes/virtual-clock.ts";

interface Tally {
  readonly writeId: string;
  readonly count: number;
  readonly writers: readonly string[];
}

const KIND: DocumentKind<Tally> = {
  key: "tally",
  schema: v.strictObject({ writeId: v.string(), count: v.number(), writers: v.array(v.string()) }),
};

function setUp(seed = 1) {
  const world = new VirtualClock();
  const clock = new ProcessClock({ base: world, gate: new ProcessGate({ clock: world }) });
  const random = new SeededRandom(seed);
  const link = newLink();
  const inner = new KeyValueStore({ clock: world });
  const kv = new LinkedKeyValue(inner, { link, baseClock: world, clock, random });
  const counters = new RecordedCounters();
  const store = new DocumentStore({ kv, clock, random, counters });
  return { world, clock, random, link, inner, kv, counters, store };
}

// Guards against applying a write twice because its reply was lost, or reporting it as failed
// although it took effect.
test("changes are applied exactly once despite lost replies and conflicts", async () => {
  const { world, link, store, counters } = setUp();
  link.lostReplyProbability = 0.4;
  const done = Array.from({ length: 12 }, (_, i) =>
    store.update(
      KIND,
      (old, writeId) => {
        if (old?.writers.includes(`w${i}`) === true) return undefined;
        return {
          writeId,
          count: (old?.count ?? 0) + 1,
          writers: [...(old?.writers ?? []), `w${i}`],
        };
      },
      { deadlineMs: 300_000 },
    ),
  );
  const results = await advanceUntilSettled(world, Promise.all(done), 600_000);
  assert.ok(results.every((result) => result.ok));
  link.lostReplyProbability = 0;
  const last = await advanceUntilSettled(world, store.read(KIND));
  assert.is(last.unwrap()?.value.count, 12);
  assert.ok(counters.count("retry_kv_ambiguous") > 0);
});

// Guards against reporting a definite outcome while the write may still take effect.
test("a write without any reply is reported as ambiguous", async () => {
  const { world, link, store } = setUp();
  const change = (_: Tally | undefined, writeId: string): Tally => ({
    writeId,
    count: 1,
    writers: [],
  });
  link.lostReplyProbability = 1;
  const from = { revision: 0, value: { writeId: "", count: 0, writers: [] } };
  const result = await advanceUntilSettled(
    world,
    store.update(KIND, change, { from, deadlineMs: 2 }),
  );
  assert.equal(result.ok ? undefined : result.val.kind, "ambiguous");
});

// Guards against a follower that returns an older document after an outage, and against measuring
// the age of a confirmation from the reply instead of the call.
test("a follower recovers from an outage and never returns to an older document", async () => {
  const { world, clock, random, link, inner, kv, counters } = setUp();
  const put = (count: number, expectedRevision: number) =>
    inner.put({
      key: "tally",
      value: JSON.stringify({ writeId: "x", count, writers: [] }),
      expectedRevision,
    });
  const revision = (await put(1, 0)).unwrap();
  const follower = new DocumentFollower({ kind: KIND, kv, clock, random, counters, waitMs: 1000 });
  void follower.run();
  await world.until(() => follower.current?.value.count === 1);
  link.down = true;
  await world.advance(3000);
  assert.ok(follower.ageMs > 2000);
  const newer = (await put(2, revision)).unwrap();
  link.down = false;
  await world.until(() => follower.current?.value.count === 2);
  follower.adopt({ revision: newer - 1, value: { writeId: "x", count: 1, writers: [] } });
  assert.is(follower.current?.value.count, 2);
  await world.advance(5000);
  assert.ok(follower.ageMs <= 2100, `${follower.ageMs} ms`);
  follower.stop();
});

test.run();
