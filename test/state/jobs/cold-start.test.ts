import { test } from "uvu";
import * as assert from "uvu/assert";
import { ColdStart, coldSlowdown } from "../../../src/state/jobs/execution/cold-start.ts";
import { DurationModels } from "../../../src/state/jobs/scheduling/duration-model.ts";
import { choosePlacement } from "../../../src/state/jobs/scheduling/placement.ts";
import { RunRegistry } from "../../../src/state/jobs/execution/run-registry.ts";
import { expectedDuration, isOverdue } from "../../../src/state/jobs/execution/run-speed.ts";
import { maxStartValidMs } from "../../../src/state/jobs/fleet/evacuation.ts";
import { cpu, jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { activeRun, candidate, stepRun } from "../../fakes/jobs/run-builders.ts";

test("a server becomes warm steadily over its cold time", () => {
  const cold = new ColdStart();
  assert.is(cold.coldness(0), 0);
  cold.observe(8000, 0, 1000);
  assert.equal(
    [1000, 5000, 9000, 20_000].map((at) => cold.coldness(at)),
    [1, 0.5, 0, 0],
  );
  assert.is(coldSlowdown(cold.coldness(5000)), 1.5);
});

// Guards against a new scheduler that treats every server as just started, because it reads the
// registrations that they wrote at their boot.
test("a registration read long after the boot does not make the server cold again", () => {
  const cold = new ColdStart();
  cold.observe(8000, 60_000, 0);
  assert.is(cold.coldness(0), 0);
  cold.observe(8000, 60_000, 10);
  assert.is(cold.coldness(10), 0);
});

test("a warm server is preferred although the cold one is the tighter fit", () => {
  const cold = candidate("cold", { coldness: 0.2, free: cpu(1000) });
  const chosen = choosePlacement(step(), cpu(1000), [cold, candidate("warm")]);
  assert.is(chosen?.id, "warm");
});

// Guards against runs that are restarted elsewhere, and slow servers, because of cold caches.
test("a run on a cold server is allowed more time, and its progress is no measure for siblings", () => {
  const durations = new DurationModels();
  const registry = new RunRegistry();
  const [first, ...others] = stepRun(jobRequest(step({ tasks: 4, estimateMs: 1000 }))).tasks;
  const cold = activeRun(first!, { slowdown: 2 });
  const warm = activeRun(first!);
  assert.ok(isOverdue(warm, 1500, durations));
  assert.not(isOverdue(cold, 1500, durations));
  const warmMs = expectedDuration(warm, registry, durations).ms;
  assert.is(expectedDuration(cold, registry, durations).ms, 2 * warmMs);
  for (const [index, task] of others.entries()) {
    const progress = {
      firstProgress: { clockMs: 0, percent: 0 },
      lastProgress: { clockMs: 4000, percent: 50 },
    };
    registry.add(activeRun(task, { server: `s${index + 2}`, slowdown: 2, ...progress }));
  }
  assert.is(expectedDuration(warm, registry, durations).ms, warmMs);
});

// Guards against orders that outlive the evacuation bound, and against refusals in calm operation.
test("a start is valid only until an evacuation that is not known yet can be in force", () => {
  assert.is(maxStartValidMs(Infinity, 5000), 0);
  assert.is(maxStartValidMs(4300, 5000), 0);
  assert.is(maxStartValidMs(3000, 5000), 1500);
  assert.ok(maxStartValidMs(2000, 5000) >= 2500, "the regular validity is not cut");
});

test.run();
