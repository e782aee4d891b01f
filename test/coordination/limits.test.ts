import { test } from "uvu";
import * as assert from "uvu/assert";
import { Cluster } from "../fakes/limits-cluster.ts";
import { TEAM } from "../fakes/limits-ports.ts";

// Guards against two entries raising their budgets from the same remainder, and against budget
// that is never released to the entries that need it.
test("the entries together reach the limit and never exceed it", async () => {
  const cluster = new Cluster({ limit: 7, servers: 6 });
  const entries = ["e1", "e2", "e3", "e4", "e5"].map((name) => cluster.addEntry(name));
  await cluster.clock.until(() => entries.every((one) => one.leases.list().length > 0), 30_000);
  for (const entry of entries) void entry.generateLoad(4);
  await cluster.clock.advance(30_000);
  assert.is(cluster.peakRunning, 7);
  assert.is(cluster.duplicateStarts, 0);
  assert.ok(cluster.started > 300, `${cluster.started} tasks started`);
});

// Guards against starts above a lowered limit, and against budgets that stay capped after the limit
// is raised again.
test("a lowered limit prevents starts above it, and a raised limit is reached", async () => {
  const cluster = new Cluster({ limit: 12, servers: 4 });
  const entries = ["e1", "e2", "e3"].map((name) => cluster.addEntry(name));
  await cluster.clock.until(() => entries.every((one) => one.leases.list().length > 0), 30_000);
  for (const entry of entries) void entry.generateLoad(6);
  for (const limit of [4, 9, 1, 0, 12, 5, 3, 12]) {
    cluster.config.setLimit(limit);
    await cluster.clock.advance(1000);
    cluster.startsOverLimit = 0;
    await cluster.clock.advance(6000);
    cluster.peakRunning = cluster.running;
    await cluster.clock.advance(6000);
    assert.is(cluster.startsOverLimit, 0);
    assert.is(cluster.peakRunning, limit);
  }
});

// Guards against an idle team without budget, which could not be raised in a platform outage.
test("the last holder of an idle team's budget keeps some, and another entry can still reach the limit", async () => {
  const cluster = new Cluster({ limit: 4, servers: 4 });
  const entries = ["e1", "e2", "e3"].map((name) => cluster.addEntry(name));
  await cluster.clock.until(() => entries.every((one) => one.leases.list().length > 0), 30_000);
  for (const entry of entries) entry.budgets.setDemand(TEAM, 1);
  await cluster.clock.advance(5000);
  for (const entry of entries) entry.budgets.setDemand(TEAM, 0);
  await cluster.clock.advance(10_000);
  const rows = (await cluster.ledger()).flatMap((team) => team.rows);
  assert.is(
    rows.reduce((sum, row) => sum + row.budget, 0),
    1,
  );
  const other = entries.find(({ budgets }) => budgets.availableBudget(TEAM) === 0)!;
  other.budgets.setDemand(TEAM, 4);
  await cluster.clock.until(() => other.budgets.availableBudget(TEAM) === 4, 5000);
  assert.is(other.budgets.availableBudget(TEAM), 4);
});

// Guards against an entry without servers that keeps budget which no peer can see.
test("an entry that lost its servers keeps no budget of an idle team", async () => {
  const cluster = new Cluster({ limit: 1, servers: 4 });
  const entry = cluster.addEntry("e1");
  await cluster.clock.until(() => entry.leases.list().length > 0, 30_000);
  entry.budgets.setDemand(TEAM, 1);
  await cluster.clock.until(() => entry.budgets.availableBudget(TEAM) === 1, 5000);
  entry.budgets.setDemand(TEAM, 0);
  await cluster.changeFleet((server) => ({ ...server, zone: "b" }));
  await cluster.clock.advance(20_000);
  assert.equal(entry.leases.list(), []);
  assert.equal(
    (await cluster.ledger()).flatMap((team) => team.rows),
    [],
  );
});

test.run();
