import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Log } from "../../../src/ports/log.ts";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { JobCluster } from "../../fakes/jobs/job-cluster.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { advanceUntilSettled } from "../../fakes/virtual-clock.ts";

/** 2 Mbit/s. */
const LINK_BYTES_PER_MS = 250;
const TASKS_PER_JOB = 20;
/** A start takes 2,400 bytes, so the link carries about 100 starts a second and nothing else. */
const SPEC = "x".repeat(2000);
const RECOVERY_MS = 2000;

function congestedCluster() {
  const lines: string[] = [];
  const note = (...line: readonly unknown[]): void => {
    lines.push(String(line.at(-1)));
  };
  const log: Log = { debug: () => undefined, info: note, warn: note, error: note };
  const cluster = new JobCluster({
    ...{ random: new SeededRandom(1), log, linkBytesPerMs: LINK_BYTES_PER_MS },
    ...{ entries: 3, servers: 12, behaviour: () => ({ durationMs: 300 }) },
    capacity: { cpuMillis: 64_000, memoryMb: 256_000, accelerators: 0 },
  });
  return { cluster, count: (line: string) => lines.filter((each) => each === line).length };
}

async function submitFor(cluster: JobCluster, ms: number, everyMs: number): Promise<string[]> {
  const ids: string[] = [];
  const scheduler = await cluster.electScheduler();
  const until = cluster.clock.now() + ms;
  while (cluster.clock.now() < until) {
    const id = `j${ids.length}`;
    const job = { ...jobRequest(step({ tasks: TASKS_PER_JOB, estimateMs: 300 })), spec: SPEC };
    void advanceUntilSettled(cluster.clock, cluster.submit(scheduler, id, job));
    ids.push(id);
    await cluster.clock.advance(everyMs);
  }
  return ids;
}

// Guards against lock renewals that time out behind start orders on a saturated link.
test("the scheduler keeps its lock when starts exceed the link capacity", async () => {
  const { cluster, count } = congestedCluster();
  // 200 starts a second.
  const ids = await submitFor(cluster, 4000, 100);
  const backlogMs = (ids.length * TASKS_PER_JOB * (SPEC.length + 400)) / LINK_BYTES_PER_MS - 4000;
  await cluster.clock.advance(2 * backlogMs + RECOVERY_MS);
  assert.is(count("scheduler lock acquired"), 1, "one tenure");
  assert.is(count("start failed"), 0, "no start times out in the sender's own queue");
  for (const id of ids) assert.is(await cluster.state(id), "completed", id);
});

// Guards against placement that stays throttled after congestion has ended.
test("tasks are placed promptly again when the load falls", async () => {
  const { cluster, count } = congestedCluster();
  await submitFor(cluster, 3000, 150);
  await cluster.clock.advance(RECOVERY_MS + 1000);
  const begun = count("tasks are started");
  const scheduler = cluster.scheduler!;
  const job = { ...jobRequest(step({ tasks: 2 })), spec: SPEC };
  await advanceUntilSettled(cluster.clock, cluster.submit(scheduler, "later", job));
  await cluster.clock.advance(500);
  assert.ok(count("tasks are started") > begun);
  assert.is(count("scheduler lock acquired"), 1);
});

test.run();
