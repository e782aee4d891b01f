import { test } from "uvu";
import * as assert from "uvu/assert";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { JobCluster } from "../../fakes/jobs/job-cluster.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { advanceUntilSettled } from "../../fakes/virtual-clock.ts";

/** Server lease on the slowest allowed clock, plus the time of a few unanswered polls, in ms. */
const LEASE_EXPIRY_BOUND_MS = 11_000;

async function clusterWithLongRunningTask() {
  const cluster = new JobCluster({
    random: new SeededRandom(1),
    behaviour: () => ({ durationMs: undefined }),
  });
  const { clock } = cluster;
  const scheduler = await cluster.electScheduler();
  const job = jobRequest(step({ tasks: 1, longRunning: true }));
  await advanceUntilSettled(clock, cluster.submit(scheduler, "job", job));
  await clock.advance(2000);
  const first = [...cluster.servers.values()].find(({ running }) => running.length > 0)!;
  return { cluster, clock, first };
}

test("a long-running task restarts on another server once the lease of an unresponsive server has expired", async () => {
  const { cluster, clock, first } = await clusterWithLongRunningTask();
  first.crash();
  await clock.advance(LEASE_EXPIRY_BOUND_MS);
  const others = [...cluster.servers.values()].filter((server) => server !== first);
  assert.is(others.flatMap(({ running }) => running).length, 1);
});

test("a disconnected server ends its tasks before they start on another server", async () => {
  const { cluster, clock, first } = await clusterWithLongRunningTask();
  first.faults.unresponsive = true;
  const limit = clock.now() + LEASE_EXPIRY_BOUND_MS;
  while (clock.now() < limit) {
    await clock.advance(20);
    cluster.updateServers();
    const running = [...cluster.servers.values()].flatMap((server) => server.running);
    assert.ok(running.length <= 1, `at ${clock.now()}`);
  }
  assert.is(first.running.length, 0);
  const all = [...cluster.servers.values()].flatMap((server) => server.running);
  assert.is(all.length, 1, "the task runs on another server");
});

test("a server that was unresponsive until its lease expired gets tasks again", async () => {
  const { cluster, clock, first } = await clusterWithLongRunningTask();
  first.faults.unresponsive = true;
  await clock.advance(LEASE_EXPIRY_BOUND_MS);
  first.faults.unresponsive = false;
  await clock.advance(3000);
  const scheduler = cluster.scheduler!;
  const wide = jobRequest(step({ tasks: 4, longRunning: true, maxPerServer: 1 }));
  await advanceUntilSettled(clock, cluster.submit(scheduler, "wide", wide));
  await clock.advance(2000);
  const tasks = first.running.filter((task) => task.startsWith("wide."));
  assert.is(tasks.length, 1);
});

test("a run that failed while its server was unreachable uses an attempt", async () => {
  const cluster = new JobCluster({
    random: new SeededRandom(1),
    behaviour: () => ({ durationMs: 300, fails: true }),
  });
  const scheduler = await cluster.electScheduler();
  await advanceUntilSettled(cluster.clock, cluster.submit(scheduler, "a", jobRequest(step())));
  await cluster.clock.advance(60);
  scheduler.faults.cutFromServers = true;
  await cluster.clock.advance(8000);
  scheduler.faults.cutFromServers = false;
  await cluster.clock.advance(6000);
  const starts = [...cluster.servers.values()].reduce(
    (sum, { history }) => sum + history.length,
    0,
  );
  assert.is(starts, 3, "the queue allows three attempts");
  assert.is(await cluster.state("a"), "failed");
});

test("a failed run that is reported only after a takeover uses an attempt", async () => {
  const cluster = new JobCluster({
    random: new SeededRandom(1),
    behaviour: () => ({ durationMs: 300, fails: true }),
  });
  const first = await cluster.electScheduler();
  await advanceUntilSettled(cluster.clock, cluster.submit(first, "a", jobRequest(step())));
  await cluster.clock.advance(60);
  // No entry instance can poll the servers until the lease of the run's server has expired.
  for (const { faults } of cluster.entries) faults.cutFromServers = true;
  await cluster.clock.advance(8000);
  cluster.kill(first);
  await cluster.clock.advance(4000);
  for (const { faults, alive } of cluster.entries) faults.cutFromServers = !alive;
  await cluster.clock.advance(8000);
  const starts = [...cluster.servers.values()].reduce(
    (sum, { history }) => sum + history.length,
    0,
  );
  assert.is(starts, 3, "the queue allows three attempts");
  assert.is(await cluster.state("a"), "failed");
});

test.run();
