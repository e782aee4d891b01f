import { test } from "uvu";
import * as assert from "uvu/assert";
import { BudgetKeeper } from "../../src/coordination/budget-keeper.ts";
import { DocumentStore } from "../../src/coordination/document-store.ts";
import { LeaseCoverage } from "../../src/coordination/lease-coverage.ts";
import type { TaskSpec } from "../../src/ports/backend-server.ts";
import { ledgerKey } from "../../src/protocol/ledger-document.ts";
import { TaskCharges } from "../../src/state/task-charges.ts";
import { KeyValueStore } from "../../src/stand-ins/key-value-store.ts";
import { FakeConfig, FakeHeldServers, fixtureConfig } from "../fakes/entry-fakes.ts";
import { FakePeers } from "../fakes/peer-fakes.ts";
import { RecordedCounters } from "../fakes/observability-fakes.ts";
import { SeededRandom } from "../fakes/seeded-random.ts";
import { VirtualClock } from "../fakes/virtual-clock.ts";

interface Fixture {
  readonly clock: VirtualClock;
  readonly peers: FakePeers;
  readonly budgets: BudgetKeeper;
  readonly config: FakeConfig;
}

/** An entry whose only server has two busy slots; a peer has `peerBudget` of the limit of 100. */
async function entryWithBusyServer(peerBudget: number): Promise<Fixture> {
  const clock = new VirtualClock();
  const random = new SeededRandom(1);
  const counters = new RecordedCounters();
  const kv = new KeyValueStore({ clock });
  const rows = peerBudget === 0 ? [] : [{ incarnation: "e2", budget: peerBudget }];
  const teams = [{ team: "red", limit: 100, configRevision: 1, rows }];
  const value = JSON.stringify({ writeId: "w", teams, retired: [] });
  await kv.put({ key: ledgerKey(0), value, expectedRevision: 0 });
  const held = new FakeHeldServers(clock);
  held.add("s1");
  held.runMs = undefined;
  for (const requestId of ["a", "b"]) await held.start("s1", { requestId, attempt: 1 } as TaskSpec);
  const coverage = new LeaseCoverage({ clock });
  coverage.extend("s1", { until: Infinity, wallUntil: Infinity });
  const peers = new FakePeers("e1", clock);
  const config = new FakeConfig(fixtureConfig());
  const budgets = new BudgetKeeper({
    store: new DocumentStore({ kv, clock, random, counters }),
    ...{ clock, random, counters, peers, coverage, held, config },
    charges: new TaskCharges(),
    ledgerShards: 1,
    budgetIdleMs: 2000,
    onRetired: () => undefined,
  });
  void budgets.run();
  return { clock, peers, budgets, config };
}

// Guards against a team that never starts at an entry whose slots are always used by other teams.
test("a team with queued work gets budget even while no slot is free", async () => {
  const { clock, budgets } = await entryWithBusyServer(0);
  budgets.setDemand("red", 5);
  await clock.until(() => budgets.availableBudget("red") > 0, 2000);
  assert.ok(budgets.availableBudget("red") < 10, "no more than the slots could use");
  budgets.stop();
});

// Guards against unused budget that is never requested because its holder has queued work.
test("unused budget is requested from a peer even if it has queued work", async () => {
  const { clock, peers, budgets } = await entryWithBusyServer(100);
  const load = { team: "red", running: 1, budget: 100, queued: 500 };
  peers.receiveGossip({ ...peers.self, incarnation: "e2" }, { teams: [load] });
  budgets.setDemand("red", 5);
  const budgetRequested = (): boolean =>
    peers.sent.some(({ req }) => req.type === "budget-request");
  await clock.until(budgetRequested, 2000);
  budgets.stop();
});

// Guards against releasing budget during a platform outage, when no entry can raise its budget.
test("unused budget is kept while the platform is unreachable", async () => {
  const { clock, budgets, config } = await entryWithBusyServer(0);
  budgets.setDemand("red", 5);
  await clock.until(() => budgets.availableBudget("red") > 0, 2000);
  const available = budgets.availableBudget("red");
  budgets.setDemand("red", 0);
  config.reachable = false;
  await clock.advance(10_000);
  assert.is(budgets.availableBudget("red"), available);
  config.reachable = true;
  await clock.until(() => budgets.availableBudget("red") < available, 5000);
  budgets.stop();
});

// Guards against a team's first task that waits for a raise, or cannot start in an outage.
test("a reserve is raised without demand and not raised again at once after a peer took it", async () => {
  const { clock, budgets } = await entryWithBusyServer(0);
  await clock.until(() => budgets.availableBudget("red") === 4, 2000);
  budgets.handleBudgetRequest({ type: "budget-request", team: "red", wanted: 3 });
  await clock.until(() => budgets.availableBudget("red") === 1, 2000);
  await clock.advance(5000);
  assert.is(budgets.availableBudget("red"), 1);
  await clock.until(() => budgets.availableBudget("red") === 4, 6000);
  budgets.stop();
});

// Guards against requests and ledger writes for a reserve when no budget is left.
test("no reserve is requested when the limit is used up", async () => {
  const { clock, peers, budgets } = await entryWithBusyServer(100);
  await clock.advance(5000);
  assert.is(budgets.availableBudget("red"), 0);
  assert.equal(peers.sent, []);
  budgets.stop();
});

test.run();
