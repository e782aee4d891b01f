import { test } from "uvu";
import * as assert from "uvu/assert";
import { uuidV7Time } from "../../src/protocol/request-id.ts";
import { slotRecord } from "../fakes/builders.ts";
import { Cluster, type ClusterOptions } from "../fakes/limits-cluster.ts";
import type { Entry } from "../fakes/limits-entry.ts";
import { TEAM } from "../fakes/limits-ports.ts";
import { advanceUntilSettled } from "../fakes/virtual-clock.ts";

interface Setup {
  readonly cluster: Cluster;
  readonly e1: Entry;
  readonly e2: Entry;
}

/** Two entries that each hold servers and hash slots. */
async function twoEntries(options: ClusterOptions = {}): Promise<Setup> {
  const cluster = new Cluster({ limit: 6, servers: 6, ...options });
  const [e1, e2] = [cluster.addEntry("e1"), cluster.addEntry("e2")];
  const dispatchable = (entry: Entry) => entry.leases.list().filter((one) => one.dispatchable);
  await cluster.clock.until(() => [e1, e2].every((entry) => dispatchable(entry).length > 0));
  const withoutSlots = async (name: string) => (await slotCount(cluster, name)) === 0;
  while ((await withoutSlots("e1")) || (await withoutSlots("e2"))) await cluster.clock.advance(100);
  return { cluster, e1, e2 };
}

/** Waits until an entry has budget for `count` tasks and starts them. */
async function runTasks(cluster: Cluster, entry: Entry, count: number): Promise<void> {
  entry.budgets.setDemand(TEAM, count);
  await cluster.clock.until(() => entry.budgets.availableBudget(TEAM) >= count);
  for (let i = 0; i < count; i++)
    assert.is(await advanceUntilSettled(cluster.clock, entry.runOne()), "started");
  entry.budgets.setDemand(TEAM, 0);
}

async function budgetOf(cluster: Cluster, incarnation: string): Promise<number> {
  const rows = (await cluster.ledger()).flatMap((team) => team.rows);
  return rows.find((row) => row.incarnation === incarnation)?.budget ?? 0;
}

/** Number of hash slots that an incarnation owns. */
async function slotCount(cluster: Cluster, incarnation: string): Promise<number> {
  const { slots } = await cluster.slotOwnership();
  return slots.filter((slot) => slot.incarnation === incarnation).length;
}

// Guards against budget that stays with a lost entry, and against reassigning budget while the lost
// entry's tasks still run on servers that other entries have taken over.
test("a lost entry's budget is reclaimed except for its running tasks", async () => {
  const { cluster, e1, e2 } = await twoEntries({ runMs: () => 90_000 });
  await runTasks(cluster, e1, 4);
  e1.gate.kill();
  void e2.generateLoad(6);
  await cluster.clock.advance(40_000);
  assert.is(await budgetOf(cluster, "e1"), 4);
  assert.is(cluster.running, 6);
  await cluster.clock.advance(80_000);
  assert.is(await budgetOf(cluster, "e1"), 0);
  assert.is(e2.budgets.running(TEAM), 6);
  assert.is(cluster.peakRunning, 6);
});

// Guards against a second run by the new owner, which has no records of the previous owner.
test("ids from before a takeover of hash slots are too old", async () => {
  const { cluster, e1, e2 } = await twoEntries();
  await cluster.clock.advance(5000);
  assert.is(await slotCount(cluster, "e2"), 32);
  const key = cluster.random.uuidV7(cluster.clock.wallTime());
  const lost = e1.hello.incarnation;
  e1.gate.kill();
  await cluster.clock.advance(60_000);
  assert.is(await slotCount(cluster, lost), 0);
  const takenOver = (await cluster.slotOwnership()).slots.filter(
    ({ takeoverAt }) => takeoverAt > 0,
  );
  assert.ok(takenOver.length > 0);
  assert.ok(takenOver.every(({ takeoverAt }) => takeoverAt > uuidV7Time(key)!));
  const statuses = Array.from({ length: 200 }, (_, i) =>
    e2.slotOwnership.classify(e2.slotOwnership.requestId(TEAM, `q${i}`, key)),
  );
  assert.equal([...new Set(statuses)].sort(), ["fresh", "too-old"]);
});

// Guards against starts by an entry that was paused past its leases and fenced in the meantime, and
// that acquires a lease before it reads its own retirement mark.
test("an entry that resumes after it was fenced starts nothing", async () => {
  const { cluster, e1, e2 } = await twoEntries({ runMs: () => 500 });
  await runTasks(cluster, e1, 3);
  e1.gate.pause();
  void e2.generateLoad(6);
  await cluster.clock.until(() => e2.counters.count("incarnation_fenced") === 1, 90_000);
  e1.kvLink.down = true;
  e2.gate.pause();
  const startedBefore = cluster.started;
  e1.gate.resume();
  await cluster.clock.until(() => e1.leases.gossipHeld().held.length > 0, 30_000);
  void e1.generateLoad(6);
  await cluster.clock.advance(10_000);
  // Work of an open queue needs no budget, so the budget cannot block it.
  for (const { name } of e1.leases.list()) {
    const open = await advanceUntilSettled(
      cluster.clock,
      e1.leases.start(name, e1.nextTask(undefined)),
    );
    assert.is(open.ok, false);
  }
  assert.is(cluster.started, startedBefore);
  assert.is(e1.budgets.availableBudget(TEAM), 0);
  const lookups = Array.from({ length: 50 }, (_, i) =>
    e1.slotOwnership.lookup(e1.slotOwnership.requestId(TEAM, "q", `order-${i}`)),
  );
  assert.not(lookups.some(({ kind }) => kind === "self"));
  e1.kvLink.down = false;
  await cluster.clock.until(() => e1.retiredCount > 0);
  assert.is(cluster.peakRunning, 6);
});

// Guards against a fencing proof without evidence for every server at the same instant: the lost
// entry may still hold the server that is not covered.
test("a server that no other entry holds prevents the fencing proof", async () => {
  const { cluster, e1, e2 } = await twoEntries();
  const held = e1.leases.gossipHeld().held[0]!;
  await runTasks(cluster, e1, 2);
  while ((await slotCount(cluster, "e1")) === 0) await cluster.clock.advance(100);
  // e1 keeps its servers but is cut off from everything else.
  cluster.setCut(e1, e2, true);
  e1.kvLink.down = true;
  await cluster.clock.advance(60_000);
  assert.ok(e1.leases.gossipHeld().held.includes(held));
  assert.ok(e2.counters.count("fencing_proof_refused") > 0);
  assert.ok((await budgetOf(cluster, "e1")) > 0);
  assert.ok((await slotCount(cluster, "e1")) > 0);
  assert.is(e2.counters.count("incarnation_fenced"), 0);
});

// Guards against a key that runs twice: a retired member of another zone that has not read its own
// retirement mark is not asked whether it has read that of a lost owner, and could still run work
// for that owner.
test("hash slots are taken over only once every retired member is proved to hold no lease", async () => {
  const cluster = new Cluster({ zones: ["a", "b"], servers: 6 });
  const [e1, e2] = [cluster.addEntry("e1"), cluster.addEntry("e2")];
  const [e3, e4] = [cluster.addEntry("e3", "b"), cluster.addEntry("e4", "b")];
  const all = [e1, e2, e3, e4];
  await cluster.clock.until(() => all.every((entry) => entry.leases.list().length > 0));
  await cluster.clock.advance(8000);
  for (const other of [e1, e2, e4]) cluster.setCut(e3, other, true);
  e3.kvLink.down = true;
  await cluster.clock.advance(20_000);
  const stateOf = async (incarnation: string) =>
    (await cluster.slotOwnership()).members.find((member) => member.incarnation === incarnation)
      ?.state;
  assert.is(await stateOf("e3"), "retired");
  e1.gate.kill();
  await cluster.clock.advance(40_000);
  assert.is(await stateOf("e1"), "retired");
  assert.ok((await slotCount(cluster, "e1")) > 0);
  e3.gate.kill();
  await cluster.clock.advance(40_000);
  assert.equal([await stateOf("e1"), await stateOf("e3")], ["fenced", "fenced"]);
  assert.is((await slotCount(cluster, "e1")) + (await slotCount(cluster, "e3")), 0);
});

// Guards against counting a new lease on a rebooted server as evidence at once: the previous holder
// may consider its lease valid for one more time to live.
test("a lease counts as evidence only after one and a half times its time to live", async () => {
  const { cluster, e1, e2 } = await twoEntries();
  await cluster.clock.advance(8000);
  const name = e1.leases.gossipHeld().held[0]!;
  const evidence = (entry: Entry) => entry.leases.evidence().map(({ server }) => server);
  assert.ok(evidence(e1).includes(name));
  cluster.servers.get(name)!.restart();
  e1.gate.kill();
  await cluster.clock.until(() => e2.leases.gossipHeld().held.includes(name));
  assert.not(evidence(e2).includes(name));
  await cluster.clock.advance(6100);
  assert.ok(evidence(e2).includes(name));
});

// Guards against lost records, or slots with two owners, after a planned transfer.
test("a joining entry receives slots together with their records", async () => {
  const cluster = new Cluster({ servers: 2 });
  const e1 = cluster.addEntry("e1");
  await cluster.clock.until(() => e1.ownershipFollower.current !== undefined);
  for (let i = 0; i < 100; i++) {
    const requestId = e1.slotOwnership.requestId(TEAM, "q", `order-${i}`);
    e1.records.byId.set(requestId, slotRecord({ requestId, team: TEAM }));
  }
  // A pending request keeps only its own slot at e1.
  const busy = [...e1.records.byId.keys()].sort()[0]!;
  e1.records.pending.add(busy);
  const e2 = cluster.addEntry("e2");
  await cluster.clock.until(() => e2.records.byId.size > 20, 30_000);
  assert.is(e1.slotOwnership.lookup(busy).kind, "self");
  e1.records.pending.clear();
  await cluster.clock.advance(3000);
  assert.is(await slotCount(cluster, "e2"), 32);
  assert.is(e1.records.byId.size + e2.records.byId.size, 100);
  for (const entry of [e1, e2]) {
    for (const id of entry.records.byId.keys())
      assert.is(entry.slotOwnership.lookup(id).kind, "self");
  }
});

test.run();
