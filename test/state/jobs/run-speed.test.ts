import { test } from "uvu";
import * as assert from "uvu/assert";
import { DurationModels } from "../../../src/state/jobs/scheduling/duration-model.ts";
import { RunRegistry, type ActiveRun } from "../../../src/state/jobs/execution/run-registry.ts";
import {
  countSlowJobs,
  expectedDuration,
  isOverdue,
  isServerAtFault,
  shouldRestart,
} from "../../../src/state/jobs/execution/run-speed.ts";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { activeRun, stepRun } from "../../fakes/jobs/run-builders.ts";

/** Time in ms since the runs of a step were started. */
const ELAPSED_MS = 1500;
const HEALTHY_RATIO = 1;

/** Runs of one step on a server each, with their progress in percent. */
function runsOfStep(percents: readonly number[], estimateMs: number) {
  const ofStep = stepRun(jobRequest(step({ tasks: percents.length, estimateMs })));
  const registry = new RunRegistry();
  const runs = percents.map((percent, index) => {
    const run = activeRun(ofStep.tasks[index]!, progress(percent, `s${index}`));
    registry.add(run);
    return run;
  });
  return { registry, runs, durations: new DurationModels() };
}

function progress(percent: number, server: string): Partial<ActiveRun> {
  const lastProgress = { clockMs: 9000 + ELAPSED_MS, percent };
  const firstProgress = { clockMs: 9000, percent: 0 };
  return { server, percent, lastProgress, firstProgress, listedAt: ELAPSED_MS };
}

/** True if straggler detection would restart the first run. */
function restarts({ registry, runs, durations }: ReturnType<typeof runsOfStep>): boolean {
  const [run] = runs;
  const expected = expectedDuration(run!, registry, durations);
  if (!shouldRestart(run!, expected, 0)) return false;
  return isServerAtFault(run!, expected, HEALTHY_RATIO, 1);
}

for (const estimateMs of [150, 1500, 15_000]) {
  test(`runs as fast as their siblings continue whatever was declared (${estimateMs} ms)`, () => {
    // Each takes 3.3 s.
    assert.is(restarts(runsOfStep([45, 45, 46, 44], estimateMs)), false);
  });

  test(`a run with hardly any progress compared with its siblings restarts (declared ${estimateMs} ms)`, () => {
    assert.is(restarts(runsOfStep([4, 45, 46, 44], estimateMs)), true);
  });
}

test("a run without siblings is compared with the durations of its queue", () => {
  const slow = runsOfStep([45], 100);
  for (let ended = 0; ended < 50; ended++) slow.durations.forQueue("queue").observe(100, 1000);
  assert.is(restarts(slow), false, "3.3 s where 1 s is usual may be caused by the task itself");
  const hung = runsOfStep([1], 100);
  for (let ended = 0; ended < 50; ended++) hung.durations.forQueue("queue").observe(100, 1000);
  assert.is(restarts(hung), true, "a run without progress hangs");
});

test("before any run has ended, a run without siblings restarts only if it certainly hangs", () => {
  // The progress projects 15 s, ten times the declaration.
  assert.is(restarts(runsOfStep([10], 1500)), false);
  assert.is(restarts(runsOfStep([0], 1500)), true);
});

test("a run twice as slow as its siblings restarts if its server also slows down other runs", () => {
  const { registry, runs, durations } = runsOfStep([18, 45, 46, 44], 1000);
  const [run] = runs;
  const expected = expectedDuration(run!, registry, durations);
  assert.is(shouldRestart(run!, expected, 0), true);
  assert.is(isServerAtFault(run!, expected, HEALTHY_RATIO, 1), false);
  assert.is(isServerAtFault(run!, expected, HEALTHY_RATIO, 2), true);
  assert.is(isServerAtFault(run!, expected, 4, 1), true);
  assert.is(
    countSlowJobs(runs, (other) => expectedDuration(other, registry, durations)),
    1,
  );
});

test("a run on another rack than its data is not compared with siblings on the rack of theirs", () => {
  const { registry, runs, durations } = runsOfStep([15, 45, 46, 44], 1500);
  const far = { ...runs[0]!, nearData: false };
  assert.is(shouldRestart(far, expectedDuration(far, registry, durations), 0), false);
});

test("a run that a new scheduler took over is assessed by its progress since then", () => {
  const { registry, runs, durations } = runsOfStep([50, 45, 46, 44], 1500);
  const [run] = runs;
  run!.firstProgress = { clockMs: 9000 + ELAPSED_MS - 300, percent: 40 };
  assert.is(shouldRestart(run!, expectedDuration(run!, registry, durations), 0), false);
});

test("a run is overdue once it exceeds the usual duration of its queue", () => {
  const { runs, durations } = runsOfStep([10], 10_000);
  assert.is(isOverdue(runs[0]!, 3000, durations), false);
  for (let ended = 0; ended < 50; ended++) durations.forQueue("queue").observe(10_000, 1000);
  assert.is(isOverdue(runs[0]!, 3000, durations), true);
});

test("a completed run is compared with siblings on other servers", () => {
  const { registry, runs, durations } = runsOfStep([90, 45, 46, 44], 100);
  const ratio = 3300 / expectedDuration(runs[0]!, registry, durations).usualMaxMs;
  assert.ok(ratio > 0.9 && ratio < 1.1, `${ratio}`);
});

test.run();
