import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ObservedRun } from "../../../src/stand-ins/simulated-job-server.ts";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { JobCluster, type ClusterEntry } from "../../fakes/jobs/job-cluster.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { advanceUntilSettled } from "../../fakes/virtual-clock.ts";

/** 2 Mbit/s, at which the scheduler forwards starts instead of sending job specs itself. */
const LINK_BYTES_PER_MS = 250;
const TASKS = 6;
const JOB = { ...jobRequest(step({ tasks: TASKS, estimateMs: 300 })), spec: "x".repeat(1500) };

interface Setup {
  readonly cluster: JobCluster;
  readonly scheduler: ClusterEntry;
  /** Entry instance that accepts the jobs. */
  readonly peer: ClusterEntry;
}

async function slowCluster(durationMs = 300): Promise<Setup> {
  const cluster = new JobCluster({
    ...{ random: new SeededRandom(3), linkBytesPerMs: LINK_BYTES_PER_MS, servers: 6 },
    behaviour: () => ({ durationMs }),
  });
  const scheduler = await cluster.electScheduler();
  await cluster.clock.advance(1500);
  const peer = cluster.liveEntries.find((entry) => entry !== scheduler)!;
  return { cluster, scheduler, peer };
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

// Guards against job specs that saturate the scheduler's own slow link.
test("starts are forwarded to the entry instance that accepted the job", async () => {
  const { cluster, scheduler, peer } = await slowCluster();
  await advanceUntilSettled(cluster.clock, cluster.submit(peer, "a", JOB));
  await cluster.clock.advance(2000);
  assert.is(await cluster.state("a"), "completed");
  assert.is(scheduler.forwarder.forwarded, TASKS);
  assert.is(runs(cluster).length, TASKS);
});

// Guards against starts that wait for a peer that is gone.
test("starts are sent directly if the entry instance that accepted the job has failed", async () => {
  const { cluster, scheduler, peer } = await slowCluster();
  await advanceUntilSettled(cluster.clock, cluster.submit(peer, "a", JOB));
  cluster.kill(peer);
  await cluster.clock.advance(3000);
  assert.is(await cluster.state("a"), "completed");
  assert.is(scheduler.forwarder.forwarded, 0);
});

// Guards against starts that fail for good because the peer has no spec to send.
test("an entry instance that lost a job spec in a restart does not block the job's starts", async () => {
  const { cluster, peer } = await slowCluster();
  peer.jobSpecs.get = () => undefined;
  await advanceUntilSettled(cluster.clock, cluster.submit(peer, "a", JOB));
  await cluster.clock.advance(3000);
  assert.is(await cluster.state("a"), "completed");
  assert.is(runs(cluster).length, TASKS);
});

// Guards against a second run of a task when a peer sends its start after the scheduler's timeout.
test("forwarded starts that a frozen entry instance sends seconds late duplicate no task", async () => {
  const { cluster, scheduler, peer } = await slowCluster(2500);
  const submitted = cluster.submit(peer, "a", JOB);
  await advanceUntilSettled(cluster.clock, submitted);
  peer.faults.freeze();
  await cluster.clock.advance(1800);
  peer.faults.thaw();
  await cluster.clock.advance(12_000);
  assert.equal(duplicateStarts(runs(cluster)), []);
  assert.is(await cluster.state("a"), "completed");
  assert.ok(scheduler.alive);
});

// Guards against a second run when a peer sends the failed scheduler's start after the takeover.
test("forwarded starts of the previous scheduler duplicate no task after a takeover", async () => {
  const { cluster, scheduler, peer } = await slowCluster(2500);
  await advanceUntilSettled(cluster.clock, cluster.submit(peer, "a", JOB));
  peer.faults.freeze();
  await cluster.clock.advance(100);
  cluster.kill(scheduler);
  await cluster.clock.advance(2000);
  peer.faults.thaw();
  await cluster.clock.advance(20_000);
  assert.equal(duplicateStarts(runs(cluster)), []);
  assert.is(await cluster.state("a"), "completed");
});

test.run();
