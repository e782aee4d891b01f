import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ObservedRun } from "../../../src/stand-ins/simulated-job-server.ts";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { JobCluster, type ClusterEntry } from "../../fakes/jobs/job-cluster.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { onClock } from "../../fakes/virtual-clock.ts";

/** 2 Mbit/s, where a scheduler does not send the texts of jobs itself. */
const LINK_BYTES_PER_MS = 250;
const TASKS = 6;
const JOB = { ...jobRequest(step({ tasks: TASKS, estimateMs: 300 })), spec: "x".repeat(1500) };

interface Setup {
  readonly cluster: JobCluster;
  readonly scheduler: ClusterEntry;
  /** Accepts the jobs. */
  readonly peer: ClusterEntry;
}

async function slowCluster(durationMs = 300): Promise<Setup> {
  const cluster = new JobCluster({
    ...{ random: new SeededRandom(3), linkBytesPerMs: LINK_BYTES_PER_MS, servers: 6 },
    behaviour: () => ({ durationMs }),
  });
  const scheduler = await cluster.elect();
  await cluster.clock.advance(1500);
  const peer = cluster.alive.find((entry) => entry !== scheduler)!;
  return { cluster, scheduler, peer };
}

function runs(cluster: JobCluster): readonly ObservedRun[] {
  cluster.settle();
  return [...cluster.servers.values()].flatMap(({ history }) => history);
}

/** Starts of a task while another run of it was under way, or after one was done. */
function doubled(all: readonly ObservedRun[]): readonly string[] {
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

test("the entry that accepted a job carries out its starts", async () => {
  const { cluster, scheduler, peer } = await slowCluster();
  await onClock(cluster.clock, cluster.submit(peer, "a", JOB));
  await cluster.clock.advance(2000);
  assert.is(await cluster.state("a"), "completed");
  assert.is(scheduler.carrier.carried, TASKS);
  assert.is(runs(cluster).length, TASKS);
});

test("starts of a job whose entry is gone are sent directly", async () => {
  const { cluster, scheduler, peer } = await slowCluster();
  await onClock(cluster.clock, cluster.submit(peer, "a", JOB));
  cluster.kill(peer);
  await cluster.clock.advance(3000);
  assert.is(await cluster.state("a"), "completed");
  assert.is(scheduler.carrier.carried, 0);
});

test("an entry that lost the text of a job by a restart does not hold up its starts", async () => {
  const { cluster, peer } = await slowCluster();
  peer.texts.get = () => undefined;
  await onClock(cluster.clock, cluster.submit(peer, "a", JOB));
  await cluster.clock.advance(3000);
  assert.is(await cluster.state("a"), "completed");
  assert.is(runs(cluster).length, TASKS);
});

test("starts that a frozen entry sends seconds late double no task", async () => {
  const { cluster, scheduler, peer } = await slowCluster(2500);
  const submitted = cluster.submit(peer, "a", JOB);
  await onClock(cluster.clock, submitted);
  peer.way.freeze();
  await cluster.clock.advance(1800);
  peer.way.thaw();
  await cluster.clock.advance(12_000);
  assert.equal(doubled(runs(cluster)), []);
  assert.is(await cluster.state("a"), "completed");
  assert.ok(scheduler.alive);
});

test("around a takeover the former scheduler's carried starts double no task", async () => {
  const { cluster, scheduler, peer } = await slowCluster(2500);
  await onClock(cluster.clock, cluster.submit(peer, "a", JOB));
  peer.way.freeze();
  await cluster.clock.advance(100);
  cluster.kill(scheduler);
  await cluster.clock.advance(2000);
  peer.way.thaw();
  await cluster.clock.advance(20_000);
  assert.equal(doubled(runs(cluster)), []);
  assert.is(await cluster.state("a"), "completed");
});

test.run();
