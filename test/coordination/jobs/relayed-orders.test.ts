import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ObservedRun } from "../../../src/stand-ins/simulated-job-server.ts";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { JobCluster, type ClusterEntry } from "../../fakes/jobs/job-cluster.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { advanceUntilSettled } from "../../fakes/virtual-clock.ts";

const TASKS = 40;
const SPEC = "x".repeat(1500);

interface Setup {
  readonly cluster: JobCluster;
  readonly scheduler: ClusterEntry;
  /** Entry instance that relays the orders to all servers. */
  readonly executor: ClusterEntry;
}

/** More servers than the scheduler drives itself, few enough for one executor. */
async function relayingCluster(durationMs = 300): Promise<Setup> {
  const cluster = new JobCluster({
    ...{
      random: new SeededRandom(3),
      servers: 24,
      serverZone: "z",
      behaviour: () => ({ durationMs }),
    },
  });
  const scheduler = await cluster.electScheduler();
  await cluster.clock.advance(1500);
  await run(cluster, scheduler, "warm-up", durationMs);
  const executor = cluster.liveEntries.find((entry) => entry !== scheduler && relayed(entry) > 0);
  if (executor === undefined) throw new Error("no executor relays orders");
  return { cluster, scheduler, executor };
}

function relayed({ connector }: ClusterEntry): number {
  return connector.starts;
}

async function run(
  cluster: JobCluster,
  entry: ClusterEntry,
  id: string,
  durationMs = 300,
): Promise<void> {
  await submit(cluster, entry, id);
  await cluster.clock.advance(1000 + 2 * durationMs);
  assert.is(await cluster.state(id), "completed");
}

async function submit(cluster: JobCluster, entry: ClusterEntry, id: string): Promise<void> {
  const job = { ...jobRequest(step({ tasks: TASKS, estimateMs: 300 })), spec: SPEC };
  await advanceUntilSettled(cluster.clock, cluster.submit(entry, id, job));
}

function runs(cluster: JobCluster): readonly ObservedRun[] {
  cluster.updateServers();
  return [...cluster.servers.values()].flatMap(({ history }) => history);
}

/** Starts of a task while another run of it was in progress, or after one had completed. */
function duplicateStarts(all: readonly ObservedRun[]): readonly string[] {
  return all
    .filter((run) =>
      all.some(
        (other) =>
          other !== run &&
          other.task === run.task &&
          other.startedAt <= run.startedAt &&
          (other.end === "done" || (other.endedAt ?? Infinity) > run.startedAt),
      ),
    )
    .map(({ task, run }) => `${task}#${run}`);
}

// Guards against a scheduler that spends a call of its own on each start and poll of a large fleet.
test("starts and polls of a large fleet go through the executor in a few batches", async () => {
  const { cluster, scheduler, executor } = await relayingCluster();
  const before = { starts: relayed(scheduler), polls: scheduler.connector.polls };
  const batches = scheduler.peers.batches;
  await run(cluster, scheduler, "a");
  assert.is(relayed(scheduler), before.starts, "the scheduler sends no start itself");
  assert.is(scheduler.connector.polls, before.polls, "nor any poll");
  assert.is(relayed(executor) >= TASKS, true);
  assert.ok(scheduler.peers.batches - batches < TASKS, "fewer batches than starts");
  assert.equal(duplicateStarts(runs(cluster)), []);
});

// Guards against starts and polls that wait for an executor that is gone.
test("work goes on directly when the executor is killed", async () => {
  const { cluster, scheduler, executor } = await relayingCluster();
  cluster.kill(executor);
  const begunAt = cluster.clock.now();
  await submit(cluster, scheduler, "a");
  await cluster.clock.advance(1000);
  const started = runs(cluster).filter(({ startedAt }) => startedAt >= begunAt);
  assert.is(started.length, TASKS);
  await cluster.clock.advance(3000);
  assert.is(await cluster.state("a"), "completed");
  assert.equal(duplicateStarts(runs(cluster)), []);
});

// Guards against a second run of a task when a paused executor sends its orders seconds late.
test("orders that a paused executor sends after its timeout duplicate no task", async () => {
  const { cluster, scheduler, executor } = await relayingCluster(2500);
  executor.faults.freeze();
  await submit(cluster, scheduler, "a");
  await cluster.clock.advance(1800);
  executor.faults.thaw();
  await cluster.clock.advance(15_000);
  assert.equal(duplicateStarts(runs(cluster)), []);
  assert.is(await cluster.state("a"), "completed");
  assert.ok(scheduler.entry.scheduling, "one tenure");
});

// Guards against late starts that servers can't refuse, since they have booted again meanwhile.
for (const [pause, state] of [
  ["freeze", "frozen"],
  ["suspend", "suspended"],
] as const)
  test(`a ${state} executor does not send the starts in its connection when it resumes`, async () => {
    const { cluster, scheduler, executor } = await relayingCluster();
    executor.faults[pause]();
    await submit(cluster, scheduler, "a");
    await cluster.clock.advance(6000);
    assert.is(await cluster.state("a"), "completed");
    for (const id of ["s0", "s1", "s2"]) cluster.rebootUnnoticed(id);
    const sent = relayed(executor);
    executor.faults.thaw();
    await cluster.clock.advance(20);
    assert.is(relayed(executor) - sent, 0, "starts sent on resuming");
    await cluster.clock.advance(5000);
    assert.equal(duplicateStarts(runs(cluster)), []);
  });

// Guards against a second run when the orders of a failed scheduler leave after the takeover.
test("orders of the previous scheduler that its executor still holds duplicate no task", async () => {
  const { cluster, scheduler, executor } = await relayingCluster(2500);
  executor.faults.freeze();
  await submit(cluster, scheduler, "a");
  await cluster.clock.advance(100);
  cluster.kill(scheduler);
  await cluster.clock.advance(2000);
  executor.faults.thaw();
  await cluster.clock.advance(20_000);
  assert.equal(duplicateStarts(runs(cluster)), []);
  assert.is(await cluster.state("a"), "completed");
});

// Guards against lost runs while two schedulers use one executor at a hand-over.
test("a hand-over between schedulers that use one executor loses and repeats no run", async () => {
  const { cluster, scheduler, executor } = await relayingCluster(1200);
  await submit(cluster, scheduler, "a");
  await cluster.clock.advance(60);
  scheduler.faults.freeze();
  await cluster.clock.advance(2500);
  scheduler.faults.thaw();
  await cluster.clock.advance(12_000);
  assert.equal(duplicateStarts(runs(cluster)), []);
  assert.is(await cluster.state("a"), "completed");
  assert.ok(executor.alive);
});

test.run();
