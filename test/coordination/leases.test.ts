import { test } from "uvu";
import * as assert from "uvu/assert";
import { Cluster } from "../fakes/limits-cluster.ts";
import { TEAM } from "../fakes/limits-ports.ts";
import { advanceUntilSettled } from "../fakes/virtual-clock.ts";

// Guards against two entries using one server after its holder was paused past the lease.
test("an expired lease cannot be renewed, and an entry whose leases expired starts nothing", async () => {
  const cluster = new Cluster({ servers: 1 });
  const server = cluster.servers.get("a0")!;
  const old = (await server.acquireLease("other", 1000)).unwrap();
  await cluster.clock.advance(1001);
  assert.is((await server.renewLease(old.leaseId, 1000)).ok, false);
  const e1 = cluster.addEntry("e1");
  await cluster.clock.until(() => e1.leases.list().some((one) => one.dispatchable));
  assert.is((await server.renewLease(old.leaseId, 1000)).ok, false);
  e1.budgets.setDemand(TEAM, 1);
  await cluster.clock.until(() => e1.budgets.availableBudget(TEAM) > 0);
  e1.backendLink.down = true;
  await cluster.clock.advance(4000);
  assert.is(e1.leases.list().length, 0);
  assert.is(await advanceUntilSettled(cluster.clock, e1.runOne()), "declined");
});

// Guards against an attempt that is reported as never started and then started by a late message.
test("a start without a reply is resolved and cannot take effect afterwards", async () => {
  const cluster = new Cluster({ servers: 1, seed: 3 });
  const e1 = cluster.addEntry("e1");
  await cluster.clock.until(() => e1.leases.list().some((one) => one.dispatchable));
  e1.budgets.setDemand(TEAM, 2);
  await cluster.clock.until(() => e1.budgets.availableBudget(TEAM) >= 2);
  e1.backendLink.delayProbability = 1;
  assert.is(await advanceUntilSettled(cluster.clock, e1.runOne()), "ambiguous");
  e1.backendLink.delayProbability = 0;
  await cluster.clock.until(
    () => e1.leases.status("a0", { requestId: "e1-1", attempt: 1 }) === "never-started",
    5000,
  );
  assert.is(e1.budgets.running(TEAM), 0);
  await cluster.clock.advance(15_000);
  assert.is(cluster.started, 0);
});

// Guards against reporting `empty` while a task runs, and against dispatch to a draining server.
test("the holder reports a drained server as empty only once nothing runs on it", async () => {
  const cluster = new Cluster({ servers: 1, runMs: () => 5000 });
  const e1 = cluster.addEntry("e1");
  await cluster.clock.until(() => e1.leases.list().some((one) => one.dispatchable));
  e1.budgets.setDemand(TEAM, 1);
  await cluster.clock.until(() => e1.budgets.availableBudget(TEAM) > 0);
  assert.is(await advanceUntilSettled(cluster.clock, e1.runOne()), "started");
  await cluster.changeFleet((server) => ({ ...server, state: "draining" }));
  await cluster.clock.advance(2000);
  assert.is(e1.leases.list()[0]?.dispatchable, false);
  assert.is((await cluster.fleetRecord("a0")).state, "draining");
  await cluster.clock.advance(5000);
  assert.is((await cluster.fleetRecord("a0")).state, "empty");
  await cluster.changeFleet((server) => ({ ...server, state: "serving" }));
  await cluster.clock.until(() => e1.leases.list()[0]?.dispatchable === true, 5000);
});

// Guards against a charge that remains after another holder saw the task end, and against a
// graceful shutdown that leaves budget, servers or hash slots with the stopped entry.
test("an entry that shuts down hands over its servers, slots and budget", async () => {
  const cluster = new Cluster({ servers: 3, runMs: () => 8000 });
  const [e1, e2] = [cluster.addEntry("e1"), cluster.addEntry("e2")];
  await cluster.clock.until(() => [e1, e2].every((one) => one.leases.list().length > 0));
  await cluster.clock.advance(5000);
  e1.budgets.setDemand(TEAM, 1);
  await cluster.clock.until(() => e1.budgets.availableBudget(TEAM) > 0);
  assert.is(await advanceUntilSettled(cluster.clock, e1.runOne()), "started");
  e1.stopping = true;
  await cluster.clock.advance(500);
  await advanceUntilSettled(cluster.clock, e1.leases.shutdown());
  assert.ok(await advanceUntilSettled(cluster.clock, e1.budgets.retireSelf()));
  await advanceUntilSettled(cluster.clock, e1.slotOwnership.leave());
  await cluster.clock.until(() => e2.leases.list().length === 3, 5000);
  assert.ok((await cluster.slotOwnership()).slots.every((slot) => slot.incarnation === "e2"));
  assert.ok((await cluster.slotOwnership()).slots.every((slot) => slot.takeoverAt === 0));
  await cluster.clock.advance(30_000);
  const rows = (await cluster.ledger()).flatMap((team) => team.rows);
  assert.equal(
    rows.filter((row) => row.incarnation === "e1"),
    [],
  );
});

// Guards against a stopped incarnation, whose process still runs, that renews a lease forever
// because the lease was granted while it was stopping.
test("a lease granted during a shutdown is not kept", async () => {
  const cluster = new Cluster({ servers: 1 });
  const server = cluster.servers.get("a0")!;
  const e1 = cluster.addEntry("e1");
  let granted = 0;
  const acquire = server.acquireLease.bind(server);
  server.acquireLease = (holder, ttlMs) => {
    granted++;
    if (holder === "e1") void e1.leases.shutdown();
    return acquire(holder, ttlMs);
  };
  await cluster.clock.until(() => granted > 0);
  await cluster.clock.advance(500);
  assert.ok((await server.acquireLease("other", 1000)).ok);
});

// Guards against an entry that cannot reach the platform starting work on a drained and rebooted
// server, because it still has the fleet document from before the drain.
test("an entry acquires no server while a peer of its zone has a newer fleet document", async () => {
  const cluster = new Cluster({ servers: 4 });
  const entries = ["e1", "e2"].map((name) => cluster.addEntry(name));
  await cluster.clock.until(() => entries.every((one) => one.leases.list().length > 0), 30_000);
  await cluster.clock.advance(5000);
  const [holder, disconnected] = entries as [(typeof entries)[0], (typeof entries)[0]];
  const { name } = holder.leases.list()[0]!;
  disconnected.kvLink.down = true;
  await cluster.clock.advance(2000);
  await cluster.changeFleet((server) =>
    server.name === name ? { ...server, state: "draining" } : server,
  );
  await cluster.clock.advance(3000);
  assert.is((await cluster.fleetRecord(name)).state, "empty");
  holder.backendLink.down = true;
  cluster.server(name).restart();
  await cluster.clock.advance(20_000);
  assert.ok(disconnected.leases.list().length > 0);
  assert.not(disconnected.leases.list().some((server) => server.name === name));
  disconnected.kvLink.down = false;
  await cluster.clock.until(
    () => disconnected.leases.list().some((server) => server.name === name),
    20_000,
  );
});

// Guards against running work of its previous pool on a server that was drained and rebooted while
// the entry that acquires it could not read the fleet document.
test("a server acquired while the platform is unreachable gets no work before its record is read", async () => {
  const cluster = new Cluster({ servers: 6 });
  const [e1, e2] = [cluster.addEntry("e1"), cluster.addEntry("e2")];
  const usable = (): readonly string[] =>
    e2.leases.list().flatMap((one) => (one.dispatchable ? [one.name] : []));
  const allServersHeld = (): boolean => e1.leases.list().length + usable().length === 6;
  await cluster.clock.until(() => usable().length > 0 && allServersHeld(), 30_000);
  const own = usable();
  e2.kvLink.down = true;
  e1.gate.kill();
  await cluster.clock.until(() => e2.leases.list().length === 6, 20_000);
  assert.equal(usable(), own);
  e2.kvLink.down = false;
  await cluster.clock.until(() => usable().length === 6, 10_000);
});

test.run();
