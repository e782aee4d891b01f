import { Err, Ok } from "ts-results";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { LockTenure } from "../../../src/coordination/jobs/election/scheduler-lock.ts";
import type {
  ReservationReason,
  ServerDriver,
} from "../../../src/coordination/jobs/execution/server-driver.ts";
import {
  PoolSizer,
  type PoolSizerOptions,
} from "../../../src/coordination/jobs/fleet/pool-sizer.ts";
import type { ControlError, ControlledInstance } from "../../../src/ports/instance-control.ts";
import { RunRegistry } from "../../../src/state/jobs/execution/run-registry.ts";
import { DurationModels } from "../../../src/state/jobs/scheduling/duration-model.ts";
import { EventCounts } from "../../fakes/event-counts.ts";
import { advanceWithLock, silentLog, unrestrictedOrders } from "../../fakes/jobs/control-fakes.ts";
import { cpu, fleetConfig } from "../../fakes/jobs/job-builders.ts";
import { VirtualClock } from "../../fakes/virtual-clock.ts";

/** Time in ms within which an instance must be usable again after a move that got no reply. */
const USABLE_AGAIN_MS = 5000;
const CALL_TIMEOUT_MS = 2000;
const STEP_MS = 100;

/** A pool sizer for a pool of four idle instances, of which one is needed. */
function poolOfFour() {
  const clock = new VirtualClock();
  const tenure = new LockTenure(clock, 1, 1, { now: clock.now(), wallTime: clock.wallTime() });
  const counts = new EventCounts();
  const instances = new Map<string, ControlledInstance>();
  const drivers = new Map<string, FakeDriver>();
  for (const index of [0, 1, 2, 3]) {
    const server = `s${index}`;
    const instance = { name: `m${index}`, pool: "pool", state: "up", zone: "z", labels: [] };
    instances.set(instance.name, { ...instance, state: "up", capacity: cpu(8000), server });
    drivers.set(server, new FakeDriver(server));
  }
  const platform = { silent: false, listsFail: false };
  const ordered: string[] = [];
  const move = async ({ instance }: { instance: string }, pool: string) => {
    ordered.push(instance);
    if (platform.silent) {
      await clock.sleep(CALL_TIMEOUT_MS);
      return Err<ControlError>({ kind: "unknown", detail: "no reply" });
    }
    instances.set(instance, { ...instances.get(instance)!, pool, server: undefined });
    return Ok(undefined);
  };
  const options = {
    ...{ clock, tenure, holder: "e", counters: counts },
    log: silentLog(),
    config: {
      current: fleetConfig({
        pools: [
          { name: "pool", admissionCheck: false, spare: false },
          { name: "rest", admissionCheck: false, spare: true },
        ],
      }),
      isEvacuated: () => false,
    },
    instances: { move },
    view: {
      read: () => Promise.resolve(platform.listsFail ? undefined : [...instances.values()]),
    },
    scheduler: {
      ready: true,
      jobRegistry: { openJobs: [] },
      durations: new DurationModels(),
      drivers: {
        get: (server: string) => drivers.get(server),
        all: () => drivers.values(),
      },
      tracker: {
        runRegistry: new RunRegistry(),
        hasRuns: () => false,
        serverGone: (driver: ServerDriver) => drivers.delete(driver.id),
      },
    },
    orders: unrestrictedOrders(),
  } as unknown as PoolSizerOptions;
  const advance = (ms: number): Promise<void> => advanceWithLock(clock, tenure, ms);
  void new PoolSizer(options).run();
  const usable = (): readonly string[] =>
    [...instances.values()].flatMap(({ name, pool, server = "" }) =>
      pool === "pool" && drivers.get(server)?.reserved === false ? [name] : [],
    );
  return { ...{ clock, tenure, platform, ordered, counts }, ...{ usable, advance } };
}

class FakeDriver {
  readonly adopted = true;
  readonly reachable = true;
  readonly id: string;
  readonly registration = { zone: "z" };
  readonly #reasons = new Set<ReservationReason>();

  constructor(id: string) {
    this.id = id;
  }

  get reserved(): boolean {
    return this.#reasons.size > 0;
  }

  hasReservation(reason: ReservationReason): boolean {
    return this.#reasons.has(reason);
  }

  reserve(reason: ReservationReason): void {
    this.#reasons.add(reason);
  }

  release(reason: ReservationReason): void {
    this.#reasons.delete(reason);
  }
}

// Guards against work that waits for good beside idle instances whose moves got no reply (LOST): the
// reservation for the move outlived the move, while the instance counted towards its pool.
test("an instance whose move got no reply is used or moved again", async () => {
  const { tenure, platform, ordered, usable, advance } = poolOfFour();
  platform.silent = true;
  while (ordered.length === 0) await advance(STEP_MS);
  await advance(CALL_TIMEOUT_MS);
  platform.silent = false;
  await advance(USABLE_AGAIN_MS);
  assert.is(usable().length, 1, "the pool keeps an instance that accepts tasks");
  tenure.end();
});

// Guards against a pool that is short of instances between two plans: instances were chosen to drain
// and others to move, each for the whole surplus.
test("a pool keeps an instance that accepts tasks at every time of an outage", async () => {
  const { clock, tenure, platform, usable, advance } = poolOfFour();
  platform.silent = true;
  const end = clock.now() + 20_000;
  while (clock.now() < end) {
    await advance(STEP_MS);
    assert.ok(usable().length >= 1, `at ${clock.now()}`);
  }
  tenure.end();
});

test("moves that got no reply are counted", async () => {
  const { tenure, platform, ordered, counts, advance } = poolOfFour();
  platform.silent = true;
  while (ordered.length === 0) await advance(STEP_MS);
  await advance(CALL_TIMEOUT_MS + STEP_MS);
  assert.is(counts.count("instance_move_unanswered"), 3);
  tenure.end();
});

// Guards against a pool that drained down to the work of a calm moment, and stayed drained while no
// instance could be moved because the instances could not be listed.
test("drained instances accept tasks again while the instances can't be listed", async () => {
  const { tenure, platform, usable, advance } = poolOfFour();
  await advance(STEP_MS * 3);
  assert.is(usable().length, 1, "the surplus drains");
  platform.listsFail = true;
  await advance(1000);
  assert.is(usable().length, 4);
  tenure.end();
});

test.run();
