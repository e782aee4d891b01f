import { test } from "uvu";
import * as assert from "uvu/assert";
import { DurationModels } from "../../../src/state/jobs/scheduling/duration-model.ts";
import { Job } from "../../../src/state/jobs/records/job.ts";
import {
  chainMs,
  compareStepRanks,
  rankStep,
  remainingChainMs,
} from "../../../src/state/jobs/scheduling/job-order.ts";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { jobSpec } from "../../fakes/jobs/run-builders.ts";

const URGENCY = { priority: 0, stretch: 1.6, targetLatencyMs: 600 };

function rank(
  estimateMs: number,
  acceptedAtMs: number,
  now: number,
  changes = {},
  durations = new DurationModels(),
) {
  const request = jobRequest(step({ estimateMs, ...changes }));
  const job = new Job(jobSpec(request, { acceptedAtMs }));
  const [occurrence] = job.occurrences;
  return rankStep(occurrence!.steps[0]!, occurrence!, URGENCY, now, durations);
}

test("the longest chain follows the dependencies of steps instead of adding up all steps", () => {
  const request = jobRequest(
    step({ estimateMs: 100 }),
    step({ estimateMs: 300 }),
    step({ estimateMs: 50, after: [0, 1] }),
  );
  const [occurrence] = new Job(jobSpec(request)).occurrences;
  const durations = new DurationModels();
  assert.is(Math.round(chainMs(occurrence!, durations)), 350);
  assert.is(Math.round(remainingChainMs(occurrence!, 0, durations)), 150);
  assert.is(Math.round(remainingChainMs(occurrence!, 2, durations)), 50);
});

test("a job that can no longer be on time does not delay one that can", () => {
  const late = rank(1000, 0, 5000);
  const fresh = rank(1000, 4900, 5000);
  assert.is(late.canBeOnTime, false);
  assert.ok(compareStepRanks(fresh, late) < 0);
});

test("among jobs that can be on time the one with the least time left comes first", () => {
  assert.ok(compareStepRanks(rank(1000, 0, 100), rank(1000, 500, 600)) < 0);
});

/** Models of a queue whose tasks take a multiple of their declared durations. */
function trainedModels(factor: number): DurationModels {
  const durations = new DurationModels();
  for (let ended = 0; ended < 40; ended++)
    durations.forQueue("queue").observe(500 + ended * 50, (500 + ended * 50) * factor);
  return durations;
}

test("declarations ten times too high do not make late jobs count as on time", () => {
  // 10 s are declared but the task takes 1 s, so the job had to end after 2.2 s.
  assert.is(rank(10_000, 0, 4000, {}, trainedModels(0.1)).canBeOnTime, false);
  assert.is(rank(10_000, 0, 4000).canBeOnTime, true);
});

test("declarations ten times too low do not make jobs that can be on time count as late", () => {
  assert.is(rank(100, 0, 1200, {}, trainedModels(10)).canBeOnTime, true);
  assert.is(rank(100, 0, 1200).canBeOnTime, false);
});

test("long-running tasks come first, then the queue's priority", () => {
  const lasting = rank(1000, 0, 99_000, { longRunning: true });
  const urgent = rank(1000, 98_900, 99_000);
  assert.ok(compareStepRanks(lasting, urgent) < 0);
  assert.ok(compareStepRanks(urgent, { ...urgent, priority: 1, latestStartMs: 0 }) < 0);
});

test("occurrences of a schedule are released when they are due and never earlier", () => {
  const schedule = { occurrences: 3, firstAtMs: 1000, intervalMs: 500 };
  const job = new Job(jobSpec({ ...jobRequest(step()), schedule }));
  job.release(999);
  assert.is(job.occurrences.length, 0);
  job.release(1500);
  assert.is(job.occurrences.length, 2);
  assert.is(job.nextRelease(), 2000);
  job.release(9000);
  assert.is(job.occurrences.length, 3);
});

test("stored progress is restored with the placements of active runs", () => {
  const job = new Job(jobSpec(jobRequest(step({ tasks: 2 }))));
  const [first, second] = [...job.tasks()];
  Object.assign(first!, { run: 3, done: true });
  Object.assign(second!, { run: 1, failures: 1, placement: { server: "s", bootedAt: 7 } });
  job.refreshState(0);
  const copy = new Job(job.spec);
  copy.restore(job.toRecord(), 9);
  assert.equal(copy.toRecord(), job.toRecord());
  assert.is(copy.state, "running");
});

test.run();
