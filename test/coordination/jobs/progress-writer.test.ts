import { test } from "uvu";
import * as assert from "uvu/assert";
import { ProgressWriter } from "../../../src/coordination/jobs/records/progress-writer.ts";
import { LockTenure } from "../../../src/coordination/jobs/election/scheduler-lock.ts";
import { progressKey, SCHEDULER_KEY } from "../../../src/protocol/job-records.ts";
import { MemoryRecordStore } from "../../../src/stand-ins/memory-record-store.ts";
import { Job } from "../../../src/state/jobs/records/job.ts";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { jobSpec } from "../../fakes/jobs/run-builders.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { advanceUntilSettled, VirtualClock } from "../../fakes/virtual-clock.ts";

const LATENCY_MS = 20;
const LOG = { debug: none, info: none, warn: none, error: none };

function none(): void {
  // These tests do not check log lines.
}

/** A writer that holds the lock, on a store with latency. */
async function setUp() {
  const clock = new VirtualClock();
  const memory = new MemoryRecordStore(clock, { latencyMs: LATENCY_MS });
  const store = memory.client();
  const lock = { key: SCHEDULER_KEY, value: Uint8Array.of(1) };
  const token = (
    await advanceUntilSettled(clock, store.commit({ conditions: [], puts: [lock] }))
  ).unwrap();
  const tenure = new LockTenure(clock, token, 1, { now: 0, wallTime: 0 });
  let transactions = 0;
  const writer = new ProgressWriter({
    ...{ store, clock, log: LOG, tenure, random: new SeededRandom(1) },
    onAttemptEnded: () => transactions++,
  });
  return { clock, memory, writer, tenure, store, transactions: () => transactions };
}

function jobs(count: number): readonly Job[] {
  return Array.from(
    { length: count },
    (_, index) => new Job(jobSpec(jobRequest(step()), { id: `job${index}` })),
  );
}

test("many pending jobs are written by concurrent transactions", async () => {
  const { clock, memory, writer } = await setUp();
  const begunAt = clock.now();
  const all = jobs(60);
  const stored = await advanceUntilSettled(clock, Promise.all(all.map((job) => writer.save(job))));
  assert.ok(stored.every(Boolean));
  for (const { spec } of all) assert.ok(memory.read(progressKey(spec.id)));
  assert.ok(clock.now() - begunAt < 3 * LATENCY_MS, "not one transaction after another");
});

test("a few pending jobs share one transaction, because each call has a cost", async () => {
  const { clock, writer, transactions } = await setUp();
  const [first, ...others] = jobs(10);
  const saved = [writer.save(first!)];
  await clock.advance(5);
  for (const job of others) saved.push(writer.save(job));
  await advanceUntilSettled(clock, Promise.all(saved));
  assert.is(transactions(), 2);
});

// Guards against conflicts between own transactions, which would look like a second scheduler.
test("a job that changes during its write is never in two transactions at the same time", async () => {
  const { clock, memory, writer, tenure } = await setUp();
  const all = jobs(40);
  const saved: Promise<boolean>[] = [];
  for (let round = 0; round < 6; round++) {
    for (const job of all) {
      job.endedAtMs = round;
      saved.push(writer.save(job));
    }
    await clock.advance(7);
  }
  const stored = await advanceUntilSettled(clock, Promise.all(saved));
  assert.ok(stored.every(Boolean));
  assert.not(tenure.signal.aborted, "no write conflicted with another");
  for (const { spec, revision } of all)
    assert.is(memory.read(progressKey(spec.id))?.revision, revision);
});

// Guards against one transaction without a response that delays all other progress.
test("a lost response does not block the progress of other jobs", async () => {
  const { clock, memory, writer, store } = await setUp();
  const [first, second] = jobs(2);
  Object.assign(store.faults, { lostReplies: 1, lostCommitDelayMs: 5000 });
  const saved = [writer.save(first!)];
  await clock.advance(100);
  saved.push(writer.save(second!));
  await clock.advance(950);
  assert.ok(
    memory.read(progressKey(second!.spec.id)),
    "written although the outcome of the first write is unknown",
  );
  assert.not(writer.stalled);
  assert.equal(await advanceUntilSettled(clock, Promise.all(saved)), [true, true]);
});

test("the writer is stalled until all transactions of a store outage have completed", async () => {
  const { clock, writer, store } = await setUp();
  store.faults.unresponsive = true;
  const saved = jobs(40).map((job) => writer.save(job));
  await clock.advance(1500);
  assert.ok(writer.stalled);
  store.faults.unresponsive = false;
  await advanceUntilSettled(clock, Promise.all(saved));
  assert.not(writer.stalled);
});

test.run();
