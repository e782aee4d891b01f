import { test } from "uvu";
import * as assert from "uvu/assert";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { JobCluster } from "../../fakes/jobs/job-cluster.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { advanceUntilSettled } from "../../fakes/virtual-clock.ts";

/** A cluster whose scheduler's watches report no changes, and an entry instance that is not it. */
async function clusterWithFaultyWatches() {
  const cluster = new JobCluster({ random: new SeededRandom(1) });
  const scheduler = await cluster.electScheduler();
  await cluster.clock.advance(500);
  scheduler.store.faults.dropWatchEvents = true;
  const other = cluster.liveEntries.find((entry) => entry !== scheduler)!;
  return { cluster, clock: cluster.clock, scheduler, other };
}

function running(cluster: JobCluster): number {
  return [...cluster.servers.values()].flatMap((server) => server.running).length;
}

test("a job starts at once even if the scheduler's watch reports no changes", async () => {
  const { cluster, clock, other } = await clusterWithFaultyWatches();
  const submitted = cluster.submit(other, "a", jobRequest(step({ longRunning: true })));
  assert.is(await advanceUntilSettled(clock, submitted), "accepted");
  await clock.advance(100);
  assert.is(running(cluster), 1);
});

test("a cancelled job stops at once even if the scheduler's watch reports no changes", async () => {
  const { cluster, clock, other } = await clusterWithFaultyWatches();
  const request = jobRequest(step({ longRunning: true, tasks: 2 }));
  await advanceUntilSettled(clock, cluster.submit(other, "a", request));
  await clock.advance(500);
  const call = { id: "a", organisation: undefined, deadline: clock.now() + 3000 };
  await advanceUntilSettled(clock, other.entry.service.cancel(call));
  await clock.advance(300);
  cluster.updateServers();
  assert.is(running(cluster), 0);
});

// Guards against a second start of a task that the previous scheduler had started.
test("a notification received before the stored jobs are read starts no task twice", async () => {
  const { cluster, clock, other } = await clusterWithFaultyWatches();
  await advanceUntilSettled(
    clock,
    cluster.submit(other, "a", jobRequest(step({ longRunning: true }))),
  );
  await clock.advance(500);
  const record = cluster.store.range("teaselspool/job/").records[0]!;
  cluster.kill(cluster.scheduler!);
  await clock.until(() => cluster.scheduler !== undefined);
  cluster.scheduler!.entry.recordsStored([record]);
  await clock.advance(5000);
  const starts = [...cluster.servers.values()].reduce(
    (sum, { history }) => sum + history.length,
    0,
  );
  assert.is(starts, 1);
});

test.run();
