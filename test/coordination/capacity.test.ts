import { test } from "uvu";
import * as assert from "uvu/assert";
import type { CallerRequest } from "../../src/coordination/ports.ts";
import { serverRecord } from "../fakes/builders.ts";
import { fixtureConfig } from "../fakes/entry-fakes.ts";
import {
  connect,
  entryFixture,
  exchangeGossip,
  advanceUntilSettled,
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

// Guards against a spare pool that stays idle while another pool is overloaded, and against lent
// slots that are never returned.
for (const [closenessToShare, bufferCost] of [
  [1, 1],
  [1000, 0],
  [0, 1000],
] as const) {
  test(`spare slots are lent within 2 s and returned within 10 s at weights ${closenessToShare} to ${bufferCost}`, async () => {
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

// Guards against starvation of urgent work while the spare pool's own work uses every lent slot.
for (const priority of ["normal", "batch"] as const)
  test(`urgent work of a borrowing pool starts before the spare pool's ${priority} work`, async () => {
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

// Guards against starvation of a pool's urgent work while another borrowing pool's normal work uses
// every lent slot.
test("urgent work of a borrowing pool starts before other borrowing pools' normal work", async () => {
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

// Guards against a server that fails every task quickly and gets the next one because it is idle.
test("a server on probation gets about one probe per second", async () => {
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

// Guards against urgent work that waits because normal work uses every slot.
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

// Guards against load concentrated on one server or one rack.
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

// Guards against a server that fails every task and gets all work because it has free slots.
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
  // If a probe has just ended, the next one starts within a second.
  await clock.advance(1000);
  submitMany(entry, 16, { queue: "repeat" });
  await clock.advance(10);
  assert.is(runningOn(entry, "s1"), 1);
  assert.is(runningOn(entry, "s2"), 4);
});

// Guards against shares that are met at each entry but not over the whole fleet.
test("a team that submits to only one entry still gets its share of the fleet", async () => {
  const clock = new VirtualClock();
  const config = fixtureConfig({ shares: { red: 2, blue: 1 } });
  const entries = ["e1", "e2", "e3"].map((name) => entryFixture({ name, clock, config }));
  for (const [index, entry] of entries.entries()) {
    entry.held.add(`s${index}`, { slots: 4 });
    entry.held.runMs = 100;
  }
  connect(...entries);
  let redTasks = 0;
  let allTasks = 0;
  const load = (): void => {
    submitMany(entries[0]!, 8);
    for (const entry of entries) submitMany(entry, 3, { key: "key-blue" });
    for (const task of entries.flatMap((entry) => entry.held.running)) {
      allTasks++;
      if (task.spec.team === "red") redTasks++;
    }
    if (clock.now() % 500 === 0) exchangeGossip(...entries);
    if (clock.now() < 8000) clock.schedule(100, load);
  };
  load();
  await clock.advance(8000);
  const redShare = redTasks / allTasks;
  assert.ok(Math.abs(redShare - 2 / 3) < 0.06, `red had ${redShare.toFixed(3)} of the fleet`);
});

// Guards against budgets that are not raised for waiting work, and against exceeding them.
test("a team without budget waits without blocking other teams and reports its demand", async () => {
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
  assert.is(summary(await advanceUntilSettled(clock, blue)), "answer");
});

// Guards against a team that cannot reach its limit because one entry holds the remaining budget
// without a free slot while another has free slots without budget.
test("no budget is requested where a team's own tasks use every slot", async () => {
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

// Guards against work that waits for an idle entry's next review although a peer has free capacity.
test("queued work switches an idle entry to the short review interval at once", async () => {
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
  exchangeGossip(first, second);
  await clock.advance(60);
  assert.is(second.held.started.length, 1);
});

function fleetOf(names: readonly string[]) {
  const servers = names.map((name) => serverRecord(name));
  return { revision: 1, writeId: "w", group: "g", servers, retired: [] };
}

// Guards against refusing urgent work because of the wait that peers report for other work, and
// against refusing a team below its share because of other teams' queues.
test("no request is refused because of waits that do not apply to it", async () => {
  const entry = entryFixture({ config: fixtureConfig({ shares: { red: 1, blue: 9 } }) });
  const { clock, peers } = entry;
  const pools = [{ pool: "jobs", freeSlots: 0, totalSlots: 8, queued: 500, waitMs: 4500 }];
  const load = { running: 4, budget: 100 };
  const teams = [
    { team: "red", queued: 500, ...load },
    { team: "blue", queued: 0, ...load },
  ];
  peers.receiveGossip({ ...peers.self, incarnation: "e2" }, { pools, teams });
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
