import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ConfigView } from "../../src/coordination/ports.ts";
import { ShareMonitor } from "../../src/coordination/share-monitor.ts";
import type { TeamLoad } from "../../src/protocol/peer-messages.ts";
import { exampleConfig } from "../fakes/planned-fleet.ts";
import { VirtualClock } from "../fakes/virtual-clock.ts";
import {
  BufferMeter,
  ClosenessMeter,
  entitlements,
  RolloutMeter,
  type TeamSample,
} from "../../src/state/measures.ts";

function team(name: string, running: number, queued: number, share: number): TeamSample {
  return { team: name, running, queued, share, upperLimit: 100 };
}

// Guards against a measure that counts unused share against a team without demand for it.
test("entitlements follow weights, and a share without demand goes to other teams", () => {
  const entitled = entitlements([team("a", 20, 50, 1), team("b", 20, 50, 1), team("c", 20, 0, 4)]);
  assert.equal([...entitled.values()], [20, 20, 20]);
  const limited = entitlements([{ ...team("a", 10, 50, 3), upperLimit: 10 }, team("b", 30, 50, 1)]);
  assert.equal([...limited.values()], [10, 30]);
});

// Guards against a closeness that hides short periods of unfairness or counts an idle fleet.
test("closeness is 1 at the shares, lower away from them, and ignores times without a queue", () => {
  const meter = new ClosenessMeter({ windowMs: 1000 });
  meter.record(0, [team("a", 5, 0, 1), team("b", 35, 0, 1)]);
  meter.record(1000, [team("a", 20, 9, 1), team("b", 20, 9, 1)]);
  assert.is(meter.summary(), undefined);
  meter.record(2000, [team("a", 10, 30, 1), team("b", 30, 30, 1)]);
  assert.is(meter.summary()?.mean, 1);
  meter.record(3000, []);
  assert.equal(meter.summary(), { windowMs: 1000, windows: 2, mean: 0.875, lowest: 0.75 });
});

// Guards against counting a team per entry instance instead of over the whole fleet.
test("the share monitor adds up the loads of all entry instances", async () => {
  const clock = new VirtualClock();
  const [first, second] = exampleConfig().teams;
  const teams = [
    { ...first!, share: 1 },
    { ...second!, share: 3 },
  ];
  const load = (name: string, running: number): TeamLoad => ({
    ...{ team: name, running, budget: running, queued: 5 },
  });
  const monitor = new ShareMonitor({
    clock,
    config: { current: () => exampleConfig({ teams }) } as unknown as ConfigView,
    loads: () => [load(first!.name, 10), load(second!.name, 10), load(second!.name, 20)],
  });
  monitor.start();
  await clock.advance(11_000);
  monitor.stop();
  assert.equal(
    monitor.summary().map(({ windowMs, mean }) => ({ windowMs, mean })),
    [
      { windowMs: 1000, mean: 1 },
      { windowMs: 10_000, mean: 1 },
    ],
  );
});

// Guards against buffer cost in the wrong unit, and a roll-out that ends while servers are still due.
test("buffer cost is in instance-hours and roll-out time ends when nothing is due", () => {
  const buffer = new BufferMeter();
  buffer.record(0, 4);
  buffer.record(1_800_000, 2);
  buffer.record(3_600_000, 2);
  assert.is(buffer.instanceHours, 3);
  const rollout = new RolloutMeter();
  rollout.record(0, { open: 5, inWave: 0 });
  rollout.record(1000, { open: 5, inWave: 2 });
  rollout.record(9000, { open: 1, inWave: 0 });
  assert.is(rollout.lastMs, undefined);
  rollout.record(11_000, { open: 0, inWave: 0 });
  assert.is(rollout.lastMs, 10_000);
});

test.run();
