import { Err } from "ts-results";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { LockTenure } from "../../../src/coordination/jobs/election/scheduler-lock.ts";
import {
  MaintenanceRunner,
  type MaintenanceRunnerOptions,
} from "../../../src/coordination/jobs/fleet/maintenance-runner.ts";
import type { ControlError } from "../../../src/ports/instance-control.ts";
import { MemoryRecordStore } from "../../../src/stand-ins/memory-record-store.ts";
import { RunRegistry } from "../../../src/state/jobs/execution/run-registry.ts";
import { NO_RESOURCES } from "../../../src/state/jobs/scheduling/resources.ts";
import { advanceWithLock, silentLog, unrestrictedOrders } from "../../fakes/jobs/control-fakes.ts";
import { VirtualClock } from "../../fakes/virtual-clock.ts";

/** A runner with a wave of one instance, whose maintenance is answered with the given error. */
function runnerWithRefusal(error: ControlError) {
  const clock = new VirtualClock();
  const tenure = new LockTenure(clock, 1, 1, { now: clock.now(), wallTime: clock.wallTime() });
  const reservations = new Set<string>();
  const driver = {
    maintenancePending: false,
    reserve: (reason: string) => reservations.add(reason),
    release: (reason: string) => reservations.delete(reason),
  };
  const instance = {
    ...{ name: "m", pool: "pool", state: "up", zone: "z", labels: [] },
    ...{ capacity: NO_RESOURCES, server: "s" },
  };
  let orders = 0;
  const options = {
    ...{ clock, tenure, holder: "e", takeoverPauseMs: 0 },
    log: silentLog(),
    store: new MemoryRecordStore(clock).client(),
    config: { waves: [{ wave: 1, instances: ["m"], durationMs: 20_000, maxAtOnce: 1 }] },
    operators: { reportWave: () => Promise.resolve(true) },
    view: { read: () => Promise.resolve([instance]) },
    scheduler: {
      ...{ drivers: { get: () => driver }, tracker: { runRegistry: new RunRegistry() } },
      ...{ jobRegistry: { openJobs: [] }, ready: true },
    },
    orders: unrestrictedOrders(),
    instances: {
      maintain: () => {
        orders++;
        return Promise.resolve(Err(error));
      },
    },
  } as unknown as MaintenanceRunnerOptions;
  const advance = (ms: number): Promise<void> => advanceWithLock(clock, tenure, ms);
  void new MaintenanceRunner(options).run();
  return { tenure, reservations, driver, advance, orders: () => orders };
}

// Guards against an idle instance that takes no tasks for good, since its maintenance was refused for
// good and nothing ended the reservation for it (LOST).
for (const error of [{ kind: "not-in-wave" }, { kind: "invalid", detail: "status 400" }] as const) {
  test(`an instance whose maintenance is refused as ${error.kind} takes tasks again`, async () => {
    const { tenure, reservations, driver, advance, orders } = runnerWithRefusal(error);
    await advance(2000);
    assert.is(orders(), 1);
    assert.equal([...reservations], []);
    assert.is(driver.maintenancePending, false);
    tenure.end();
  });
}

test("an instance whose maintenance got no reply stays reserved, and the order is repeated", async () => {
  const { tenure, reservations, advance, orders } = runnerWithRefusal({
    ...{ kind: "unknown", detail: "no reply" },
  });
  await advance(2000);
  assert.ok(orders() > 1);
  assert.equal([...reservations], ["maintenance"]);
  tenure.end();
});

test.run();
