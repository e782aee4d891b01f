import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  RunEndHandler,
  type RunEndHandlerOptions,
} from "../../../src/coordination/jobs/execution/run-end-handler.ts";
import type { ServerDriver } from "../../../src/coordination/jobs/execution/server-driver.ts";
import { RunRegistry } from "../../../src/state/jobs/execution/run-registry.ts";
import { ServerHealth } from "../../../src/state/jobs/execution/server-health.ts";
import { ServerSpeed } from "../../../src/state/jobs/execution/server-speed.ts";
import { DurationModels } from "../../../src/state/jobs/scheduling/duration-model.ts";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { activeRun, stepRun } from "../../fakes/jobs/run-builders.ts";
import { VirtualClock } from "../../fakes/virtual-clock.ts";

const ESTIMATE_MS = 1000;
const TOOK_MS = 4000;

/** Ends a run that took four times its estimate; returns what was learnt from it. */
function endRun(slowdown: number) {
  const ended = stepRun(jobRequest(step({ tasks: 2, estimateMs: ESTIMATE_MS })));
  const run = activeRun(ended.tasks[0]!, { slowdown, firstProgress: { clockMs: 0, percent: 0 } });
  const runRegistry = new RunRegistry();
  const durations = new DurationModels();
  runRegistry.add(run);
  const driver = { id: run.server, speed: new ServerSpeed(), health: new ServerHealth() };
  const handler = new RunEndHandler({
    ...{ clock: new VirtualClock(), runRegistry, durations },
    log: { debug: () => undefined },
    removeRun: (gone: typeof run) => {
      runRegistry.remove(gone);
    },
  } as unknown as RunEndHandlerOptions);
  const end = { task: run.task.name, run: 1, sequence: 1, end: "done", checkpoint: "" } as const;
  handler.handle(driver as unknown as ServerDriver, end, { clockMs: TOOK_MS }, new Set());
  const expectedMs = Math.round(durations.forQueue("queue").expectedMs(ESTIMATE_MS));
  return { expectedMs, known: ended.durations.length, ratio: driver.speed.ratio };
}

// Guards against cold servers that make a queue's tasks seem longer and themselves seem slow.
test("a run on a cold server is not learnt from, one on a warm server is", () => {
  assert.equal(endRun(2), { expectedMs: ESTIMATE_MS, known: 0, ratio: 1 });
  const warm = endRun(1);
  assert.ok(warm.expectedMs > ESTIMATE_MS);
  assert.is(warm.known, 1);
});

test.run();
