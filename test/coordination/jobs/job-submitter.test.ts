import { test } from "uvu";
import * as assert from "uvu/assert";
import { JobSubmitter } from "../../../src/coordination/jobs/admission/job-submitter.ts";
import { jobKey } from "../../../src/protocol/job-records.ts";
import { MemoryRecordStore } from "../../../src/stand-ins/memory-record-store.ts";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { jobSpec } from "../../fakes/jobs/run-builders.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { advanceUntilSettled, VirtualClock } from "../../fakes/virtual-clock.ts";

const WAIT_MS = 3000;
const PROMPT_MS = 1500;
const LOG = { debug: none, info: none, warn: none, error: none };

function none(): void {
  // These tests do not check log lines.
}

function setUp() {
  const clock = new VirtualClock();
  const memory = new MemoryRecordStore(clock);
  const store = memory.client();
  const submitter = new JobSubmitter({
    ...{ store, clock, log: LOG, random: new SeededRandom(1) },
    stored: none,
  });
  const submit = (id: string) =>
    submitter.submit(jobSpec(jobRequest(step()), { id }), clock.now() + WAIT_MS);
  return { clock, memory, store, submit };
}

test("concurrent submissions share a transaction, and a stored job is accepted again", async () => {
  const { clock, memory, submit } = setUp();
  assert.is(await advanceUntilSettled(clock, submit("a")), "accepted");
  const before = memory.revision;
  const outcomes = await advanceUntilSettled(
    clock,
    Promise.all([submit("a"), submit("b"), submit("c")]),
  );
  assert.equal(outcomes, ["accepted", "accepted", "accepted"]);
  assert.is(memory.revision, before + 1, "one transaction for both new jobs");
});

// Guards against callers that are told a job was refused although it is stored later.
test("callers are refused promptly while the store refuses, and refused jobs are not stored", async () => {
  const { clock, memory, store, submit } = setUp();
  store.faults.refusing = true;
  const began = clock.now();
  assert.is(await advanceUntilSettled(clock, submit("a")), "refused");
  assert.ok(clock.now() - began < PROMPT_MS);
  store.faults.refusing = false;
  await clock.advance(5000);
  assert.is(memory.read(jobKey("a")), undefined, "a refused job is never stored");
});

// Guards against callers that wait until their deadline behind a write without a response.
test("a new submission is refused promptly while the store is unresponsive", async () => {
  const { clock, store, submit } = setUp();
  store.faults.unresponsive = true;
  const first = submit("a");
  await clock.advance(2000);
  const began = clock.now();
  assert.is(await advanceUntilSettled(clock, submit("b")), "refused");
  assert.ok(clock.now() - began < PROMPT_MS);
  assert.is(
    await advanceUntilSettled(clock, first),
    "unknown",
    "the first job may still be stored",
  );
});

test("a write whose response was lost is retried and the job accepted", async () => {
  const { clock, memory, store, submit } = setUp();
  store.faults.lostReplies = 1;
  assert.is(await advanceUntilSettled(clock, submit("a")), "accepted");
  assert.ok(memory.read(jobKey("a")));
});

test.run();
