import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ServerRecord, ServerState } from "../../src/protocol/fleet-document.ts";
import { dryRun, planNext } from "../../src/state/fleet-rules.ts";
import { bufferCoverage, checkAvailabilityBudget } from "../../src/state/fleet-situation.ts";
import { transitionTo, markEmpty } from "../../src/state/fleet-transitions.ts";
import { QUARANTINE_MS } from "../../src/state/health-rules.ts";
import { inRange } from "../../src/state/maintenance-windows.ts";
import { EQUAL_WEIGHTS } from "../fakes/builders.ts";
import {
  exampleConfig,
  exampleInstances,
  serversByRack,
  situationOf,
  TestHealth,
} from "../fakes/planned-fleet.ts";

const EVERY_DAY = { startMinute: 0, endMinute: 1440, everyDays: 1, maxParallel: 9 };

/** The example's servers with some in other states. */
function withStates(states: Readonly<Record<string, ServerState>>): readonly ServerRecord[] {
  return serversByRack().map((server) => ({
    ...server,
    state: states[server.name] ?? server.state,
  }));
}

/** The example's servers as the planner places them. */
function spreadServers(): readonly ServerRecord[] {
  return planNext(situationOf([], { listed: exampleInstances() })).decision!.servers;
}

// Guards against drains that count servers as available although they are down or draining.
test("the availability budget counts only live servers in service", () => {
  // Pool enrolment has s00 to s07 and needs 6 of them.
  const health = new TestHealth();
  const servers = withStates({ s00: "draining" });
  const first = servers.find((server) => server.name === "s01")!;
  assert.ok(checkAvailabilityBudget(situationOf(servers, { health }), first).allowed);
  health.down.add("s07");
  const check = checkAvailabilityBudget(situationOf(servers, { health }), first);
  assert.equal(check, { allowed: false, figures: { available: 6, minAvailable: 6 } });
});

// Guards against planned drains that continue after failures exhausted the availability budget.
test("drains are cancelled when failures exhaust the budget, and no other drain starts", () => {
  const health = new TestHealth();
  for (const name of ["s04", "s05"]) health.down.add(name);
  const config = exampleConfig({ maintenance: EVERY_DAY });
  const servers = withStates({ s00: "draining", s01: "draining" });
  const run = dryRun(situationOf(servers, { health, config }), 20);
  const returned = run.decisions.filter((decision) => decision.rule === "return-drain");
  assert.equal(
    returned.map((decision) => decision.figures),
    [
      { available: 4, minAvailable: 6 },
      { available: 5, minAvailable: 6 },
    ],
  );
  assert.not(run.decisions.some((d) => d.rule === "maintenance" && d.text.includes("enrolment")));
});

// Guards against quarantines that take a pool below its budget, as 3 faulty servers of 8 would.
test("quarantine stays within the availability budget and explains what it withholds", () => {
  const health = new TestHealth();
  for (const name of ["s00", "s01", "s02"]) health.failing.add(name);
  const spareGone = serversByRack().filter((server) => server.pool !== "shared");
  const run = dryRun(situationOf(spareGone, { health }), 20);
  assert.is(run.decisions.filter((decision) => decision.rule === "quarantine").length, 2);
  assert.match(run.withheld.map((e) => e.text).join(), "quarantine of s02 would break");
});

// Guards against servers that stay in quarantine indefinitely.
test("a server is drained for a reboot after its quarantine", () => {
  const servers = withStates({ s00: "quarantined" });
  const now = 1_700_000_000_000;
  const since = now - QUARANTINE_MS;
  const aged = servers.map((server) => ({ ...server, since }));
  const { decision } = planNext(situationOf(aged, { wallTimeMs: now }));
  // The pool is first refilled from the spare pool, then the server is repaired.
  const rules = dryRun(situationOf(aged, { wallTimeMs: now }), 9).decisions.map((d) => d.rule);
  assert.ok(decision !== undefined && rules.includes("repair"), rules.join());
});

// Guards against moves that exhaust the spare pool, so that it covers no failure.
test("moves out of the spare pool never reduce the coverage of the worst loss", () => {
  const pools = exampleConfig().pools.map((pool) =>
    pool.name === "ledgers" ? { ...pool, targetSize: 15 } : pool,
  );
  for (const spread of [true, false]) {
    const servers = spread ? spreadServers() : serversByRack();
    let situation = situationOf(servers, { config: exampleConfig({ pools }) });
    const margin = (): number => {
      const settled = situation.servers.map((s) => ({ ...s, pool: s.moveTo ?? s.pool }));
      const up = settled.map((server) => ({ ...server, state: "serving" as const }));
      const { have, need } = bufferCoverage({ ...situation, servers: up });
      return have - need;
    };
    const floor = Math.min(0, margin());
    const { decisions, withheld } = dryRun(situation, 20);
    assert.match(withheld.map((e) => e.text).join(), /ledgers (lacks|waits)/);
    for (const _ of decisions) {
      situation = { ...situation, servers: planNext(situation).decision!.servers };
      assert.ok(margin() >= floor, `margin ${margin()} below ${floor}`);
    }
    const left = situation.servers.filter((s) => (s.moveTo ?? s.pool) === "shared").length;
    assert.ok(left > 4, "the spare pool keeps more than its own budget");
  }
});

// Guards against moves that drain a server although an empty or surplus server is available.
test("a move takes an empty server first, then one of a pool with a surplus", () => {
  const pools = exampleConfig().pools.map((pool) => {
    if (pool.name === "enrolment") return { ...pool, targetSize: 10 };
    return pool.name === "allotments" ? { ...pool, targetSize: 4, minAvailable: 2 } : pool;
  });
  const servers = withStates({ s13: "empty" });
  const { decisions } = dryRun(situationOf(servers, { config: exampleConfig({ pools }) }), 20);
  assert.is(decisions[0]?.text, "empty s13 goes to enrolment");
  assert.match(decisions[1]?.text ?? "", /is drained to go from allotments to enrolment/);
});

// Guards against rebooting or moving a server on which tasks may still run.
test("only empty servers are moved or rebooted, and only the defined transitions are allowed", () => {
  const [server] = serversByRack() as [ServerRecord];
  for (const state of ["moving", "rebooting", "empty"] as const) {
    assert.throws(() => transitionTo(server, state, { at: 1 }), /may not go/);
  }
  assert.is(markEmpty([server], server.name, 1), undefined);
  const draining = transitionTo(server, "draining", { at: 1, moveTo: "shared" });
  const [empty] = markEmpty([draining], server.name, 2) as [ServerRecord];
  const moving = transitionTo(empty, "moving", { at: 3 });
  assert.is(moving.pool, "shared");
  assert.is(moving.epoch, server.epoch + 1);
  assert.is(moving.moveTo, undefined);
});

// Guards against maintenance outside a window that crosses midnight.
test("a maintenance window may cross midnight", () => {
  const at = (hour: number): number => hour * 3_600_000;
  const night = { startMinute: 22 * 60, endMinute: 4 * 60 };
  assert.ok(inRange(night, at(23)));
  assert.ok(inRange(night, at(3)));
  assert.not(inRange(night, at(4)));
  assert.not(inRange({ startMinute: 3 * 60, endMinute: 9 * 60 }, at(2)));
});

/** The example with a window for one team that uses pool certification alone. */
function certifiersWindow(maintenanceStart: number, maintenanceEnd: number) {
  const teams = exampleConfig().teams.map((team) =>
    team.name === "certifiers" ? { ...team, maintenanceStart, maintenanceEnd } : team,
  );
  return exampleConfig({ maintenance: EVERY_DAY, teams });
}

// Guards against draining a pool's server outside the window of a team that uses the pool.
test("a team's window delays only the pools of its queues, and the plan explains the delay", () => {
  const config = certifiersWindow(23 * 60, 60);
  const day = Date.UTC(2026, 0, 5);
  const planAt = (hour: number) =>
    dryRun(situationOf(serversByRack(), { config, wallTimeMs: day + hour * 3_600_000 }), 40);
  const drained = (hour: number): readonly string[] =>
    planAt(hour).decisions.flatMap(({ text }) => /^\S+ of (\S+) in rack/.exec(text)?.[1] ?? []);
  const held = planAt(22).withheld.filter(({ text }) => text.includes("wait for the window"));
  assert.equal(
    held.map(({ text, figures }) => ({ text, figures })),
    [
      {
        text: "reboots in certification wait for the window of team certifiers (23:00 to 01:00 UTC)",
        figures: { due: 6, opensInMinutes: 60 },
      },
    ],
  );
  assert.ok(drained(22).length > 0 && !drained(22).includes("certification"));
  for (const hour of [23, 0]) {
    assert.not(planAt(hour).withheld.some(({ text }) => text.includes("wait for the window")));
  }
  const alone = serversByRack().filter((server) => server.pool === "certification");
  const count = (hour: number): number => {
    const situation = situationOf(alone, { config, wallTimeMs: day + hour * 3_600_000 });
    return dryRun(situation, 40).decisions.filter(({ rule }) => rule === "maintenance").length;
  };
  assert.equal(
    [count(22), count(23), count(0), count(1)].map((n) => n > 0),
    [false, true, true, false],
  );
});

// Guards against using a spare server for a reboot that a team's window does not allow yet.
test("a pool without surplus gets a spare server only while its windows are open", () => {
  const pools = exampleConfig().pools.map((pool) =>
    pool.name === "certification" ? { ...pool, minAvailable: pool.targetSize } : pool,
  );
  const config = { ...certifiersWindow(23 * 60, 60), pools };
  const moves = (hour: number): readonly string[] => {
    const wallTimeMs = Date.UTC(2026, 0, 5, hour);
    const { decisions } = dryRun(situationOf(serversByRack(), { config, wallTimeMs }), 40);
    return decisions.filter(({ rule }) => rule === "move").map(({ text }) => text);
  };
  assert.equal(moves(22), []);
  assert.equal(
    moves(23).map((text) => text.replace(/^s\d+ /, "")),
    ["is drained to go from shared to certification"],
  );
});

// Guards against a wave that continues in an availability zone with failures because the next due
// server, which is down, is in another zone.
test("a wave between two racks pauses for failures in the zone where it would continue", () => {
  const now = 1_700_000_000_000;
  const health = new TestHealth();
  // s00 is in zone a, s04 and s16 are in racks r1 and r4 of zone b.
  for (const name of ["s00", "s04", "s16"]) health.down.add(name);
  const servers = serversByRack().map((server) => ({
    ...server,
    rebootedAt: server.zone === "andina-a" && server.name !== "s00" ? now - 3_600_000 : 0,
  }));
  const config = exampleConfig({ maintenance: EVERY_DAY });
  const { decisions, withheld } = dryRun(situationOf(servers, { health, config }), 20);
  assert.not(decisions.some(({ rule }) => rule === "maintenance"));
  assert.match(withheld.map((e) => e.text).join(), "failures in andina-a, andina-b");
});

// Guards against weights that no rule uses or that the plan does not explain.
test("the limit of concurrent moves follows the weights, and the plan names them", () => {
  const planAt = (weights: Partial<typeof EQUAL_WEIGHTS>, targetSize: number) => {
    const pools = exampleConfig().pools.map((pool) =>
      pool.name === "ledgers" ? { ...pool, targetSize } : pool,
    );
    const config = exampleConfig({ pools, weights: { ...EQUAL_WEIGHTS, ...weights } });
    return dryRun(situationOf(serversByRack(), { config }), 20);
  };
  const started = (weights: Partial<typeof EQUAL_WEIGHTS>) =>
    planAt(weights, 12).decisions.filter((decision) => decision.rule === "move");
  assert.ok(started({ rolloutTime: 4 }).length > started({}).length);
  assert.is(started({ rolloutTime: 4 })[0]?.figures.weight_rollout_time, 4);
});

test.run();
