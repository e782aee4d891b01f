import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FleetConfigView } from "../../../src/coordination/jobs/config-view.ts";
import type { ServerDriver } from "../../../src/coordination/jobs/execution/server-driver.ts";
import { PlacementRound } from "../../../src/coordination/jobs/scheduling/placement-round.ts";
import type { PlacementTicketCache } from "../../../src/coordination/jobs/scheduling/placement-ticket-cache.ts";
import { newRun } from "../../../src/state/jobs/execution/run-progress.ts";
import { RunRegistry } from "../../../src/state/jobs/execution/run-registry.ts";
import { ServerHealth } from "../../../src/state/jobs/execution/server-health.ts";
import { ServerSpeed } from "../../../src/state/jobs/execution/server-speed.ts";
import { Job } from "../../../src/state/jobs/records/job.ts";
import { DurationModels } from "../../../src/state/jobs/scheduling/duration-model.ts";
import { RetryBudgets } from "../../../src/state/jobs/scheduling/retry-policy.ts";
import { StepPlanner } from "../../../src/state/jobs/scheduling/step-planner.ts";
import { WaitReasons } from "../../../src/state/jobs/scheduling/wait-reasons.ts";
import { fleetConfig, jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { VirtualClock } from "../../fakes/virtual-clock.ts";

/** No queue of these tests uses the placement advisor. */
const NO_TICKETS = Object.create(null) as PlacementTicketCache;
const LABELS = ["", "big", "fast"] as const;
const RACKS = ["", "r0", "r1"] as const;

const servers = fc.array(
  fc.record({
    // Few values, so that many servers are equally good and the order among them decides.
    cpuMillis: fc.constantFrom(2000, 4000, 4000, 8000),
    memoryMb: fc.constantFrom(3000, 8000, 8000),
    ...{ label: fc.constantFrom(...LABELS), rack: fc.constantFrom("r0", "r1") },
    failures: fc.oneof({ weight: 3, arbitrary: fc.constant(0) }, fc.nat({ max: 4 })),
    ratio: fc.constantFrom(1, 1, 1, 12),
    coldness: fc.constantFrom(0, 0, 0, 0.5, 1),
    maintenancePending: fc.boolean(),
    draining: fc.integer({ min: 0, max: 9 }).map((value) => value === 0),
  }),
  { minLength: 1, maxLength: 20 },
);
const oneIn = (count: number) => fc.nat({ max: count - 1 }).map((value) => value === 0);
const steps = fc.array(
  fc.record({
    ...{ tasks: fc.integer({ min: 1, max: 6 }), gang: oneIn(4), sameRack: oneIn(4) },
    ...{ longRunning: oneIn(5), filler: oneIn(5), requiredLabel: fc.constantFrom(...LABELS) },
    ...{ dataRack: fc.constantFrom("", "", ...RACKS), maxPerServer: fc.nat({ max: 2 }) },
    demand: fc.record({
      cpuMillis: fc.constantFrom(500, 1000, 1000, 2000),
      memoryMb: fc.constantFrom(400, 1000, 2000),
      accelerators: fc.constant(0),
    }),
    ...{ failedOn: fc.option(fc.nat({ max: 19 }), { nil: undefined }), organisation: oneIn(2) },
  }),
  { minLength: 1, maxLength: 15 },
);
type ServerCase = (typeof servers extends fc.Arbitrary<infer T> ? T : never)[number];
type StepCase = (typeof steps extends fc.Arbitrary<infer T> ? T : never)[number];

function driverOf(server: ServerCase, index: number): ServerDriver {
  const { cpuMillis, memoryMb, label, rack, failures, ratio, draining } = server;
  const [health, speed] = [new ServerHealth(), new ServerSpeed()];
  for (let count = 0; count < failures; count++) health.failed(`job${count}`, -100_000);
  speed.observe(ratio, -100_000 * (index % 2));
  const registration = {
    ...{ id: `s${index}`, pool: "pool", rack, zone: "z", labels: label === "" ? [] : [label] },
    ...{ capacity: { cpuMillis, memoryMb, accelerators: 0 }, draining, bootedAt: 1, address: "" },
  };
  return {
    ...{ id: registration.id, registration, health, speed, adopted: true, absent: false },
    ...{ reserved: false, reachable: true, closed: false, notBefore: 0, bootedAt: 1 },
    ...{ maintenancePending: server.maintenancePending, coldness: server.coldness },
    ...{ acceptsTasks: () => !draining, awaitsFirstPoll: () => false },
    isSurplus: () => false,
  } as unknown as ServerDriver;
}

function jobOf({ failedOn, organisation, ...spec }: StepCase, index: number): Job {
  const job = new Job({
    ...jobRequest(step({ ...spec, gang: spec.gang && !spec.longRunning })),
    ...{ id: `j${index}`, queue: "queue", pool: "pool", acceptedAtMs: 0 },
    organisation: organisation ? "org" : undefined,
  });
  for (const task of job.tasks()) if (failedOn !== undefined) task.failedOn.add(`s${failedOn}`);
  // Steps that have waited long enough also use degraded servers.
  if (index % 2 === 0) for (const ready of job.readySteps()) ready.readyAt = -10_000;
  return job;
}

/** Places all jobs in two rounds, with a run in three ended between them. */
function placements(
  serverCases: readonly ServerCase[],
  stepCases: readonly StepCase[],
  indexAfterChoices: number,
): readonly string[] {
  const clock = new VirtualClock();
  const log = { debug: noop, info: noop, warn: noop, error: noop };
  const config = new FleetConfigView(clock, log);
  const cap = { cpuMillis: 6000, memoryMb: 0, accelerators: 0 };
  const organisations = [{ name: "org", keys: [], weight: 1, cap }];
  config.configured(fleetConfig({ organisations }));
  const drivers = serverCases.map(driverOf);
  const jobs = stepCases.map(jobOf);
  const runRegistry = new RunRegistry();
  const placed: string[] = [];
  for (let count = 0; count < 2; count++) {
    const durations = new DurationModels();
    const round = new PlacementRound({
      ...{ clock, config, runRegistry, durations, indexAfterChoices },
      ...{ planner: new StepPlanner(durations), retries: new RetryBudgets() },
      reasons: new WaitReasons(noop),
      ...{ driversOf: () => drivers, ticketCache: NO_TICKETS, expectedCores: () => 0 },
      mayStart: () => true,
      place: (task, { id, bootedAt }) => {
        task.run++;
        task.placement = { server: id, bootedAt, leaseAsGranted: false };
        const assigned = { server: id, bootedAt, rack: undefined, phase: "running" as const };
        const run = newRun(task, { ...assigned, since: 0 });
        runRegistry.add(run);
        return run;
      },
      undoPlacement: (run) => {
        runRegistry.remove(run);
        run.task.run--;
        run.task.placement = undefined;
      },
    });
    for (const runs of round.run(jobs).values())
      for (const { task, run, server } of runs) placed.push(`${task.name}#${run}@${server}`);
    for (const [index, run] of [...runRegistry.all()].entries()) {
      if (index % 3 > 0) continue;
      runRegistry.remove(run);
      run.task.placement = undefined;
    }
  }
  return placed;
}

function noop(): void {
  // Discards log lines.
}

test("the index on free capacity places every task where a scan of all servers places it", () => {
  let total = 0;
  fc.assert(
    fc.property(servers, steps, (serverCases, stepCases) => {
      const scanned = placements(serverCases, stepCases, Infinity);
      assert.equal(placements(serverCases, stepCases, 0), scanned);
      assert.equal(placements(serverCases, stepCases, 3), scanned);
      total += scanned.length;
    }),
    { seed: 1, numRuns: 400 },
  );
  assert.ok(total > 1000, `only ${total} tasks were placed`);
});

test.run();
