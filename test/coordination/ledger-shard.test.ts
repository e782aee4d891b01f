import { Err, type Result } from "ts-results";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { DocumentStore } from "../../src/coordination/document-store.ts";
import { LedgerShard } from "../../src/coordination/ledger-shard.ts";
import type { KvEntry, KvError, KvPut } from "../../src/ports/key-value-service.ts";
import { KeyValueStore } from "../../src/stand-ins/key-value-store.ts";
import { RecordedCounters } from "../fakes/observability-fakes.ts";
import { SeededRandom } from "../fakes/seeded-random.ts";
import { advanceUntilSettled, VirtualClock } from "../fakes/virtual-clock.ts";

/** Delays writes, which then get no reply, or the replies to reads. */
class SlowStore extends KeyValueStore {
  holdWrites = false;
  readDelay: Promise<void> | undefined;
  heldWrite: KvPut | undefined;

  override put(put: KvPut): Promise<Result<number, KvError>> {
    if (!this.holdWrites) return super.put(put);
    this.heldWrite ??= put;
    return Promise.resolve(Err({ kind: "ambiguous", detail: "held back" }));
  }

  override async get(key: string): Promise<Result<KvEntry | undefined, KvError>> {
    const delay = this.readDelay;
    const reply = await super.get(key);
    await delay;
    return reply;
  }
}

function setUp() {
  const clock = new VirtualClock();
  const kv = new SlowStore({ clock });
  const random = new SeededRandom(1);
  const store = new DocumentStore({ kv, clock, random, counters: new RecordedCounters() });
  const limitOf = () => ({ limit: 10, configRevision: 1 });
  const shardOf = (incarnation: string) =>
    new LedgerShard({ shard: 0, incarnation, store, clock, limitOf });
  const targets = (target: number) => [{ team: "t", target, limit: 10, configRevision: 1 }];
  return { clock, kv, shard: shardOf("a"), other: shardOf("b"), targets };
}

// Guards against using budget that a late write releases: the reply to a lowering was lost, the row
// still has the previous budget, and the write takes effect afterwards.
test("budget whose release has an unknown outcome stays unused until the write can no longer take effect", async () => {
  const { clock, kv, shard, other, targets } = setUp();
  await advanceUntilSettled(clock, shard.adjust(targets(5)));
  kv.holdWrites = true;
  const result = await advanceUntilSettled(clock, shard.adjust(targets(2)));
  assert.is(result.ok ? undefined : result.val.kind, "ambiguous");
  kv.holdWrites = false;
  await advanceUntilSettled(clock, shard.read());
  assert.equal([shard.budget("t"), shard.allowance("t")], [5, 2]);
  const lateWrite = kv.heldWrite!;
  await advanceUntilSettled(clock, other.adjust(targets(1)));
  await advanceUntilSettled(clock, shard.read());
  assert.is(shard.allowance("t"), 5);
  assert.is((await kv.put(lateWrite)).ok, false);
});

// Guards against budget that stays unused: the raise takes effect although its writer got no reply,
// and a shard in which it has no rows is not read again.
test("a raise without a reply counts as unresolved until it has taken effect", async () => {
  const { clock, kv, shard, other, targets } = setUp();
  await advanceUntilSettled(clock, other.adjust(targets(1)));
  kv.holdWrites = true;
  await advanceUntilSettled(clock, shard.adjust(targets(5)));
  kv.holdWrites = false;
  await advanceUntilSettled(clock, shard.read());
  assert.equal([shard.hasUnresolvedWrite, shard.budget("t")], [true, 0]);
  assert.is((await kv.put(kv.heldWrite!)).ok, true);
  await advanceUntilSettled(clock, shard.read());
  assert.equal([shard.hasUnresolvedWrite, shard.budget("t")], [false, 5]);
});

// Guards against a late reply that still contains budget released after the reply was sent.
test("a reply that arrives after a newer one is ignored", async () => {
  const { clock, kv, shard, targets } = setUp();
  await advanceUntilSettled(clock, shard.adjust(targets(5)));
  let release = (): void => undefined;
  kv.readDelay = new Promise((resolve) => {
    release = resolve;
  });
  const late = shard.read();
  await clock.advance(1);
  kv.readDelay = undefined;
  await advanceUntilSettled(clock, shard.adjust(targets(2)));
  release();
  await advanceUntilSettled(clock, late);
  assert.is(shard.allowance("t"), 2);
});

test.run();
