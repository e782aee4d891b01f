import { test } from "uvu";
import * as assert from "uvu/assert";
import { JobSubmitter } from "../../../src/coordination/jobs/job-submitter.ts";
import { jobKey } from "../../../src/protocol/job-records.ts";
import { MemoryRecordStore } from "../../../src/stand-ins/memory-record-store.ts";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { jobSpec } from "../../fakes/jobs/run-builders.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { onClock, VirtualClock } from "../../fakes/virtual-clock.ts";

const WAIT_MS = 3000;
const PROMPT_MS = 1500;
const LOG = { debug: none, info: none, warn: none, error: none };

function none(): void {
  // Lines are not looked at here.
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

test("jobs of one moment share a transaction, and one that is known is accepted again", async () => {
  const { clock, memory, submit } = setUp();
  assert.is(await onClock(clock, submit("a")), "accepted");
  const before = memory.revision;
  const outcomes = await onClock(clock, Promise.all([submit("a"), submit("b"), submit("c")]));
  assert.equal(outcomes, ["accepted", "accepted", "accepted"]);
  assert.is(memory.revision, before + 1, "one transaction for both new jobs");
});

test("callers are refused soon and truthfully while the store refuses", async () => {
  const { clock, memory, store, submit } = setUp();
  store.faults.refusing = true;
  const began = clock.now();
  assert.is(await onClock(clock, submit("a")), "refused");
  assert.ok(clock.now() - began < PROMPT_MS);
  store.faults.refusing = false;
  await clock.advance(5000);
  assert.is(memory.read(jobKey("a")), undefined, "a refused job is never stored");
});

test("a caller who arrives while a silent store is waited for is refused soon", async () => {
  const { clock, store, submit } = setUp();
  store.faults.silent = true;
  const first = submit("a");
  await clock.advance(2000);
  const began = clock.now();
  assert.is(await onClock(clock, submit("b")), "refused");
  assert.ok(clock.now() - began < PROMPT_MS);
  assert.is(await onClock(clock, first), "unknown", "the first may still be stored");
});

test("a lost answer is settled by a repeat instead of a refusal", async () => {
  const { clock, memory, store, submit } = setUp();
  store.faults.lostAnswers = 1;
  assert.is(await onClock(clock, submit("a")), "accepted");
  assert.ok(memory.read(jobKey("a")));
});

test.run();
