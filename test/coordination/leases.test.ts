import { test } from "uvu";
import * as assert from "uvu/assert";
import { Cluster } from "../fakes/limits-cluster.ts";
import { TEAM } from "../fakes/limits-ports.ts";
import { onClock } from "../fakes/virtual-clock.ts";

// Guards against a server driven by two entries after its holder was paused past the lease.
test("a lapsed lease cannot be renewed and its former holder starts nothing", async () => {
  const cluster = new Cluster({ servers: 1 });
  const server = cluster.servers.get("a0")!;
  const old = (await server.acquireLease("other", 1000)).unwrap();
  await cluster.clock.advance(1001);
  assert.is((await server.renewLease(old.leaseId, 1000)).ok, false);
  const e1 = cluster.add("e1");
  await cluster.clock.until(() => e1.leases.list().some((one) => one.dispatchable));
  assert.is((await server.renewLease(old.leaseId, 1000)).ok, false);
  e1.budgets.setDemand(TEAM, 1);
  await cluster.clock.until(() => e1.budgets.room(TEAM) > 0);
  e1.backendLink.down = true;
  await cluster.clock.advance(4000);
  assert.is(e1.leases.list().length, 0);
  assert.is(await onClock(cluster.clock, e1.runOne()), "declined");
});

// Guards against an attempt that is taken for never started and still starts from a late message.
test("a start without a reply is resolved, and cannot take effect afterwards", async () => {
  const cluster = new Cluster({ servers: 1, seed: 3 });
  const e1 = cluster.add("e1");
  await cluster.clock.until(() => e1.leases.list().some((one) => one.dispatchable));
  e1.budgets.setDemand(TEAM, 2);
  await cluster.clock.until(() => e1.budgets.room(TEAM) >= 2);
  e1.backendLink.delayed = 1;
  assert.is(await onClock(cluster.clock, e1.runOne()), "ambiguous");
  e1.backendLink.delayed = 0;
  await cluster.clock.until(
    () => e1.leases.status("a0", { requestId: "e1-1", attempt: 1 }) === "never-started",
    5000,
  );
  assert.is(e1.budgets.running(TEAM), 0);
  await cluster.clock.advance(15_000);
  assert.is(cluster.started, 0);
});

// Guards against `empty` while a task runs, and against dispatch to a server that is draining.
test("the holder reports a drained server as empty only once nothing runs on it", async () => {
  const cluster = new Cluster({ servers: 1, runMs: () => 5000 });
  const e1 = cluster.add("e1");
  await cluster.clock.until(() => e1.leases.list().some((one) => one.dispatchable));
  e1.budgets.setDemand(TEAM, 1);
  await cluster.clock.until(() => e1.budgets.room(TEAM) > 0);
  assert.is(await onClock(cluster.clock, e1.runOne()), "started");
  await cluster.changeFleet((server) => ({ ...server, state: "draining" }));
  await cluster.clock.advance(2000);
  assert.is(e1.leases.list()[0]?.dispatchable, false);
  assert.is((await cluster.fleetRecord("a0")).state, "draining");
  await cluster.clock.advance(5000);
  assert.is((await cluster.fleetRecord("a0")).state, "empty");
  await cluster.changeFleet((server) => ({ ...server, state: "serving" }));
  await cluster.clock.until(() => e1.leases.list()[0]?.dispatchable === true, 5000);
});

// Guards against a charge that stays after another holder saw the task end, and against a graceful
// shutdown that strands budget, servers or home slots.
test("an entry that shuts down hands over its servers, slots and budget", async () => {
  const cluster = new Cluster({ servers: 3, runMs: () => 8000 });
  const [e1, e2] = [cluster.add("e1"), cluster.add("e2")];
  await cluster.clock.until(() => [e1, e2].every((one) => one.leases.list().length > 0));
  await cluster.clock.advance(5000);
  e1.budgets.setDemand(TEAM, 1);
  await cluster.clock.until(() => e1.budgets.room(TEAM) > 0);
  assert.is(await onClock(cluster.clock, e1.runOne()), "started");
  e1.stopping = true;
  await cluster.clock.advance(500);
  await onClock(cluster.clock, e1.leases.shutdown());
  assert.ok(await onClock(cluster.clock, e1.budgets.retireSelf()));
  await onClock(cluster.clock, e1.homes.leave());
  await cluster.clock.until(() => e2.leases.list().length === 3, 5000);
  assert.ok((await cluster.homes()).slots.every((slot) => slot.incarnation === "e2"));
  assert.ok((await cluster.homes()).slots.every((slot) => slot.takeoverAt === 0));
  await cluster.clock.advance(30_000);
  const rows = (await cluster.ledger()).flatMap((team) => team.rows);
  assert.equal(
    rows.filter((row) => row.incarnation === "e1"),
    [],
  );
});

test.run();
