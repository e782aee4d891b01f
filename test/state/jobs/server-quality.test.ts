import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  FULL_PACE,
  nextPace,
  worstLatencyRatio,
} from "../../../src/state/jobs/execution/pacing.ts";
import { ServerSpeed } from "../../../src/state/jobs/execution/server-speed.ts";
import {
  isOfLaterBoot,
  leasesLapsedAt,
  ServerClock,
} from "../../../src/state/jobs/execution/server-clock.ts";
import { ServerHealth } from "../../../src/state/jobs/execution/server-health.ts";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { activeRun, stepRun } from "../../fakes/jobs/run-builders.ts";

test("a server that fails tasks of several jobs is quarantined and then put on probation", () => {
  const health = new ServerHealth();
  health.failed("a", 0);
  health.failed("b", 0);
  assert.is(health.onProbation, false);
  health.failed("c", 0);
  assert.is(health.onProbation, true);
  assert.is(health.quarantined(1000), true);
  assert.is(health.quarantined(2500), false);
  health.succeeded();
  assert.is(health.onProbation, false);
});

test("a job that fails on every server does not put servers into quarantine", () => {
  const health = new ServerHealth();
  for (let attempt = 0; attempt < 6; attempt++) health.failed("poison", 0);
  assert.is(health.onProbation, false);
});

test("a slow server gets a trial task after a pause and recovers after good runs", () => {
  const speed = new ServerSpeed();
  for (let ended = 0; ended < 6; ended++) speed.observe(6, 100);
  assert.is(speed.slow, true);
  assert.is(speed.isTrialDue(200), false);
  assert.is(speed.isTrialDue(4000), true);
  for (let ended = 0; ended < 3; ended++) speed.observe(1, 4000);
  assert.is(speed.slow, false);
});

test("a lease counts as lapsed only once the slowest clock has passed every deadline sent", () => {
  const time = new ServerClock();
  time.addReading({ clockMs: 10_000, receivedAt: 500 });
  const deadline = time.issueDeadline(500, 6000)!;
  assert.ok(time.lapsedAt()! >= 500 + (deadline - 10_000) / 0.98);
  time.addReading({ clockMs: 9000, receivedAt: 600 });
  assert.ok(time.lapsedAt()! > 6500, "an older reading that arrives late is ignored");
  assert.ok(leasesLapsedAt(0, 6000) > 6000);
});

function serving(load: number) {
  const spec = step({ longRunning: true, targetLatencyMs: 100 });
  return activeRun(stepRun(jobRequest(spec)).tasks[0]!, { load });
}

// Guards against a reading of a new boot that is taken for one of the boot before: clocks of boots begin
// anywhere, so only a reading that goes back says something.
test("a reading tells a later boot only if it is below the one known at its request", () => {
  assert.is(isOfLaterBoot({ clockMs: 900 }, undefined), false);
  const before = { clockMs: 10_000, receivedAt: 500 };
  assert.is(isOfLaterBoot({ clockMs: 9999 }, before), true);
  assert.is(isOfLaterBoot({ clockMs: 10_900 }, before), false);
});

// Guards against replies that overtake each other: the newest reading may be of a later request.
test("a reading is compared with the reading that was known at its request", () => {
  const time = new ServerClock();
  time.addReading({ clockMs: 1000, receivedAt: 10 });
  const before = time.reading;
  time.addReading({ clockMs: 1900, receivedAt: 910 });
  assert.is(isOfLaterBoot({ clockMs: 1100 }, before), false);
});

test("fillers stop at once when a serving task exceeds its target and speed up again in steps", () => {
  const over = nextPace(FULL_PACE, worstLatencyRatio([serving(130)]), 0);
  assert.is(over.percent, 0);
  assert.is(nextPace(over, worstLatencyRatio([serving(40)]), 1000).percent, 0);
  assert.is(nextPace(over, worstLatencyRatio([serving(40)]), 2000).percent, 20);
});

test("fillers slow down before the target is missed", () => {
  assert.is(nextPace(FULL_PACE, worstLatencyRatio([serving(90)]), 0).percent, 50);
  assert.is(nextPace(FULL_PACE, worstLatencyRatio([serving(70)]), 0).percent, 100);
});

test.run();
