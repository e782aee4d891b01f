import { test } from "uvu";
import * as assert from "uvu/assert";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { JobCluster } from "../../fakes/jobs/job-cluster.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { advanceUntilSettled } from "../../fakes/virtual-clock.ts";

async function twoServerCluster() {
  const cluster = new JobCluster({
    random: new SeededRandom(1),
    servers: 2,
    behaviour: (task) => ({ durationMs: task.startsWith("long") ? undefined : 300 }),
  });
  const scheduler = await cluster.electScheduler();
  const submit = (id: string, tasks: number, longRunning: boolean) =>
    advanceUntilSettled(
      cluster.clock,
      cluster.submit(scheduler, id, jobRequest(step({ tasks, longRunning, maxPerServer: 2 }))),
    );
  return { cluster, clock: cluster.clock, submit };
}

test("a draining server gets no new tasks, even when all other servers are full", async () => {
  const { cluster, clock, submit } = await twoServerCluster();
  cluster.drain("s0");
  await clock.advance(50);
  const drainedAt = clock.now();
  await submit("short", 8, false);
  await clock.advance(1500);
  const startedAfterDrain = cluster.servers
    .get("s0")!
    .history.filter(({ startedAt }) => startedAt > drainedAt);
  assert.equal(startedAfterDrain, []);
});

test("long-running tasks move off a draining server before it shuts down", async () => {
  const { cluster, clock, submit } = await twoServerCluster();
  await submit("long", 2, true);
  await clock.advance(1500);
  const from = [...cluster.servers.values()].find(({ running }) => running.length > 0)!;
  cluster.drain(from.id);
  await clock.advance(4000);
  assert.equal(from.running, []);
  const elsewhere = [...cluster.servers.values()].flatMap(({ running }) => running);
  assert.is(elsewhere.length, 2);
});

test.run();
