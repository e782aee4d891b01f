import { test } from "uvu";
import * as assert from "uvu/assert";
import { mayInterrupt } from "../../../src/state/jobs/fleet/availability.ts";
import {
  afterMoves,
  chooseDraining,
  instancesNeeded,
  planMoves,
  type MovableInstance,
} from "../../../src/state/jobs/fleet/pool-sizing.ts";
import { recordListed } from "../../../src/state/jobs/execution/run-progress.ts";
import { RunRegistry } from "../../../src/state/jobs/execution/run-registry.ts";
import { NO_RESOURCES } from "../../../src/state/jobs/scheduling/resources.ts";
import {
  chooseReservations,
  effectOfOrder,
  type WaveInstance,
} from "../../../src/state/jobs/fleet/wave-plan.ts";
import { cpu, jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { activeRun, stepRun } from "../../fakes/jobs/run-builders.ts";

const NOW = 1000;

function longRunningStep(tasks: number, budget: number) {
  const request = jobRequest(step({ tasks, longRunning: true, availabilityBudget: budget }));
  const registry = new RunRegistry();
  const runs = stepRun(request).tasks.map((task) => activeRun(task));
  for (const run of runs) registry.add(run);
  return { registry, runs };
}

test("planned work ends no more tasks of a step than its availability budget allows", () => {
  const { registry, runs } = longRunningStep(4, 1);
  assert.is(mayInterrupt(runs.slice(0, 1), registry, NOW), true);
  assert.is(mayInterrupt(runs.slice(0, 2), registry, NOW), false);
});

test("tasks that are unavailable for any other cause count against the budget", () => {
  const { registry, runs } = longRunningStep(4, 1);
  runs[3]!.percent = 40;
  assert.is(mayInterrupt(runs.slice(0, 1), registry, NOW), false);
  runs[3]!.percent = 100;
  runs[2]!.phase = "stopping";
  assert.is(mayInterrupt(runs.slice(0, 1), registry, NOW), false);
});

// A list that was read while an order was queued or in flight must not free the order's budget.
test("a task whose end is ordered counts as unavailable while its server still lists it as available", () => {
  const { registry, runs } = longRunningStep(4, 1);
  const [first, second] = runs;
  first!.endOrdered = true;
  const { name: task } = first!.task;
  const listed = { task, run: 1, checkpoint: "", percent: 100, load: 0 };
  recordListed(first!, listed, { clockMs: 5000 }, NOW);
  assert.is(mayInterrupt([second!], registry, NOW), false);
  first!.endOrdered = false;
  assert.is(mayInterrupt([second!], registry, NOW), true);
});

test("tasks on a server that has been unresponsive for some seconds count as unavailable", () => {
  const { registry, runs } = longRunningStep(4, 1);
  const now = 10_000;
  for (const run of runs.slice(0, 3)) run.listedAt = now - 500;
  runs[3]!.listedAt = now - 5000;
  assert.is(mayInterrupt(runs.slice(0, 1), registry, now), false);
  runs[3]!.listedAt = now - 2500;
  assert.is(mayInterrupt(runs.slice(0, 1), registry, now), true);
});

test("ending a task uses the budget even if the task was still starting up when last listed", () => {
  const { registry, runs } = longRunningStep(4, 1);
  runs[0]!.percent = 80;
  runs[1]!.percent = 80;
  assert.is(mayInterrupt(runs.slice(0, 2), registry, NOW), false);
});

const CAPACITY = cpu(16_000);

function load(long: number, short: number, shortBefore: number, distinctServers = 0) {
  return {
    ...{ pool: "p", long: cpu(long), short: cpu(short), shortBefore: cpu(shortBefore) },
    ...{ distinctServers, capacity: CAPACITY },
  };
}

test("rising demand of a queue is met by more instances than its present demand needs", () => {
  const steady = instancesNeeded(load(0, 64_000, 64_000));
  const rising = instancesNeeded(load(0, 64_000, 16_000));
  assert.ok(steady >= 4);
  assert.ok(rising >= steady + 3, `${rising} against ${steady}`);
});

test("a pool keeps as many instances as a step needs distinct servers", () => {
  assert.is(instancesNeeded(load(1000, 0, 0, 5)), 5);
});

test("an idle pool keeps one instance, and a pool with long-running tasks keeps two", () => {
  assert.is(instancesNeeded({ ...load(0, 0, 0), long: NO_RESOURCES }), 1);
  assert.is(instancesNeeded(load(1000, 0, 0)), 2);
});

function instance(name: string, pool: string, changes: Partial<MovableInstance> = {}) {
  return {
    ...{ name, pool, spare: false, idle: true, idleMs: 60_000, draining: false },
    ...{ shortTasks: 0, longTasks: 0 },
    ...changes,
  };
}

test("a pool that lacks instances gets spare ones first and then only surplus ones of other pools", () => {
  const moves = planMoves({
    needed: new Map([
      ["hot", 3],
      ["cold", 1],
    ]),
    sizes: new Map([
      ["hot", 0],
      ["cold", 2],
      ["off", 1],
    ]),
    instances: [
      instance("c1", "cold"),
      instance("c2", "cold"),
      instance("o1", "off", { spare: true }),
    ],
    sparePool: "off",
  });
  assert.equal(moves, [
    { instance: "o1", pool: "hot" },
    { instance: "c1", pool: "hot" },
  ]);
});

test("an instance with tasks is never moved", () => {
  const moves = planMoves({
    needed: new Map([["cold", 0]]),
    sizes: new Map([["cold", 1]]),
    instances: [instance("c1", "cold", { idle: false, shortTasks: 1 })],
    sparePool: "off",
  });
  assert.equal(moves, []);
});

test("surplus instances drain, the least busy first, except those with long-running tasks", () => {
  const draining = chooseDraining({
    needed: new Map([["p", 1]]),
    sizes: new Map([["p", 3]]),
    instances: [
      instance("busy", "p", { idle: false, shortTasks: 9 }),
      instance("long", "p", { idle: false, longTasks: 1 }),
      instance("light", "p", { idle: false, shortTasks: 1 }),
    ],
    sparePool: "off",
  });
  assert.equal([...draining].sort(), ["busy", "light"]);
});

function waveInstance(
  name: string,
  pool: string,
  changes: Partial<WaveInstance> = {},
): WaveInstance {
  const instance = { name, pool, state: "up" as const, zone: "z", labels: [] };
  return {
    instance: { ...instance, capacity: CAPACITY, server: name },
    ...{ reserved: false, shortTasks: 0, longTasks: 0 },
    ...changes,
  };
}

test("a wave never reserves more instances than may be in maintenance at once", () => {
  const open = ["a", "b", "c", "d"].map((name) => waveInstance(name, name));
  const request = { wave: 1, instances: [], durationMs: 1000, maxAtOnce: 3 };
  const inMaintenance = [open[0]!.instance];
  const chosen = chooseReservations({
    ...{ request, inMaintenance, poolSizes: new Map() },
    open: [{ ...open[1]!, reserved: true }, ...open.slice(2)],
  });
  assert.is(chosen.length, 1);
});

test("a wave reserves a small part of a pool at a time, instances with the least work first", () => {
  const request = { wave: 1, instances: [], durationMs: 1000, maxAtOnce: 8 };
  const open = [
    waveInstance("busy", "p", { shortTasks: 5 }),
    waveInstance("idle", "p"),
    waveInstance("other", "q"),
  ];
  const poolSizes = new Map([
    ["p", 4],
    ["q", 4],
  ]);
  const chosen = chooseReservations({ request, open, inMaintenance: [], poolSizes });
  assert.equal(chosen.map(({ name }) => name).sort(), ["idle", "other"]);
});

test("an accepted repetition of an order does not count as the end of the runs on the instance", () => {
  const { instance: up } = waveInstance("i", "p");
  const server = up.server;
  assert.is(effectOfOrder(up, server, 0), "pending");
  assert.is(effectOfOrder({ ...up, state: "upkeep", server: undefined }, server, 300), "applied");
  assert.is(effectOfOrder({ ...up, server: "next" }, server, 2500), "applied");
  assert.is(effectOfOrder(up, server, 5000), "none");
  assert.is(effectOfOrder(undefined, server, 300), "pending");
});

test("a wave begins with instances whose long-running tasks may be ended only one by one", () => {
  const request = { wave: 1, instances: [], durationMs: 1000, maxAtOnce: 2 };
  const open = [
    waveInstance("idle", "p"),
    waveInstance("long", "q", { longTasks: 2 }),
    waveInstance("longer", "q", { longTasks: 3 }),
  ];
  const poolSizes = new Map([
    ["p", 4],
    ["q", 4],
  ]);
  const chosen = chooseReservations({ request, open, inMaintenance: [], poolSizes });
  assert.equal(
    chosen.map(({ name }) => name),
    ["longer", "idle"],
  );
});

// Guards against draining further instances in place of those that leave the pool in the same step.
test("instances that are about to move are no part of the surplus that drains", () => {
  const idle = {
    pool: "a",
    spare: false,
    idle: true,
    draining: false,
    shortTasks: 0,
    longTasks: 0,
  };
  const plan = {
    needed: new Map([["a", 1]]),
    sizes: new Map([["a", 3]]),
    instances: [
      { ...idle, name: "m0", idleMs: 0 },
      { ...idle, name: "m1", idleMs: 0 },
      { ...idle, name: "m2", idleMs: 5000 },
    ],
    sparePool: "rest",
  };
  const moves = planMoves(plan);
  assert.equal(
    moves.map(({ instance }) => instance),
    ["m2"],
  );
  assert.equal([...chooseDraining(afterMoves(plan, moves))], ["m0"]);
});

test.run();
