import { Ok } from "ts-results";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  MaintenanceRunner,
  type MaintenanceRunnerOptions,
} from "../../../src/coordination/jobs/fleet/maintenance-runner.ts";
import { LockTenure } from "../../../src/coordination/jobs/election/scheduler-lock.ts";
import { MemoryRecordStore } from "../../../src/stand-ins/memory-record-store.ts";
import { RunRegistry } from "../../../src/state/jobs/execution/run-registry.ts";
import { NO_RESOURCES } from "../../../src/state/jobs/scheduling/resources.ts";
import { advanceWithLock, silentLog, unrestrictedOrders } from "../../fakes/jobs/control-fakes.ts";
import { VirtualClock } from "../../fakes/virtual-clock.ts";

const PAUSE_MS = 3000;
const INSTANCE = {
  ...{ name: "m", pool: "pool", state: "up", zone: "z", labels: [] },
  ...{ capacity: NO_RESOURCES, server: "s" },
} as const;

function noop(): undefined {
  return undefined;
}

/** Creates a runner with a wave of one instance, and records the times of its orders. */
function createRunner() {
  const clock = new VirtualClock();
  const tenure = new LockTenure(clock, 1, 1, { now: clock.now(), wallTime: clock.wallTime() });
  const orderedAt: number[] = [];
  const options = {
    ...{ clock, tenure, holder: "e", takeoverPauseMs: PAUSE_MS },
    log: silentLog(),
    store: new MemoryRecordStore(clock).client(),
    config: { waves: [{ wave: 1, instances: ["m"], durationMs: 20_000, maxAtOnce: 1 }] },
    operators: { reportWave: () => Promise.resolve(true) },
    view: { read: () => Promise.resolve([INSTANCE]) },
    scheduler: {
      ...{ drivers: { get: noop }, tracker: { runRegistry: new RunRegistry() } },
      ...{ jobRegistry: { openJobs: [] }, ready: true },
    },
    orders: unrestrictedOrders(),
    instances: {
      maintain: () => {
        orderedAt.push(clock.now());
        return Promise.resolve(Ok(undefined));
      },
    },
  } as unknown as MaintenanceRunnerOptions;
  return { clock, tenure, orderedAt, runner: new MaintenanceRunner(options) };
}

// Guards against spending an availability budget twice after a takeover: once for an order of the
// previous scheduler that the lists don't show yet, and again for an order of the new one.
test("a new scheduler orders no maintenance during the pause after a takeover", async () => {
  const { clock, tenure, orderedAt, runner: subject } = createRunner();
  const begunAt = clock.now();
  void subject.run();
  await advanceWithLock(clock, tenure, PAUSE_MS + 1500);
  tenure.end();
  assert.is(orderedAt.length, 1);
  assert.ok(orderedAt[0]! - begunAt >= PAUSE_MS);
});

test.run();
