import { test } from "uvu";
import * as assert from "uvu/assert";
import { FleetConfigView } from "../../../src/coordination/jobs/config-view.ts";
import { decodeJob, encodeJob } from "../../../src/protocol/job-records.ts";
import { silentLog } from "../../fakes/jobs/control-fakes.ts";
import { fleetConfig, jobRequest, queueConfig, step } from "../../fakes/jobs/job-builders.ts";
import { JobCluster } from "../../fakes/jobs/job-cluster.ts";
import { jobSpec } from "../../fakes/jobs/run-builders.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { advanceUntilSettled, VirtualClock } from "../../fakes/virtual-clock.ts";

const MAX_ATTEMPTS = 3;
const RUN_MS = 2000;
const WITHOUT_QUEUE = fleetConfig({ version: 2, queues: [] });

/** A cluster with a job whose only task fails in its first `failures` runs, and which runs already. */
async function clusterWithFailingTask(failures: number) {
  let runs = 0;
  const cluster = new JobCluster({
    random: new SeededRandom(1),
    behaviour: () => ({ durationMs: RUN_MS, fails: ++runs <= failures }),
  });
  const { clock } = cluster;
  const scheduler = await cluster.electScheduler();
  await advanceUntilSettled(clock, cluster.submit(scheduler, "job", jobRequest(step())));
  await clock.advance(500);
  const restoreQueue = (): void => {
    cluster.configure(fleetConfig({ version: 3 }));
  };
  return { cluster, clock, restoreQueue, runs: () => runs };
}

// Guards against a job that fails for good after one failed attempt of three (LOST), because its queue was
// not configured when the run ended.
test("a task keeps its attempts while its queue is removed", async () => {
  const { cluster, clock, restoreQueue } = await clusterWithFailingTask(MAX_ATTEMPTS - 1);
  cluster.configure(WITHOUT_QUEUE);
  await clock.advance(4500);
  restoreQueue();
  await clock.advance(6000);
  assert.is(await cluster.state("job"), "completed");
});

// Guards against the same after a takeover by an entry instance that never knew the queue.
test("a task keeps its attempts if a scheduler takes over that never knew the queue", async () => {
  const { cluster, clock, restoreQueue } = await clusterWithFailingTask(MAX_ATTEMPTS - 1);
  cluster.configure(WITHOUT_QUEUE);
  for (const entry of cluster.liveEntries) cluster.kill(entry);
  cluster.addEntry();
  await clock.advance(12_000);
  restoreQueue();
  await clock.advance(6000);
  assert.is(await cluster.state("job"), "completed");
});

// Guards against tasks that are started for ever once their queue is removed.
test("a job of a removed queue fails after the attempts that the queue allowed", async () => {
  const { cluster, clock, runs } = await clusterWithFailingTask(Infinity);
  cluster.configure(WITHOUT_QUEUE);
  await clock.advance(20_000);
  assert.is(await cluster.state("job"), "failed");
  assert.is(runs(), MAX_ATTEMPTS);
});

test("a job has the last known settings of its queue, and the present ones once it is back", () => {
  const view = new FleetConfigView(new VirtualClock(), silentLog());
  const job = jobSpec(jobRequest(step()));
  assert.is(view.queueOf(job), undefined);
  view.configured(fleetConfig({ version: 1, queues: [queueConfig({ pool: "former" })] }));
  view.configured(WITHOUT_QUEUE);
  assert.is(view.queue("queue"), undefined, "no request is served");
  assert.is(view.queueOf(job)?.maxAttempts, MAX_ATTEMPTS);
  assert.is(view.poolOf(job), "former");
  view.configured(fleetConfig({ version: 3, queues: [queueConfig({ maxAttempts: 5 })] }));
  assert.is(view.queueOf(job)?.maxAttempts, 5);
});

test("the record of a job holds its attempts, and records without them are still read", () => {
  const job = jobSpec(jobRequest(step()), { maxAttempts: MAX_ATTEMPTS });
  assert.is(decodeJob(encodeJob(job))?.maxAttempts, MAX_ATTEMPTS);
  const former = decodeJob(encodeJob(jobSpec(jobRequest(step()))));
  assert.ok(former);
  assert.is(former.maxAttempts, undefined);
});

test.run();
