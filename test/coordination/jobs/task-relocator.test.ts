import { test } from "uvu";
import * as assert from "uvu/assert";
import { FleetConfigView } from "../../../src/coordination/jobs/config-view.ts";
import type { ServerDriver } from "../../../src/coordination/jobs/execution/server-driver.ts";
import type { PlacementTicketCache } from "../../../src/coordination/jobs/scheduling/placement-ticket-cache.ts";
import { TaskRelocator } from "../../../src/coordination/jobs/scheduling/task-relocator.ts";
import { RunRegistry, type ActiveRun } from "../../../src/state/jobs/execution/run-registry.ts";
import { DurationModels } from "../../../src/state/jobs/scheduling/duration-model.ts";
import { Job, type Task } from "../../../src/state/jobs/records/job.ts";
import { EventCounts } from "../../fakes/event-counts.ts";
import { silentLog } from "../../fakes/jobs/control-fakes.ts";
import { cpu, fleetConfig, jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { activeRun, jobSpec } from "../../fakes/jobs/run-builders.ts";
import { VirtualClock } from "../../fakes/virtual-clock.ts";

const MAINTENANCE = { reason: "maintenance" } as const;
const NO_TICKETS = Object.create(null) as PlacementTicketCache;

function driver(id: string, cpuMillis: number): ServerDriver {
  const registration = { id, pool: "pool", rack: "r", zone: "z", labels: [] };
  return {
    ...{ id, registration: { ...registration, capacity: cpu(cpuMillis) }, coldness: 0 },
    ...{ speed: { slow: false }, health: { onProbation: false, consecutiveFailures: 0 } },
    ...{ maintenancePending: false, acceptsTasks: () => true },
  } as unknown as ServerDriver;
}

/** A relocator beside one empty server "free" of the given size; other servers take no tasks. */
function relocatorBeside(cpuMillis: number) {
  const clock = new VirtualClock();
  const config = new FleetConfigView(clock, silentLog());
  config.configured(fleetConfig());
  const runRegistry = new RunRegistry();
  const counts = new EventCounts();
  const free = driver("free", cpuMillis);
  const relocator = new TaskRelocator({
    ...{ clock, config, runRegistry, log: silentLog(), durations: new DurationModels() },
    counters: Object.assign(counts, { duration: () => undefined }) as never,
    ...{ ticketCache: NO_TICKETS, startsAt: 0, openJobs: () => [] },
    driver: (id) => (id === free.id ? free : undefined),
    driversInPool: () => [free],
    stop: (run) => {
      run.phase = "stopping";
    },
  });
  const runOn = (server: string, id: string): ActiveRun => {
    const request = jobRequest(step({ longRunning: true, demand: cpu(4000) }));
    const [task] = [...new Job(jobSpec(request, { id, organisation: "org" })).tasks()];
    return start(task!, server);
  };
  const start = (task: Task, server: string): ActiveRun => {
    const run = activeRun(task, { server, run: ++task.run, listedAt: clock.now() });
    runRegistry.add(run);
    return run;
  };
  return { clock, counts, runRegistry, relocator, runOn, start };
}

// Guards against two tasks that are stopped for the same place: only one of them could start again.
test("tasks of two servers don't leave for the same place", () => {
  const { relocator, runOn } = relocatorBeside(6000);
  const first = runOn("s1", "j1");
  const second = runOn("s2", "j2");
  assert.equal(relocator.relocate([first], MAINTENANCE), ["moving"]);
  assert.equal(relocator.relocate([second], MAINTENANCE), ["no-room"]);
  assert.is(second.phase, "running");
});

// Guards against a task that is stopped again every few seconds although it never gets its place.
test("a task that did not get its place is left alone, twice as long each time", async () => {
  const { clock, counts, runRegistry, relocator, runOn, start } = relocatorBeside(6000);
  let run = runOn("s1", "j1");
  const begunAt: number[] = [];
  while (clock.now() < 120_000) {
    run.listedAt = clock.now();
    if (relocator.relocate([run], MAINTENANCE)[0] === "moving" && run.phase === "stopping") {
      begunAt.push(clock.now());
      await clock.advance(100);
      // The run ends, and its task is started on the same server again.
      runRegistry.remove(run);
      run = start(run.task, "s1");
    }
    relocator.update();
    await clock.advance(100);
  }
  const pauses = begunAt.slice(1).map((at, index) => Math.round((at - begunAt[index]!) / 1000));
  assert.equal(pauses, [10, 20, 40]);
  assert.is(counts.count("task_move_failed"), begunAt.length);
});

test("a reserved place is given up when the stopped task has not started for some seconds", async () => {
  const { clock, runRegistry, relocator, runOn } = relocatorBeside(6000);
  const run = runOn("s1", "j1");
  relocator.relocate([run], MAINTENANCE);
  runRegistry.remove(run);
  assert.is(runRegistry.usedOnServer("free").cpuMillis, 4000);
  await clock.advance(3100);
  relocator.update();
  assert.is(runRegistry.usedOnServer("free").cpuMillis, 0);
});

// Guards against a stopped task whose organisation's cap is used up by another task in the meantime.
test("a stopped task with a reserved place still counts for its organisation, once", () => {
  const { runRegistry, relocator, runOn, start } = relocatorBeside(6000);
  const run = runOn("s1", "j1");
  const used = (): number => runRegistry.usedByOrganisation("org").cpuMillis;
  relocator.relocate([run], MAINTENANCE);
  assert.is(used(), 4000);
  runRegistry.remove(run);
  assert.is(used(), 4000);
  start(run.task, "free");
  assert.is(used(), 4000);
  assert.is(runRegistry.usedOnServer("free").cpuMillis, 4000);
});

// Guards against a task that a wave moves one way and the spread moves back, again and again.
test("the tasks of a step are not spread while a wave moves them", async () => {
  const { clock, runRegistry, relocator, runOn, start } = relocatorBeside(6000);
  const run = runOn("s1", "j1");
  relocator.relocate([run], MAINTENANCE);
  runRegistry.remove(run);
  const second = start(run.task, "s2");
  relocator.update();
  assert.equal(relocator.relocate([second], { reason: "spread" }), ["not-now"]);
  await clock.advance(10_000);
  second.listedAt = clock.now();
  assert.equal(relocator.relocate([second], { reason: "spread" }), ["moving"]);
});

// Guards against a stopped task whose reservation ends because an order to its instance was refused meanwhile.
test("a refused order ends the moves of running tasks only", () => {
  const { runRegistry, relocator, runOn } = relocatorBeside(8000);
  const stopping = runOn("s1", "j1");
  const running = runOn("s1", "j2");
  relocator.relocate([stopping], MAINTENANCE);
  relocator.endOrdered([stopping, running], "maintenance");
  assert.is(runRegistry.reservationsOn("free"), 2);
  relocator.endRefused([stopping, running]);
  assert.is(runRegistry.reservedServer(stopping.task), "free");
  assert.is(runRegistry.reservedServer(running.task), undefined);
});

test.run();
