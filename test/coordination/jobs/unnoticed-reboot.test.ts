import { test } from "uvu";
import * as assert from "uvu/assert";
import type { TaskBehaviour } from "../../../src/stand-ins/simulated-job-server.ts";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { JobCluster } from "../../fakes/jobs/job-cluster.ts";
import { repeatedStarts } from "../../fakes/jobs/run-checks.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";

const TASK_MS = 1000;
const SUBMIT_INTERVAL_MS = 200;
/** A job whose tasks outlast a takeover. */
const LONG_JOB = "long";
const LONG_MS = 6000;
/** Longer than the leases that a new scheduler allows for its predecessor's. */
const WARM_UP_MS = 8000;
/** Time in ms after which the registration of the new boot is read. */
const ANNOUNCED_AFTER_MS = 800;

/** A cluster under steady load, whose servers have all been polled for some time. */
async function loadedCluster({ durationMs }: TaskBehaviour = { durationMs: TASK_MS }) {
  const cluster = new JobCluster({
    random: new SeededRandom(1),
    servers: 5,
    stopMs: 150,
    behaviour: (task) => ({ durationMs: task.startsWith(LONG_JOB) ? LONG_MS : durationMs }),
  });
  const { clock } = cluster;
  const scheduler = await cluster.electScheduler();
  let jobs = 0;
  const load = async (ms: number): Promise<void> => {
    for (let waited = 0; waited < ms; waited += SUBMIT_INTERVAL_MS) {
      const request = jobRequest(step({ tasks: 4, maxPerServer: 1 }));
      const [entry] = cluster.liveEntries;
      void cluster.submit(entry!, `job${jobs++}`, request);
      await clock.advance(SUBMIT_INTERVAL_MS);
      cluster.updateServers();
    }
  };
  await load(WARM_UP_MS);
  return { cluster, clock, scheduler, load };
}

// Guards against two runs of a task at the same time (TWICE): the new boot of a server accepted a start
// that was placed on the former boot, and the task was started elsewhere as lost with the former boot.
for (const gapMs of [0, 300, 700])
  test(`a start that a server's new boot accepts is not repeated elsewhere, down for ${gapMs} ms`, async () => {
    const { cluster, clock, load } = await loadedCluster();
    cluster.servers.get("s0")!.crash();
    await load(gapMs);
    cluster.servers.get("s0")!.boot();
    await load(ANNOUNCED_AFTER_MS);
    cluster.announce("s0");
    await load(3000);
    await clock.advance(5000);
    assert.equal(repeatedStarts(cluster.servers.values()), []);
    for (const { running } of cluster.servers.values()) assert.equal(running, []);
  });

// Guards against a lease of unknown length: an order for the former boot extends the lease of the new
// boot, which then runs tasks on although it was never polled successfully.
test("a start accepted by a new boot that is cut off is repeated only after its lease has lapsed", async () => {
  const { cluster, clock, load } = await loadedCluster({ durationMs: 1600 });
  cluster.rebootUnnoticed("s0");
  await load(SUBMIT_INTERVAL_MS);
  cluster.servers.get("s0")!.faults.unresponsive = true;
  cluster.announce("s0");
  for (let waited = 0; waited < 15_000; waited += 50) {
    await clock.advance(50);
    cluster.updateServers();
  }
  assert.equal(repeatedStarts(cluster.servers.values()), []);
});

// Guards against the same at a takeover: the successor knew only that the placement was on a former boot.
test("a start that a server's new boot accepts is not repeated elsewhere by a new scheduler", async () => {
  const { cluster, clock, scheduler } = await loadedCluster({ durationMs: 150 });
  cluster.rebootUnnoticed("s0");
  const request = jobRequest(step({ tasks: 4, maxPerServer: 1 }));
  void cluster.submit(scheduler, LONG_JOB, request);
  await clock.advance(SUBMIT_INTERVAL_MS / 4);
  const started = cluster.servers.get("s0")!.running.some((task) => task.startsWith(LONG_JOB));
  assert.ok(started, "the new boot accepts a start");
  cluster.kill(scheduler);
  cluster.announce("s0");
  await clock.advance(LONG_MS * 3);
  cluster.updateServers();
  assert.equal(repeatedStarts(cluster.servers.values()), []);
  assert.is(await cluster.state(LONG_JOB), "completed");
});

// Guards against a task that is repeated after it was done, because the end was acknowledged unread: a
// poll acknowledged ends of the former boot, whose numbers the new boot uses again.
test("an end on a server's new boot is not acknowledged before it was read", async () => {
  const { cluster, clock, load } = await loadedCluster({ durationMs: 150 });
  cluster.servers.get("s0")!.crash();
  await load(SUBMIT_INTERVAL_MS);
  cluster.servers.get("s0")!.boot();
  await load(3000);
  cluster.announce("s0");
  await clock.advance(5000);
  assert.equal(repeatedStarts(cluster.servers.values()), []);
});

test.run();
