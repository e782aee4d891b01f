import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Log } from "../../../src/ports/log.ts";
import type { StepSpec } from "../../../src/protocol/job-spec.ts";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { JobCluster } from "../../fakes/jobs/job-cluster.ts";
import { zoneOfServer } from "../../fakes/jobs/zones.ts";
import type { ClusterEntry } from "../../fakes/jobs/job-cluster.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { advanceUntilSettled } from "../../fakes/virtual-clock.ts";

const BOUND_MS = 5000;
/** Time in ms until a simulated long-running task has started up. */
const STARTUP_MS = 500;

/** A cluster whose servers alternate between the zones z0 and z1, eight tasks fit each. */
async function createCluster(options: { readonly servers?: number; readonly log?: Log } = {}) {
  const cluster = new JobCluster({
    random: new SeededRandom(1),
    servers: 2,
    ...options,
    behaviour: (task) => ({ durationMs: task.startsWith("long") ? undefined : 300 }),
  });
  const scheduler = await cluster.electScheduler();
  await cluster.clock.advance(1000);
  const submit = (id: string, changes: Partial<StepSpec>, target: ClusterEntry = scheduler) =>
    advanceUntilSettled(
      cluster.clock,
      cluster.submit(target, id, jobRequest(step({ maxPerServer: 0, ...changes }))),
    );
  const starts = (zone: string, since: number) =>
    [...cluster.servers.values()]
      .filter(({ id }) => zoneOfServer(id) === zone)
      .flatMap(({ history }) => history.filter(({ startedAt }) => startedAt > since))
      .sort((a, b) => a.startedAt - b.startedAt);
  const running = (zone: string) =>
    [...cluster.servers.values()]
      .filter(({ id }) => zoneOfServer(id) === zone)
      .flatMap((server) => server.running);
  return { cluster, clock: cluster.clock, scheduler, submit, starts, running };
}

test("nothing starts in an evacuated zone, and work resumes there after its end", async () => {
  const { cluster, clock, submit, starts } = await createCluster();
  cluster.evacuate("z0");
  await clock.advance(1000);
  const evacuatedAt = clock.now();
  await submit("short", { tasks: 20 });
  await clock.advance(2000);
  assert.equal(starts("z0", evacuatedAt), []);
  assert.is(starts("z1", evacuatedAt).length, 20);
  cluster.restore("z0");
  await clock.advance(1000);
  await submit("later", { tasks: 20 });
  await clock.advance(2000);
  assert.ok(starts("z0", evacuatedAt).length > 0);
});

// Guards against jobs that fail for good while no server accepts tasks.
test("while all zones are evacuated tasks wait, and they run after the end", async () => {
  const { cluster, clock, submit, starts } = await createCluster();
  for (const zone of ["z0", "z1"]) cluster.evacuate(zone);
  await clock.advance(1000);
  const evacuatedAt = clock.now();
  await submit("short", { tasks: 4 });
  await clock.advance(20_000);
  assert.equal([...starts("z0", evacuatedAt), ...starts("z1", evacuatedAt)], []);
  assert.is(await cluster.state("short"), "queued");
  for (const zone of ["z0", "z1"]) cluster.restore(zone);
  await clock.advance(3000);
  assert.is(await cluster.state("short"), "completed");
});

// Guards against a zone that stays evacuated because the event of its deletion was compacted.
test("an end of an evacuation that no watch reports is found by the next full read", async () => {
  const { cluster, clock, scheduler } = await createCluster();
  cluster.evacuate("z0", "unreadable {");
  await clock.advance(1000);
  assert.ok(scheduler.entry.config.isEvacuated("z0"), "the value does not matter");
  scheduler.store.faults.unresponsive = true;
  await clock.advance(1000);
  cluster.restore("z0");
  cluster.evacuate("z1");
  cluster.store.compact();
  scheduler.store.faults.unresponsive = false;
  await clock.advance(2500);
  assert.equal([...scheduler.entry.config.evacuatedZones], ["z1"]);
});

test("a zone without servers is counted and affects nothing else", async () => {
  const { cluster, clock, scheduler, submit } = await createCluster();
  cluster.evacuate("nowhere");
  cluster.evacuate("");
  await submit("short", { tasks: 4 });
  await clock.advance(3000);
  assert.is(await cluster.state("short"), "completed");
  assert.ok(scheduler.counts.count("evacuation_unknown_zone") >= 2);
});

// Guards against starts by a scheduler whose watch hangs while its other calls to the store succeed.
test("a scheduler whose knowledge of evacuations is outdated starts nothing after the bound", async () => {
  const { cluster, clock, scheduler, submit, starts } = await createCluster();
  scheduler.faults.stallOperatorWatches = true;
  await clock.advance(100);
  cluster.evacuate("z0");
  const boundAt = clock.now() + BOUND_MS;
  for (let number = 0; number < 12; number++) {
    await submit(`short${number}`, { tasks: 10 });
    await clock.advance(800);
  }
  assert.ok(starts("z0", 0).length > 0, "the evacuation was not known");
  assert.equal(starts("z0", boundAt), []);
  scheduler.faults.stallOperatorWatches = false;
  await clock.advance(10_000);
  assert.is(await cluster.state("short11"), "completed");
});

// Guards against an order that a paused process, or a slow connection, delivers after the bound.
test("an order that is delayed past the bound is refused by the server", async () => {
  const { cluster, clock, scheduler, submit, starts } = await createCluster({ servers: 1 });
  await clock.until(() => scheduler.entry.config.ageMs < 900);
  scheduler.faults.stallOperatorWatches = true;
  cluster.evacuate("z0");
  const boundAt = clock.now() + BOUND_MS;
  await clock.advance(2900);
  const server = cluster.servers.get("s0")!;
  Object.assign(server.faults, { lateStarts: 4, lateStartDelayMs: 2250 });
  await submit("late", { tasks: 4 });
  await clock.until(() => server.faults.lateStarts === 0);
  // A running scheduler would bar the unanswered starts by stops.
  for (const { faults } of cluster.liveEntries) faults.freeze();
  await clock.advance(8000);
  assert.equal(starts("z0", boundAt), []);
});

test("a scheduler that takes over during an evacuation starts nothing in the zone", async () => {
  const { cluster, clock, scheduler, submit, starts } = await createCluster();
  await submit("before", { tasks: 4 });
  cluster.evacuate("z0");
  await clock.advance(1000);
  const evacuatedAt = clock.now();
  await submit("waiting", { tasks: 30 });
  for (const entry of cluster.liveEntries) cluster.kill(entry);
  const successor = cluster.addEntry();
  await clock.advance(6000);
  await submit("after", { tasks: 20 }, successor);
  await clock.advance(3000);
  assert.not(scheduler.alive);
  assert.equal(starts("z0", evacuatedAt), []);
  assert.is(await cluster.state("after"), "completed");
});

test("an evacuation that becomes known while a placement is recorded withholds its start", async () => {
  let recorded: () => void = () => undefined;
  const log = {
    ...{ debug: () => undefined, warn: () => undefined, error: () => undefined },
    info: (...line: readonly unknown[]) => {
      // Logged between the record of the placement and its start order.
      if (line[1] === "tasks are started") recorded();
    },
  };
  const { clock, scheduler, submit, starts } = await createCluster({ servers: 1, log });
  recorded = () => {
    scheduler.entry.config.zoneEvacuated("z0");
  };
  await submit("short", { tasks: 4 });
  await clock.advance(500);
  assert.equal(starts("z0", 0), []);
  assert.is(scheduler.counts.count("start_withheld_evacuation"), 4);
});

test("long-running tasks leave an evacuated zone one at a time within their budget", async () => {
  const { cluster, clock, submit, starts, running } = await createCluster({ servers: 4 });
  await submit("long", { tasks: 4, longRunning: true });
  await clock.advance(3000);
  const zone = running("z0").length > 0 ? "z0" : "z1";
  const other = zone === "z0" ? "z1" : "z0";
  assert.ok(running(zone).length > 1);
  cluster.evacuate(zone);
  const evacuatedAt = clock.now();
  await clock.advance(15_000);
  assert.is(running(other).length, 4);
  const times = starts(other, evacuatedAt).map(({ startedAt }) => startedAt);
  assert.ok(times.length > 1);
  const gaps = times.slice(1).map((at, index) => at - times[index]!);
  assert.ok(Math.min(...gaps) >= STARTUP_MS, "each waits until the former one is available");
});

// Guards against tasks that are stopped although they can't run anywhere else.
test("long-running tasks stay in an evacuated zone while other zones have no room", async () => {
  const { cluster, clock, submit, running } = await createCluster();
  await submit("long", { tasks: 16, longRunning: true });
  await clock.advance(3000);
  const before = running("z0");
  assert.is(before.length, 8);
  cluster.evacuate("z0");
  await clock.advance(8000);
  assert.equal(running("z0"), before);
});

// Guards against servers that return in large numbers and attract all work because they are empty.
test("while warm servers have room, servers that come back cold get no work, then a part of it", async () => {
  const { cluster, clock, submit } = await createCluster({ servers: 6 });
  const cold = ["s3", "s4", "s5"];
  for (const id of cold) {
    cluster.crash(id);
    cluster.boot(id);
    cluster.setColdTime(id, 20_000);
  }
  await clock.advance(500);
  const bootedAt = clock.now();
  const startsOnCold = () =>
    cold.map((id) => {
      const { history } = cluster.servers.get(id)!;
      return history.filter(({ startedAt }) => startedAt > bootedAt).length;
    });
  await submit("fits", { tasks: 24 });
  await clock.advance(100);
  assert.equal(startsOnCold(), [0, 0, 0]);
  await clock.advance(1000);
  await submit("exceeds", { tasks: 48 });
  await clock.advance(100);
  assert.equal(startsOnCold(), [2, 2, 2], "a quarter of eight cores each");
  await clock.advance(21_000);
  const before = startsOnCold();
  await submit("warm", { tasks: 48 });
  await clock.advance(100);
  assert.equal(
    startsOnCold().map((count, index) => count - before[index]!),
    [8, 8, 8],
  );
});

test.run();
