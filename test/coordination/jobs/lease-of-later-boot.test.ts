import { test } from "uvu";
import * as assert from "uvu/assert";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { JobCluster, type JobClusterOptions } from "../../fakes/jobs/job-cluster.ts";
import { repeatedStarts } from "../../fakes/jobs/run-checks.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { advanceUntilSettled } from "../../fakes/virtual-clock.ts";

/** Much longer than the 6 s that schedulers grant. */
const MAX_SERVER_LEASE_MS = 10_000;
/** Longer than the leases that a new scheduler allows for its predecessor's. */
const WARM_UP_MS = 12_000;
/** Longer than the longest lease, on any clock. */
const TASK_MS = 20_000;
const CUT_MS = 16_000;
const STEP_MS = 20;

/** A cluster with long tasks at work on every server, which have all been polled for some time. */
async function busyCluster(options: Partial<JobClusterOptions> = {}) {
  const cluster = new JobCluster({
    random: new SeededRandom(1),
    servers: 5,
    maxServerLeaseMs: MAX_SERVER_LEASE_MS,
    behaviour: (task) => ({ durationMs: task.startsWith("short") ? 300 : TASK_MS }),
    ...options,
  });
  const { clock } = cluster;
  const scheduler = await cluster.electScheduler();
  await clock.advance(WARM_UP_MS);
  /** Starts a long task on each of four servers. */
  const submitWide = async (id: string): Promise<void> => {
    const request = jobRequest(step({ tasks: 4, maxPerServer: 1, estimateMs: TASK_MS }));
    await advanceUntilSettled(clock, cluster.submit(cluster.liveEntries[0]!, id, request));
  };
  const advance = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      await clock.advance(STEP_MS);
      cluster.updateServers();
    }
  };
  const cut = (): void => {
    cluster.servers.get("s0")!.faults.unresponsive = true;
  };
  const runsOnRebooted = (): number => cluster.servers.get("s0")!.running.length;
  return { cluster, clock, scheduler, submitWide, advance, cut, runsOnRebooted };
}

// Guards against runs that are given up too early (TWICE): a start issued for the former boot gave the new
// boot the longest lease, and the scheduler reckoned with its own deadlines only.
for (const knownAfterMs of [40, 400])
  test(`no task runs twice when a server that took a start for its former boot is cut off, known after ${knownAfterMs} ms`, async () => {
    const { cluster, submitWide, advance, cut, runsOnRebooted } = await busyCluster();
    await submitWide("first");
    await advance(200);
    cluster.rebootUnnoticed("s0");
    await submitWide("between");
    await advance(knownAfterMs);
    cluster.announce("s0");
    await advance(200);
    await submitWide("second");
    await advance(800);
    assert.ok(runsOnRebooted() > 0, "the new boot runs tasks");
    cut();
    await advance(CUT_MS);
    assert.equal(repeatedStarts(cluster.servers.values()), []);
  });

// Guards against runs that are given up too early after a takeover (TWICE): the new scheduler allowed only for the leases that its
// predecessor meant to grant.
test("runs on a new boot with a lease meant for the former one are kept by the next scheduler", async () => {
  const { cluster, scheduler, submitWide, advance, cut, runsOnRebooted } = await busyCluster();
  await submitWide("first");
  await advance(200);
  cluster.rebootUnnoticed("s0");
  await submitWide("between");
  await advance(100);
  cluster.announce("s0");
  await advance(200);
  await submitWide("second");
  await advance(400);
  assert.ok(runsOnRebooted() > 0, "the new boot runs tasks");
  cluster.kill(scheduler);
  cut();
  await advance(CUT_MS);
  assert.equal(repeatedStarts(cluster.servers.values()), []);
});

// Guards against a start that counts as one on the former boot, because the server is cut off before
// anything of its new boot is read.
for (const killed of [false, true])
  test(`a start that a new boot accepts right before a cut is not repeated${killed ? " by the next scheduler" : ""}`, async () => {
    const { cluster, scheduler, submitWide, advance, cut, runsOnRebooted } = await busyCluster();
    await submitWide("first");
    await advance(1000);
    cluster.rebootUnnoticed("s0");
    await submitWide("second");
    const start = cluster.clock.now();
    while (runsOnRebooted() === 0 && cluster.clock.now() < start + 1000)
      await cluster.clock.advance(1);
    assert.ok(runsOnRebooted() > 0, "the new boot runs a task");
    cut();
    if (killed) cluster.kill(scheduler);
    await advance(CUT_MS);
    assert.equal(repeatedStarts(cluster.servers.values()), []);
  });

test.run();
