import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  crowdedCluster,
  FILLING_JOB,
  LEDGER,
  longestGapsMs,
  type CrowdedClusterOptions,
} from "../../fakes/jobs/crowded-cluster.ts";
import { FakeInstances } from "../../fakes/jobs/fake-instances.ts";
import { cpu, fleetConfig } from "../../fakes/jobs/job-builders.ts";
import type { JobCluster } from "../../fakes/jobs/job-cluster.ts";
import { advanceUntilSettled } from "../../fakes/virtual-clock.ts";

/** A task may be without a run for 6 s after its last one and another 3 s. */
const MAX_WITHOUT_RUN_MS = 9000;
const WATCHED_MS = 30_000;
/** Time in ms from the submission of the ledger job to that of the job that fills the other server. */
const FILLED_AFTER_MS = 4000;

function longestGapMs(cluster: JobCluster): number {
  return Math.max(...longestGapsMs(cluster));
}

// Guards against a long-running task that is stopped before a maintenance although no other server has
// room for it, and stays without a run for good (LOST).
test("a long-running task stays on a server that is due for maintenance while no other has room", async () => {
  const { due, advance, requestWave, maintained } = await crowdedCluster({ config: fleetConfig() });
  const before = [...due.running];
  requestWave();
  await advance(WATCHED_MS);
  assert.equal([...due.running], before);
  assert.equal(maintained, []);
});

// Guards against a wave that never ends because it was given up for lack of room.
test("maintenance begins once another server has room for the tasks", async () => {
  const { cluster, clock, scheduler, due, advance, requestWave, maintained } = await crowdedCluster(
    { config: fleetConfig() },
  );
  requestWave();
  await advance(WATCHED_MS);
  const deadline = clock.now() + 3000;
  await advanceUntilSettled(
    clock,
    scheduler.entry.service.cancel({ id: FILLING_JOB, organisation: undefined, deadline }),
  );
  await advance(20_000);
  assert.equal(maintained, [FakeInstances.nameOf(due.id)]);
  assert.ok(longestGapMs(cluster) <= MAX_WITHOUT_RUN_MS);
});

/** Runs of the first ledger task fail after a time in ms if they start before the other server is filled. */
function failingAtFirst(failsAfterMs: number): NonNullable<CrowdedClusterOptions["behaviour"]> {
  let firstStartAt: number | undefined;
  return (task, { clock }) => {
    firstStartAt ??= clock.now();
    const fails = task === `${LEDGER}.0.0.0` && clock.now() < firstStartAt + FILLED_AFTER_MS;
    return fails ? { durationMs: failsAfterMs, fails } : { durationMs: undefined };
  };
}

// Guards against a server that takes no tasks for good, since its maintenance waits for room, while a
// task that has nowhere else to run waits (LOST).
test("a task that fails on a server that is due for maintenance is started there again", async () => {
  for (const failsAfterMs of [9000, 12_000, 15_000]) {
    const { cluster, advance, requestWave } = await crowdedCluster({
      ...{ config: fleetConfig(), behaviour: failingAtFirst(failsAfterMs) },
    });
    requestWave();
    await advance(WATCHED_MS);
    assert.ok(
      longestGapMs(cluster) <= MAX_WITHOUT_RUN_MS,
      `${longestGapMs(cluster)} ms without a run after ${failsAfterMs} ms`,
    );
  }
});

// Guards against a task that waits beside the only server with room, which waits for a substitute.
test("a server that waits for a substitute takes a task that has waited for 2 s", async () => {
  const spares = [{ name: "spare", capacity: cpu(12_000), joins: false }];
  const { cluster, advance, requestWave } = await crowdedCluster({
    ...{ spares, behaviour: failingAtFirst(9000) },
  });
  requestWave();
  await advance(WATCHED_MS);
  const gapMs = longestGapMs(cluster);
  assert.ok(gapMs > 1000, "the task failed while its server was reserved");
  assert.ok(gapMs <= 3000, `${gapMs} ms without a run`);
});

test.run();
