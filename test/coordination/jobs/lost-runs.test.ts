import { test } from "uvu";
import * as assert from "uvu/assert";
import { LostRuns } from "../../../src/coordination/jobs/execution/lost-runs.ts";
import type { ServerDriver } from "../../../src/coordination/jobs/execution/server-driver.ts";
import type { ProgressWriter } from "../../../src/coordination/jobs/records/progress-writer.ts";
import { RunRegistry } from "../../../src/state/jobs/execution/run-registry.ts";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { activeRun, stepRun } from "../../fakes/jobs/run-builders.ts";
import { NOOP_LOG, RecordedCounters } from "../../fakes/observability-fakes.ts";
import { VirtualClock } from "../../fakes/virtual-clock.ts";

// Guards against an order whose late reply concerns a former boot: runs of the later one go on.
test("an instance that was replaced takes no runs of a later boot with it", () => {
  const runRegistry = new RunRegistry();
  const [first, second] = stepRun(jobRequest(step({ tasks: 2 }))).tasks;
  runRegistry.add(activeRun(first!, { bootedAt: 1000 }));
  runRegistry.add(activeRun(second!, { bootedAt: 2000 }));
  const released: string[] = [];
  const lostRuns = new LostRuns({
    ...{ clock: new VirtualClock(), log: NOOP_LOG, counters: new RecordedCounters(), runRegistry },
    writer: {} as unknown as ProgressWriter,
    driver: () => undefined,
    ...{ leaseTtlMs: 6000, maxServerLeaseMs: 10_000 },
    repeatStop: () => undefined,
    release: ({ task }) => released.push(task.name),
  });
  lostRuns.serverGone({ id: "s1", bootedAt: 1000 } as unknown as ServerDriver);
  assert.equal(released, [first!.name]);
});

test.run();
