import { test } from "uvu";
import * as assert from "uvu/assert";
import type { GossipMessage } from "../../src/protocol/peer-messages.ts";
import { entryFixture, type EntryFixture } from "../fakes/entry-fixture.ts";

const NO_BUDGET = { team: "red", running: 0, budget: 0, queued: 0 };
const EXHAUSTED_BUDGET = { team: "red", running: 3, budget: 3, queued: 0 };
const FREE_BUDGET = { team: "red", running: 2, budget: 3, queued: 0 };

/** An entry without budget for the team, with free slots, while the platform is unreachable. */
function disconnectedEntry(): EntryFixture {
  const entry = entryFixture();
  entry.held.add("s1");
  entry.budgets.setLimit("red", 0);
  entry.config.reachable = false;
  return entry;
}

function receiveGossip({ peers }: EntryFixture, from: string, team: typeof FREE_BUDGET): void {
  const load = { pool: "jobs", freeSlots: 8, totalSlots: 8, queued: 0, waitMs: 0 };
  const part: Partial<GossipMessage> = { pools: [load], teams: [team], platformReachable: false };
  peers.receiveGossip({ ...peers.self, incarnation: from }, part);
}

function offeredTo({ peers }: EntryFixture): readonly string[] {
  return peers.sent.flatMap(({ to, req }) => (req.type === "run" ? [to] : []));
}

// Guards against offers that wait until they expire at a peer that cannot raise its budget.
test("without the platform, work is offered only to peers with unused budget for its team", async () => {
  const entry = disconnectedEntry();
  receiveGossip(entry, "e2", NO_BUDGET);
  receiveGossip(entry, "e3", EXHAUSTED_BUDGET);
  void entry.submit({ priority: "urgent" });
  await entry.clock.advance(1000);
  assert.equal(offeredTo(entry), []);
  receiveGossip(entry, "e3", FREE_BUDGET);
  await entry.clock.until(() => offeredTo(entry).length > 0, 200);
  assert.is(offeredTo(entry)[0], "e3");
});

// Guards against sending a peer more offers than its unused budget allows before its next gossip.
test("without the platform, the offers since the last gossip count against a peer's budget", async () => {
  const entry = disconnectedEntry();
  receiveGossip(entry, "e3", FREE_BUDGET);
  for (let i = 0; i < 3; i++) void entry.submit({ priority: "urgent" });
  await entry.clock.advance(50);
  assert.equal(offeredTo(entry), ["e3"]);
});

// Guards against requests that stay queued although a task of their team has ended at this entry.
test("without the platform, work that no entry has budget for starts when a task of its team ends", async () => {
  const entry = disconnectedEntry();
  entry.budgets.setLimit("red", 1);
  entry.held.runMs = 1000;
  receiveGossip(entry, "e3", EXHAUSTED_BUDGET);
  void entry.submit();
  void entry.submit({ priority: "urgent" });
  await entry.clock.until(() => entry.held.started.length === 2, 1200);
  assert.equal(offeredTo(entry), []);
});

test.run();
