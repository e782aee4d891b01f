import { Ok } from "ts-results";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { JOBS_PREFIX } from "../../../src/protocol/job-records.ts";
import { PlacementAdvisor } from "../../../src/ports/placement-advisor.ts";
import {
  configWithSparePool,
  crowdedCluster,
  FILLING_JOB,
  ledgerStops,
  longestGapsMs,
  longestMoveMs,
  longRunningStep,
  type CrowdedClusterOptions,
} from "../../fakes/jobs/crowded-cluster.ts";
import { FakeInstances } from "../../fakes/jobs/fake-instances.ts";
import { zoneOfServer } from "../../fakes/jobs/zones.ts";
import { cpu, jobRequest, queueConfig, step } from "../../fakes/jobs/job-builders.ts";

const WATCHED_MS = 40_000;
/** Longest time in ms that a task may be without a run while it moves: its stop, its start and two lists. */
const MAX_MOVE_MS = 1000;
const TIMING = { decideMs: 20, eachMs: 1, validMs: 60_000 };

const URGENT_QUEUE = configWithSparePool({
  queues: [
    queueConfig({ name: "regular", priority: 1 }),
    queueConfig({ name: "urgent", prefix: "/urgent/", priority: 0 }),
  ],
});

/** Requests the maintenance of the server with two ledger tasks and checks that neither is stopped. */
async function assertNoStops(options: CrowdedClusterOptions, change?: () => void): Promise<void> {
  const { cluster, advance, requestWave } = await crowdedCluster(options);
  change?.();
  requestWave();
  await advance(WATCHED_MS);
  assert.is(Math.max(...ledgerStops(cluster)), 0);
}

// Guards against a task that is stopped every few seconds for room that never comes: a short task had
// passed its expected end long ago and still counted as ending soon.
test("a short task that runs past its estimate is no room for a task that would have to leave", async () => {
  const filling = step({ estimateMs: 1000, demand: cpu(8000) });
  const behaviour = (task: string) => ({
    durationMs: task.startsWith(FILLING_JOB) ? 600_000 : undefined,
  });
  await assertNoStops({ filling, behaviour });
});

// Guards against a task that is stopped every few seconds for an instance that never joins its pool.
test("an instance that never joins the pool is no room", async () => {
  await assertNoStops({ spares: [{ name: "spare", capacity: cpu(12_000), joins: false }] });
});

test("an instance that is too small is no room", async () => {
  const capacity = { cpuMillis: 3000, memoryMb: 8000, accelerators: 0 };
  await assertNoStops({ spares: [{ name: "spare", capacity }] });
});

// Guards against a task that is stopped every few seconds for a server on which it may not run.
test("an instance of another kind is no room for a task that requires a kind", async () => {
  const capacity = { cpuMillis: 12_000, memoryMb: 8000, accelerators: 0 };
  const labels = ["big", "rack"];
  const ledger = { requiredLabel: "big" };
  await assertNoStops({ spares: [{ name: "spare", capacity }], ledger, labels });
});

test("a server that runs the most tasks of the step that it may run is no room", async () => {
  const filling = longRunningStep(1, 1000);
  await assertNoStops({ filling, ledger: { maxPerServer: 2, tasks: 4 } });
});

// Guards against a task that is stopped although its queue's advisor lets it run nowhere else.
test("a server without a ticket of the placement advisor is no room", async () => {
  class OneServerAdvisor extends PlacementAdvisor {
    override advise(stepName: string, servers: readonly string[]) {
      const allowed = stepName.startsWith(FILLING_JOB) ? servers : servers.slice(0, 1);
      const tickets = new Map(allowed.map((server) => [server, `ticket-${server}`]));
      return Promise.resolve(Ok({ tickets, validMs: TIMING.validMs }));
    }
  }
  const config = configWithSparePool({ queues: [queueConfig({ advice: TIMING })] });
  const filling = longRunningStep(1, 4000);
  const ledger = { tasks: 2 };
  await assertNoStops({ config, filling, ledger, advisor: new OneServerAdvisor() });
});

// Guards against a task that can't start again since its organisation already uses more than its cap.
test("a task of an organisation beyond its cap is not stopped to be moved", async () => {
  const config = configWithSparePool();
  const { cluster, advance, requestWave } = await crowdedCluster({
    ...{ config, organisation: "org", filling: longRunningStep(1, 1000) },
  });
  const organisations = config.organisations.map((org) => ({ ...org, cap: cpu(8000) }));
  cluster.configure({ ...config, version: 2, organisations });
  requestWave();
  await advance(WATCHED_MS);
  assert.equal(ledgerStops(cluster), [0, 0, 0]);
});

// Guards against a place that only counted once: a task of a more urgent queue that arrived during the
// stop took it, and the stopped task had nowhere to go.
test("the place of a task that is being moved is not given to a more urgent one", async () => {
  const { cluster, clock, due, submit, advance, requestWave } = await crowdedCluster({
    ...{ config: URGENT_QUEUE, filling: longRunningStep(1, 4000), stopMs: 500 },
  });
  requestWave();
  await clock.until(() => due.stopping.length > 0);
  await submit("urgent", jobRequest(longRunningStep(1, 4000)), "urgent");
  await advance(10_000);
  assert.is(Math.max(...ledgerStops(cluster)), 1);
  assert.ok(longestMoveMs(cluster) <= MAX_MOVE_MS, `${longestMoveMs(cluster)} ms without a run`);
});

test("the place of a task that leaves an evacuated zone is not given to a more urgent one", async () => {
  const { cluster, clock, due, submit, advance } = await crowdedCluster({
    ...{ config: URGENT_QUEUE, filling: longRunningStep(1, 4000), stopMs: 500 },
  });
  cluster.evacuate(zoneOfServer(due.id));
  await clock.until(() => due.stopping.length > 0);
  await submit("urgent", jobRequest(longRunningStep(1, 4000)), "urgent");
  await advance(10_000);
  assert.ok(longestMoveMs(cluster) <= MAX_MOVE_MS, `${longestMoveMs(cluster)} ms without a run`);
});

// Guards against a task that an accepted maintenance ends although its place has been taken since.
test("the place of a task that a maintenance is about to end is not given to a more urgent one", async () => {
  const { cluster, clock, submit, advance, requestWave, maintained } = await crowdedCluster({
    ...{ config: URGENT_QUEUE, ledger: { availabilityBudget: 3 } },
    filling: longRunningStep(1, 4000),
  });
  requestWave();
  await clock.until(() => maintained.length > 0, 5000, 1);
  await submit("urgent", jobRequest(longRunningStep(1, 4000)), "urgent");
  await advance(10_000);
  const [first] = longestGapsMs(cluster)
    .filter((gap) => gap > 0)
    .sort((a, b) => a - b);
  assert.ok(first! <= MAX_MOVE_MS, `${first} ms without a run`);
});

// Guards against tasks that are stopped as soon as their server drains although no other one has room.
test("a task on a draining server runs on while no other server has room, until it has to leave", async () => {
  const { cluster, clock, due, advance } = await crowdedCluster();
  cluster.drain(due.id);
  const drainedAt = clock.now();
  await advance(5000);
  const stops = due.history.filter(({ end }) => end === "stopped");
  assert.is(stops.length, 2);
  for (const { endedAt } of stops) assert.ok(endedAt! - drainedAt >= 1000);
});

test("a task moves once an instance has joined the pool, and the maintenance follows", async () => {
  const capacity = { cpuMillis: 12_000, memoryMb: 8000, accelerators: 0 };
  const { cluster, due, advance, requestWave, maintained } = await crowdedCluster({
    spares: [{ name: "spare", capacity }],
  });
  requestWave();
  await advance(10_000);
  assert.equal(maintained, [FakeInstances.nameOf(due.id)]);
  assert.ok(longestMoveMs(cluster) <= MAX_MOVE_MS, `${longestMoveMs(cluster)} ms without a run`);
});

// Guards against tasks that end all at once with a maintenance (AVAIL), because a new scheduler that had not
// read the jobs yet took the instance for idle.
test("a new scheduler orders no maintenance before it has read the jobs", async () => {
  const { cluster, due, advance, requestWave, maintained } = await crowdedCluster();
  const before = [...due.running];
  for (const { faults } of cluster.liveEntries) faults.readDelayMs.set(JOBS_PREFIX, 4000);
  cluster.kill(cluster.scheduler!);
  requestWave();
  await advance(WATCHED_MS);
  assert.equal(maintained, []);
  assert.equal([...due.running], before);
});

test.run();
