import { test } from "uvu";
import * as assert from "uvu/assert";
import { assertValidWrites, countServing } from "../fakes/fleet-checks.ts";
import {
  exampleConfig,
  exampleInstances,
  MAINTENANCE,
  PlannedFleet,
} from "../fakes/planned-fleet.ts";

const LOST_MS = 120_000;

/** Starts a wave that drains servers of rack r0, all of pool enrolment, and then loses `rack`. */
async function loseRackDuringWave(rack: string) {
  const fleet = new PlannedFleet();
  await fleet.seed();
  fleet.config.document = exampleConfig({ maintenance: MAINTENANCE });
  fleet.drainMs = 20_000;
  fleet.startLeaseHolders();
  const { planner } = fleet.addPlanner(1);
  await fleet.clock.advance(10_000);
  const draining = (await fleet.servers()).filter((server) => server.state === "draining");
  assert.equal(
    draining.map((server) => server.name),
    ["s00", "s01"],
  );
  const lost = exampleInstances().filter((instance) => instance.rack === rack);
  for (const { name } of lost) fleet.health.down.add(name);
  const lostAt = fleet.clock.wallTime();
  const drainsSince = (): readonly string[] =>
    planner
      .status()
      .decisions.filter(({ rule, at }) => rule === "maintenance" && at >= lostAt)
      .map(({ text }) => text);
  const repair = (): void => {
    for (const { name } of lost) fleet.health.down.delete(name);
  };
  return { fleet, planner, drainsSince, repair };
}

/** Asserts that a pool below its minimum of available servers has no live draining server. */
async function assertDrainsReturned(fleet: PlannedFleet): Promise<void> {
  const live = (await fleet.servers()).filter(({ name }) => fleet.health.isLive(name));
  for (const pool of exampleConfig().pools) {
    const drains = live.filter((s) => s.pool === pool.name && s.state === "draining");
    assert.ok(drains.length === 0 || countServing(live, pool.name) >= pool.minAvailable, pool.name);
  }
}

for (const [rack, name, expectedReturns, where] of [
  ["r0", "andina-a/r0", 0, "the wave's own rack"],
  ["r1", "andina-b/r1", 2, "a rack of the same pool in another zone"],
  ["r3", "andina-a/r3", 0, "a rack of other pools in the same zone"],
] as const) {
  // Guards against a wave that continues while a rack is lost, or does not resume after its repair.
  test(`a wave pauses while ${where} is lost and ends after the repair`, async () => {
    const { fleet, planner, drainsSince, repair } = await loseRackDuringWave(rack);
    // Two planner rounds, since the first may use health data from just before the loss.
    await fleet.clock.advance(2000);
    await assertDrainsReturned(fleet);
    const returns = planner.status().decisions.filter(({ rule }) => rule === "return-drain");
    assert.is(returns.length, expectedReturns);
    await fleet.clock.advance(LOST_MS - 2000);
    await assertDrainsReturned(fleet);
    assert.equal(drainsSince(), []);
    const reasons = planner.status().withheld.map(({ text }) => text);
    assert.ok(
      reasons.includes(`the wave is paused because of failures in rack ${name}`),
      reasons.join("\n"),
    );
    repair();
    await fleet.clock.until(() => planner.status().rolloutMs !== undefined, 1_800_000, 1000);
    assert.is(new Set(fleet.rebootOrders.map((server) => server.name)).size, 35);
    await fleet.clock.advance(60_000);
    const servers = await fleet.servers();
    for (const pool of exampleConfig().pools)
      assert.is(countServing(servers, pool.name), pool.targetSize, pool.name);
    assertValidWrites(fleet.kv.fleets);
  });
}

test.run();
