import { test } from "uvu";
import * as assert from "uvu/assert";
import type { CallerRequest } from "../../src/coordination/ports.ts";
import { serverRecord } from "../fakes/builders.ts";
import { fixtureConfig } from "../fakes/entry-fakes.ts";
import {
  connect,
  entryFixture,
  gossip,
  onClock,
  summary,
  type EntryFixture,
} from "../fakes/entry-fixture.ts";
import { VirtualClock } from "../fakes/virtual-clock.ts";

function runningOn(entry: EntryFixture, server: string): number {
  return entry.held.running.filter((task) => task.server === server).length;
}

function submitMany(entry: EntryFixture, count: number, change: Partial<CallerRequest> = {}): void {
  for (let i = 0; i < count; i++) void entry.submit({ timeoutMs: 60_000, ...change });
}

// Guards against a spare pool that stands idle while a pool is overloaded, or is never returned.
for (const [closenessToShare, bufferCost] of [
  [1, 1],
  [1000, 0],
  [0, 1000],
] as const) {
  test(`spare slots are lent within 2 s and back within 10 s at weights ${closenessToShare} to ${bufferCost}`, async () => {
    const document = fixtureConfig();
    const weights = { ...document.weights, closenessToShare, bufferCost };
    const entry = entryFixture({ config: { ...document, weights } });
    const { clock, held } = entry;
    held.add("s1", { slots: 1 });
    held.add("x1", { slots: 2, pool: "spare" });
    held.runMs = 400;
    submitMany(entry, 20);
    await clock.advance(400);
    assert.is(runningOn(entry, "x1"), 0);
    await clock.until(() => runningOn(entry, "x1") === 2, 1600);
    await clock.until(() => held.started.length === 20 && held.running.length === 0);
    await clock.advance(10_000);
    submitMany(entry, 2);
    await clock.advance(100);
    assert.is(runningOn(entry, "x1"), 0);
  });
}

// Guards against urgent work that starves while the spare pool's own work takes every slot lent.
for (const priority of ["normal", "batch"] as const)
  test(`urgent work of a borrowing pool goes before the spare pool's ${priority} work`, async () => {
    const queue = { open: false, idempotent: false, declaredRunMs: 100 };
    const queues = [
      { ...queue, name: "jobs", pool: "jobs" },
      { ...queue, name: "surveys", pool: "spare" },
    ];
    const entry = entryFixture({ config: fixtureConfig({ queues }) });
    const { clock, held } = entry;
    held.add("x1", { slots: 2, pool: "spare" });
    held.runMs = 400;
    submitMany(entry, 60, { queue: "surveys", priority });
    submitMany(entry, 4, { priority: "urgent", key: "key-blue" });
    const urgent = (): number =>
      held.started.filter(({ spec }) => spec.priority === "urgent").length;
    await clock.until(() => urgent() === 4, 3700);
    await clock.until(() => held.started.length === 64, 30_000);
  });

// Guards against normal work of one borrowing pool that takes every slot lent from another's urgent.
test("urgent work of a borrowing pool goes before other borrowing pools' normal work", async () => {
  const base = fixtureConfig();
  const pools = [...base.pools, { ...base.pools[0]!, name: "late" }];
  const queues = [...base.queues, { ...base.queues[0]!, name: "late", pool: "late" }];
  const entry = entryFixture({ config: { ...base, pools, queues } });
  const { clock, held } = entry;
  held.add("x1", { slots: 2, pool: "spare" });
  held.runMs = 400;
  submitMany(entry, 60);
  submitMany(entry, 4, { queue: "late", priority: "urgent", key: "key-blue" });
  const urgent = (): number => held.started.filter(({ spec }) => spec.priority === "urgent").length;
  await clock.until(() => urgent() === 4, 3700);
  await clock.until(() => held.started.length === 64, 30_000);
});

// Guards against a server that fails every task fast, is idle for that and so attracts the next.
test("a server on probation gets one probe a second", async () => {
  const entry = entryFixture();
  const { clock, held, fleet } = entry;
  const names = ["s1", "s2", "s3", "s4"];
  for (const name of names) held.add(name, { slots: 8 });
  fleet.document = fleetOf(names);
  held.runMs = 20;
  held.result = ({ server, spec }) =>
    server === "s1"
      ? { kind: "failure", reason: "disk error" }
      : { kind: "answer", payload: spec.payload };
  const load = async (ms: number): Promise<number> => {
    const before = held.started.length;
    for (let at = 0; at < ms; at += 10) {
      submitMany(entry, 1);
      await clock.advance(10);
    }
    return held.started.slice(before).filter(({ server }) => server === "s1").length;
  };
  await load(2000);
  const probes = await load(5000);
  assert.ok(probes >= 3 && probes <= 6, `${probes} tasks in 5 s`);
});

// Guards against urgent work that waits because normal work holds every slot.
test("slots of the urgent reserve stay free for urgent work", async () => {
  const entry = entryFixture({ config: fixtureConfig({ urgentReserveSlots: 1 }) });
  const { clock, held } = entry;
  held.add("s1", { slots: 3 });
  held.runMs = 5000;
  submitMany(entry, 5);
  await clock.advance(100);
  assert.is(held.running.length, 2);
  submitMany(entry, 1, { priority: "urgent", key: "key-blue" });
  await clock.advance(10);
  assert.is(held.running.length, 3);
  assert.is(held.started.at(-1)!.spec.priority, "urgent");
});

// Guards against load that gathers on one server or one rack.
test("work is spread over servers and racks", async () => {
  const entry = entryFixture();
  const { clock, held } = entry;
  held.add("s1", { slots: 4, rack: "r1" });
  held.add("s2", { slots: 4, rack: "r1" });
  held.add("s3", { slots: 4, rack: "r2" });
  held.runMs = 5000;
  submitMany(entry, 4);
  await clock.advance(10);
  assert.equal(
    ["s1", "s2", "s3"].map((server) => runningOn(entry, server)),
    [1, 1, 2],
  );
});

// Guards against a server that fails everything and, always having free slots, attracts all work.
test("a server whose jobs succeed elsewhere gets one task at a time", async () => {
  const entry = entryFixture();
  const { clock, held, fleet } = entry;
  const names = ["s1", "s2", "s3", "s4"];
  fleet.document = fleetOf(names);
  for (const name of names) held.add(name, { slots: 4 });
  held.result = ({ server, spec }) =>
    server === "s1"
      ? { kind: "failure", reason: "disk" }
      : { kind: "answer", payload: spec.payload };
  for (let i = 0; i < 40; i++) {
    submitMany(entry, 4, { queue: "repeat" });
    await clock.advance(200);
  }
  held.runMs = 5000;
  // A probe may have ended just now; the next one follows within a second.
  await clock.advance(1000);
  submitMany(entry, 16, { queue: "repeat" });
  await clock.advance(10);
  assert.is(runningOn(entry, "s1"), 1);
  assert.is(runningOn(entry, "s2"), 4);
});

// Guards against shares that hold at each entry but not over the whole fleet.
test("a team that submits at one entry only still gets its share of the fleet", async () => {
  const clock = new VirtualClock();
  const config = fixtureConfig({ shares: { red: 2, blue: 1 } });
  const entries = ["e1", "e2", "e3"].map((name) => entryFixture({ name, clock, config }));
  for (const [index, entry] of entries.entries()) {
    entry.held.add(`s${index}`, { slots: 4 });
    entry.held.runMs = 100;
  }
  connect(...entries);
  let red = 0;
  let all = 0;
  const load = (): void => {
    submitMany(entries[0]!, 8);
    for (const entry of entries) submitMany(entry, 3, { key: "key-blue" });
    for (const task of entries.flatMap((entry) => entry.held.running)) {
      all++;
      if (task.spec.team === "red") red++;
    }
    if (clock.now() % 500 === 0) gossip(...entries);
    if (clock.now() < 8000) clock.schedule(100, load);
  };
  load();
  await clock.advance(8000);
  const part = red / all;
  assert.ok(Math.abs(part - 2 / 3) < 0.06, `red had ${part.toFixed(3)} of the fleet`);
});

// Guards against budgets that are not raised for work which waits for them, and against overruns.
test("a team without budget waits without blocking others, and states its demand", async () => {
  const entry = entryFixture();
  const { clock, held, budgets } = entry;
  held.add("s1", { slots: 4 });
  held.runMs = 1000;
  budgets.setLimit("red", 1);
  submitMany(entry, 3);
  const blue = entry.submit({ key: "key-blue" });
  await clock.advance(10);
  assert.is(held.running.length, 2);
  assert.is(budgets.demand.get("red"), 2);
  budgets.setLimit("red", 3);
  await clock.advance(10);
  assert.is(held.running.length, 4);
  assert.is(summary(await onClock(clock, blue)), "answer");
});

// Guards against entries that keep each other from a team's limit: one holds the last of the budget
// without a slot, the other has slots without budget.
test("no budget is asked for where a team's own tasks hold every slot", async () => {
  const entry = entryFixture();
  const { clock, held, budgets } = entry;
  held.add("s1", { slots: 3 });
  held.runMs = undefined;
  submitMany(entry, 5);
  await clock.advance(100);
  assert.is(held.running.length, 3);
  assert.is(budgets.demand.get("red") ?? 0, 0);
  submitMany(entry, 5, { key: "key-blue" });
  await clock.advance(100);
  assert.is(budgets.demand.get("blue"), 3);
});

// Guards against work that waits for an idle entry's next review although a peer has room.
test("work queued at an idle entry is reviewed at the short interval at once", async () => {
  const clock = new VirtualClock();
  const [first, second] = [
    entryFixture({ name: "e1", clock }),
    entryFixture({ name: "e2", clock }),
  ];
  connect(first, second);
  await clock.advance(5300);
  void first.submit();
  await clock.advance(10);
  second.held.add("s2");
  gossip(first, second);
  await clock.advance(60);
  assert.is(second.held.started.length, 1);
});

function fleetOf(names: readonly string[]) {
  const servers = names.map((name) => serverRecord(name));
  return { revision: 1, writeId: "w", group: "g", servers, retired: [] };
}

// Guards against urgent work refused because of the wait that peers report for other work, and
// against a team below its share refused because of the queues of others.
test("no request is refused for waits that it would not have", async () => {
  const entry = entryFixture({ config: fixtureConfig({ shares: { red: 1, blue: 9 } }) });
  const { clock, peers } = entry;
  const pools = [{ pool: "jobs", freeSlots: 0, totalSlots: 8, queued: 500, waitMs: 4500 }];
  const load = { running: 4, budget: 100 };
  const teams = [
    { team: "red", queued: 500, ...load },
    { team: "blue", queued: 0, ...load },
  ];
  peers.hear({ ...peers.self, incarnation: "e2" }, { pools, teams });
  const replies: string[] = [];
  for (const change of [
    { key: "key-red", priority: "urgent" },
    { key: "key-red", priority: "normal" },
    { key: "key-blue", priority: "normal" },
  ] as const)
    void entry.submit({ timeoutMs: 2000, ...change }).then((reply) => {
      replies.push(`${change.key} ${change.priority} ${summary(reply)}`);
    });
  await clock.advance(50);
  assert.equal(replies, ["key-red normal overload ran=no"]);
});

test.run();
