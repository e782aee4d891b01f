import { test } from "uvu";
import * as assert from "uvu/assert";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { JobCluster } from "../../fakes/jobs/job-cluster.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { advanceUntilSettled } from "../../fakes/virtual-clock.ts";

/** Server lease on the slowest allowed clock, plus the time of an election and a few polls, in ms. */
const RESTART_BOUND_MS = 14_000;
const TENURE_MS = 3000;
const TAKEOVERS = 5;

// Guards against work that waits for as long as schedulers follow each other (LOST): each one waits for
// a whole lease anew, although no scheduler has reached the server since it was lost.
test("a task of a lost server restarts after one lease, however often the scheduler changes", async () => {
  const cluster = new JobCluster({
    random: new SeededRandom(1),
    entries: TAKEOVERS + 1,
    behaviour: () => ({ durationMs: undefined }),
  });
  const { clock } = cluster;
  const first = await cluster.electScheduler();
  const job = jobRequest(step({ tasks: 1, longRunning: true }));
  await advanceUntilSettled(clock, cluster.submit(first, "job", job));
  await clock.advance(2000);
  const lost = [...cluster.servers.values()].find(({ running }) => running.length > 0)!;
  cluster.crash(lost.id);
  const lostAt = clock.now();
  for (let takeover = 0; takeover < TAKEOVERS; takeover++) {
    cluster.kill(await cluster.electScheduler());
    await clock.advance(100);
    await cluster.electScheduler();
    await clock.advance(TENURE_MS);
  }
  await clock.until(() => [...cluster.servers.values()].some(({ running }) => running.length > 0));
  const waitedMs = clock.now() - lostAt;
  assert.ok(waitedMs <= RESTART_BOUND_MS, `restarted after ${waitedMs} ms`);
});

test.run();
