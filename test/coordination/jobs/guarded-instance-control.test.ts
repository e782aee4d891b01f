import { Ok } from "ts-results";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { MetricCounters } from "../../../src/coordination/counters.ts";
import { GuardedInstanceControl } from "../../../src/coordination/jobs/fleet/guarded-instance-control.ts";
import { LockTenure } from "../../../src/coordination/jobs/election/scheduler-lock.ts";
import { InstanceControl, type ControlOrder } from "../../../src/ports/instance-control.ts";
import { VirtualClock } from "../../fakes/virtual-clock.ts";

/** Response time of the slow platform for one order, in milliseconds. */
const RESPONSE_MS = 600;

/** Responds to each order after a delay and records when it was sent. */
class SlowControl extends InstanceControl {
  readonly sentAt: number[] = [];
  readonly #clock: VirtualClock;

  constructor(clock: VirtualClock) {
    super();
    this.#clock = clock;
  }

  list() {
    return Promise.resolve(Ok([]));
  }

  async move(_order: ControlOrder, _pool: string) {
    this.sentAt.push(this.#clock.now());
    await this.#clock.sleep(RESPONSE_MS);
    return Ok(undefined);
  }

  maintain(order: ControlOrder, wave: number) {
    return this.move(order, String(wave));
  }
}

function createGuardedControl() {
  const clock = new VirtualClock();
  const grantedAt = { now: clock.now(), wallTime: clock.wallTime() };
  const tenure = new LockTenure(clock, 1, 1, grantedAt);
  const control = new SlowControl(clock);
  const counters = new MetricCounters();
  return {
    ...{ clock, tenure, control },
    instances: new GuardedInstanceControl({ instances: control, tenure, counters }),
  };
}

test("orders queued while the platform is slow are not sent once the lock may have expired", async () => {
  const { clock, tenure, control, instances } = createGuardedControl();
  const orders = Array.from({ length: 40 }, (_, index) =>
    instances.maintain({ instance: `m${index}`, holder: "e", token: 1 }, 1),
  );
  let validUntil = 0;
  for (let waited = 0; waited < 10_000; waited += 50) {
    if (tenure.valid) validUntil = clock.now();
    await clock.advance(50);
  }
  const results = await Promise.all(orders);
  assert.ok(control.sentAt.length > 0);
  assert.ok(Math.max(...control.sentAt) <= validUntil + 50);
  assert.is(results.filter((result) => result.ok).length, control.sentAt.length);
  assert.ok(control.sentAt.length < 40, "the remaining orders were not sent");
});

// Guards against a process that is paused, loses the lock, and then sends an order that was queued.
test("an order that is still queued when the tenure ends is not sent", async () => {
  const { clock, tenure, control, instances } = createGuardedControl();
  const order = { instance: "m", holder: "e", token: 1 };
  for (let index = 0; index < 4; index++) void instances.move(order, "a");
  const waiting = instances.move(order, "b");
  tenure.end();
  await clock.advance(5000);
  const result = await waiting;
  assert.is(result.err && result.val.kind, "unavailable");
  assert.is(control.sentAt.length, 4);
});

test.run();
