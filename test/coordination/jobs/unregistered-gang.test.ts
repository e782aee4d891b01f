import { test } from "uvu";
import * as assert from "uvu/assert";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { JobCluster } from "../../fakes/jobs/job-cluster.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { advanceUntilSettled } from "../../fakes/virtual-clock.ts";

const TASK_MS = 60_000;
/** Longest lease of a server on the slowest clock, an election and a few retries, in ms. */
const RESTART_BOUND_MS = 16_000;

/** A cluster with a gang of two at work, whose first runs fail after `firstRunMs`. */
async function clusterWithGang(firstRunMs: number) {
  const started = new Set<string>();
  const cluster = new JobCluster({
    ...{ random: new SeededRandom(1), servers: 4, maxServerLeaseMs: 10_000 },
    behaviour: (task) => {
      const repeated = started.has(task);
      started.add(task);
      return repeated ? { durationMs: TASK_MS } : { durationMs: firstRunMs, fails: true };
    },
  });
  const { clock } = cluster;
  const scheduler = await cluster.electScheduler();
  await clock.advance(500);
  const gang = step({ tasks: 2, gang: true, maxPerServer: 1, estimateMs: TASK_MS });
  await advanceUntilSettled(clock, cluster.submit(scheduler, "job", jobRequest(gang)));
  const hosts = () => [...cluster.servers.values()].filter((s) => s.up && s.running.length > 0);
  await clock.until(() => hosts().length === 2);
  await clock.advance(2000);
  return { cluster, clock, scheduler, hosts };
}

// Guards against a gang that waits for ever (LOST): the release of one member ordered a stop of the other,
// and nobody released a stopping run whose server is not registered.
test("a gang restarts after both of its servers and the scheduler were lost together", async () => {
  const { cluster, clock, scheduler, hosts } = await clusterWithGang(TASK_MS);
  for (const { id } of hosts()) cluster.crash(id);
  cluster.kill(scheduler);
  await clock.advance(RESTART_BOUND_MS);
  assert.is(hosts().length, 2);
});

// Guards against a gang that waits for ever (LOST): the stop was ordered because the other member had failed.
test("a gang restarts after a member failed while the server of the other was lost with the scheduler", async () => {
  const { cluster, clock, scheduler, hosts } = await clusterWithGang(5000);
  cluster.crash(hosts()[1]!.id);
  cluster.kill(scheduler);
  await clock.advance(RESTART_BOUND_MS);
  assert.is(hosts().length, 2);
});

test.run();
