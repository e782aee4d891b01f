import { test } from "uvu";
import * as assert from "uvu/assert";
import type { SessionRecord } from "../../../src/protocol/job-records.ts";
import {
  ExecutorAssignment,
  type AssignableServer,
} from "../../../src/state/jobs/execution/executor-assignment.ts";

const ZONES = ["a", "b", "c"];

function sessions(count: number, zones = ZONES): readonly SessionRecord[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `entry-${index}`,
    ...{ peerAddress: `10.0.0.${index}:1`, zone: zones[index % zones.length]!, strength: 1 },
  }));
}

function servers(count: number): readonly AssignableServer[] {
  return Array.from({ length: count }, (_, index) => ({
    ...{ id: `server-${index}`, zone: ZONES[index % ZONES.length]! },
  }));
}

function assign(
  fleet: readonly AssignableServer[],
  entries: readonly SessionRecord[],
  scheduler = "none",
): ReadonlyMap<string, string | undefined> {
  const assignment = new ExecutorAssignment();
  assignment.update(fleet, entries, scheduler);
  return new Map(fleet.map((server) => [server.id, assignment.executor(server)?.name]));
}

function loads(assigned: ReadonlyMap<string, string | undefined>): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const name of assigned.values()) counts.set(name ?? "", (counts.get(name ?? "") ?? 0) + 1);
  return counts;
}

// Guards against small fleets that pay a second hop for each order.
test("the scheduler sends everything itself in a fleet of up to 20 servers", () => {
  assert.equal([...loads(assign(servers(20), sessions(6))).keys()], [""]);
  assert.not.ok(loads(assign(servers(21), sessions(6))).has(""));
});

// Guards against an assignment that depends on the order in which sessions are seen.
test("100 entry instances that start in any order lead to the same balanced assignment", () => {
  const fleet = servers(246);
  const entries = sessions(100);
  const expected = assign(fleet, entries);
  const assignment = new ExecutorAssignment();
  for (let seen = 1; seen <= entries.length; seen++)
    assignment.update(fleet, entries.slice(-seen), "none");
  for (const server of fleet) assert.is(assignment.executor(server)?.name, expected.get(server.id));
  const perExecutor = [...loads(expected).values()];
  assert.ok(perExecutor.length >= 8 && perExecutor.length <= 10, `${perExecutor.length} executors`);
  assert.ok(Math.max(...perExecutor) <= 45, perExecutor.join(" "));
});

// Guards against the loss of one entry instance that makes many servers change connections.
test("the loss of any entry instance moves only the servers that it had", () => {
  const fleet = servers(246);
  for (const count of [3, 7, 32]) {
    const entries = sessions(count);
    const before = assign(fleet, entries);
    for (const lost of entries) {
      const after = assign(
        fleet,
        entries.filter((entry) => entry !== lost),
      );
      for (const [server, executor] of before)
        if (executor !== lost.name) assert.is(after.get(server), executor, server);
        else assert.is.not(after.get(server), lost.name);
    }
  }
});

// Guards against orders that cross zones twice, and against a scheduler that relays to itself.
test("executors are in the servers' zones and never the scheduler", () => {
  const fleet = servers(90);
  const entries = sessions(12, ["a", "b"]);
  for (const { name: scheduler } of entries) {
    const assigned = assign(fleet, entries, scheduler);
    for (const { id, zone } of fleet) {
      const executor = entries.find(({ name }) => name === assigned.get(id));
      assert.is(executor?.zone, zone === "c" ? undefined : zone);
      assert.is.not(executor?.name, scheduler);
    }
  }
});

// Guards against a new server that reshuffles the fleet.
test("one more slot moves only the servers that the slot gets", () => {
  const entries = sessions(30, ["a"]);
  const fleet = servers(140).map((server) => ({ ...server, zone: "a" }));
  const before = assign(fleet.slice(0, 100), entries);
  const after = assign(fleet, entries);
  const moved = [...before].filter(([server, executor]) => after.get(server) !== executor).length;
  assert.ok(moved <= 60, `${moved} of 100 moved`);
});

test.run();
