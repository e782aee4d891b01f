import { test } from "uvu";
import * as assert from "uvu/assert";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { JobCluster } from "../../fakes/jobs/job-cluster.ts";
import { repeatedStarts } from "../../fakes/jobs/run-checks.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { advanceUntilSettled } from "../../fakes/virtual-clock.ts";

const SUBMITTED_AT_MS = 12_000;
const REBOOTED_AT_MS = 13_200;
const TASK_MS = 4000;
const STEP_MS = 10;

// Guards against a run that is taken to have ended with the former boot (TWICE): the clock of the new
// boot happened to continue the former one's, so the start reply seemed to come from the former boot.
test("a clock reading that continues the former boot's does not prove which boot has started the run", async () => {
  const cluster = new JobCluster({
    random: new SeededRandom(1),
    servers: 5,
    stopMs: 150,
    clockStartMs: (boot) => (boot === 0 ? 0 : REBOOTED_AT_MS + 500),
    behaviour: () => ({ durationMs: TASK_MS }),
  });
  const { clock } = cluster;
  const scheduler = await cluster.electScheduler();
  const submitAt = async (id: string, at: number): Promise<void> => {
    await clock.advance(at - clock.now());
    if (at === REBOOTED_AT_MS) cluster.rebootUnnoticed("s0");
    const request = jobRequest(step({ tasks: 4, maxPerServer: 1, estimateMs: TASK_MS }));
    await advanceUntilSettled(clock, cluster.submit(scheduler, id, request));
  };
  await submitAt("first", SUBMITTED_AT_MS);
  await submitAt("second", REBOOTED_AT_MS);
  await clock.advance(20);
  assert.equal(cluster.servers.get("s0")!.running, ["second.0.0.0"]);
  cluster.announce("s0");
  for (let passed = 0; passed < TASK_MS; passed += STEP_MS) {
    await clock.advance(STEP_MS);
    cluster.updateServers();
  }
  assert.equal(repeatedStarts(cluster.servers.values()), []);
});

test.run();
