import { test } from "uvu";
import * as assert from "uvu/assert";
import { InstanceOrderTimes } from "../../../src/coordination/jobs/fleet/instance-order-times.ts";
import { SchedulerLock } from "../../../src/coordination/jobs/election/scheduler-lock.ts";
import { MemoryRecordStore } from "../../../src/stand-ins/memory-record-store.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { advanceUntilSettled, VirtualClock } from "../../fakes/virtual-clock.ts";

const LOG = { debug: none, info: none, warn: none, error: none };
const PAUSE_MS = 3000;

function none(): void {
  // These tests do not check log lines.
}

async function acquireTenure(clock: VirtualClock, memory: MemoryRecordStore) {
  const store = memory.client();
  const random = new SeededRandom(1);
  const lock = new SchedulerLock({ store, clock, random, log: LOG, holder: "e" });
  const tenure = (await advanceUntilSettled(clock, lock.acquire()))!;
  const orders = new InstanceOrderTimes({
    ...{ store, clock, tenure, log: LOG, takeoverPauseMs: PAUSE_MS },
  });
  await advanceUntilSettled(clock, orders.load());
  return { lock, tenure, orders };
}

// Guards against orders of two successive schedulers that overlap on one instance.
test("a new scheduler sends no orders to instances that its predecessor ordered recently", async () => {
  const clock = new VirtualClock();
  const memory = new MemoryRecordStore(clock);
  const previous = await acquireTenure(clock, memory);
  assert.is(await advanceUntilSettled(clock, previous.orders.persist(["a"])), true);
  assert.is(previous.orders.allowed("a"), true, "its own orders do not block further ones");
  await advanceUntilSettled(clock, previous.lock.release(previous.tenure));
  const next = await acquireTenure(clock, memory);
  assert.is(next.orders.allowed("a"), false);
  assert.is(next.orders.allowed("b"), true);
  await clock.advance(5000);
  assert.is(next.orders.allowed("a"), true);
});

// Guards against orders of a scheduler that was replaced without noticing.
test("a scheduler that lost its lock can't store orders, so it sends none", async () => {
  const clock = new VirtualClock();
  const memory = new MemoryRecordStore(clock);
  const previous = await acquireTenure(clock, memory);
  await clock.advance(4000);
  await acquireTenure(clock, memory);
  assert.is(await advanceUntilSettled(clock, previous.orders.persist(["a"])), false);
});

test.run();
