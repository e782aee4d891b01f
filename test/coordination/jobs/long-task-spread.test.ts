import { test } from "uvu";
import * as assert from "uvu/assert";
import { configWithSparePool } from "../../fakes/jobs/crowded-cluster.ts";
import { FakeInstances } from "../../fakes/jobs/fake-instances.ts";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { JobCluster, type ClusterEntry } from "../../fakes/jobs/job-cluster.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { advanceUntilSettled } from "../../fakes/virtual-clock.ts";

const JOB = "ledger";
const TASKS = 3;
/** Most tasks of the job that the loss of one server may end. */
const MAX_ON_ONE_SERVER = 2;
const SPREAD_WITHIN_MS = 5000;

function ledgerCluster(servers: number): JobCluster {
  return new JobCluster({
    ...{ random: new SeededRandom(1), entries: 2, servers },
    behaviour: () => ({ durationMs: undefined }),
  });
}

async function submitLedger(cluster: JobCluster, target: ClusterEntry): Promise<void> {
  const job = jobRequest(step({ tasks: TASKS, longRunning: true, availabilityBudget: 1 }));
  await advanceUntilSettled(cluster.clock, cluster.submit(target, JOB, job));
}

/** Numbers of running tasks by server, the largest first. */
function loads({ servers }: JobCluster): readonly number[] {
  return [...servers.values()].map(({ running }) => running.length).sort((a, b) => b - a);
}

function startCount({ servers }: JobCluster): number {
  return [...servers.values()].reduce((sum, { history }) => sum + history.length, 0);
}

// Guards against replicas that all end with one server, since the others had not answered their first
// poll when the job arrived.
test("tasks don't all start on the only server that has answered when the job arrives", async () => {
  const cluster = ledgerCluster(2);
  cluster.servers.get("s1")!.faults.latencyMs = 400;
  const scheduler = await cluster.electScheduler();
  await submitLedger(cluster, scheduler);
  cluster.servers.get("s1")!.faults.latencyMs = 2;
  await cluster.clock.advance(1500);
  assert.equal(loads(cluster), [2, 1]);
  assert.is(startCount(cluster), TASKS, "no task was moved");
});

// Guards against tasks that wait for a server that never answers.
test("all tasks start on one server while the other one does not answer", async () => {
  const cluster = ledgerCluster(2);
  cluster.servers.get("s1")!.faults.unresponsive = true;
  const scheduler = await cluster.electScheduler();
  await submitLedger(cluster, scheduler);
  await cluster.clock.advance(1500);
  assert.equal(loads(cluster), [3, 0]);
});

// Guards against replicas that start on one server while the others of a pool drain because nothing ran.
test("tasks start on servers that drain as surplus rather than all on the one that does not", async () => {
  const cluster = new JobCluster({
    ...{ random: new SeededRandom(1), entries: 2, servers: 3, config: configWithSparePool() },
    behaviour: () => ({ durationMs: undefined }),
    instances: (owner) => new FakeInstances(owner),
  });
  const scheduler = await cluster.electScheduler();
  await cluster.clock.advance(800);
  await submitLedger(cluster, scheduler);
  await cluster.clock.advance(100);
  assert.equal(loads(cluster), [2, 1, 0]);
  await cluster.clock.advance(10_000);
  assert.is(startCount(cluster), TASKS, "no task was moved, nor its instance");
});

// Guards against replicas that stay on one server for good because the others registered later.
test("tasks on one server spread once another server joins, within their budget", async () => {
  const cluster = ledgerCluster(1);
  const scheduler = await cluster.electScheduler();
  await submitLedger(cluster, scheduler);
  await cluster.clock.advance(3000);
  assert.equal(loads(cluster), [3]);
  cluster.addServer("s1");
  await cluster.clock.advance(SPREAD_WITHIN_MS);
  assert.ok(loads(cluster)[0]! <= MAX_ON_ONE_SERVER);
  assert.is(startCount(cluster), TASKS + 1, "one task moved");
  await cluster.clock.advance(60_000);
  assert.is(startCount(cluster), TASKS + 1, "no task moves again");
});

// Guards against replicas that a new scheduler starts on the server that answers it first.
test("tasks that wait at a takeover don't all start on the server that answers first", async () => {
  const cluster = ledgerCluster(2);
  const scheduler = await cluster.electScheduler();
  for (const server of cluster.servers.values()) server.faults.unresponsive = true;
  await submitLedger(cluster, scheduler);
  cluster.kill(scheduler);
  for (const server of cluster.servers.values()) server.faults.unresponsive = false;
  cluster.servers.get("s0")!.faults.latencyMs = 300;
  await cluster.electScheduler();
  await cluster.clock.advance(2000);
  assert.equal(loads(cluster), [2, 1]);
  assert.is(startCount(cluster), TASKS, "no task was moved");
});

test("tasks stay on one server while no other server has room for them", async () => {
  const cluster = ledgerCluster(1);
  const scheduler = await cluster.electScheduler();
  await submitLedger(cluster, scheduler);
  cluster.addServer("s1", { cpuMillis: 500, memoryMb: 8000, accelerators: 0 });
  await cluster.clock.advance(30_000);
  assert.equal(loads(cluster), [3, 0]);
  assert.is(startCount(cluster), TASKS);
});

test.run();
