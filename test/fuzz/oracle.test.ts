import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ServerRecord, ServerState } from "../../src/protocol/fleet-document.ts";
import { IN_FORCE_MS, type ConfigReachability } from "./operator-history.ts";
import { LEAVING_LIMIT_MS, LOSS_KNOWN_MS } from "./fleet-history.ts";
import { answer, call, config, refusal, server, task } from "./history-builders.ts";
import { Oracle } from "./oracle.ts";

// Guards against checks that never fail. Each test passes the oracle a history with a violation and
// a similar history without one.

interface Fixture {
  readonly oracle: Oracle;
  readonly advance: (ms: number, reach?: ConfigReachability) => void;
  readonly found: () => string[];
}

function fixture(): Fixture {
  let now = 0;
  const oracle = new Oracle({ now: () => now, expectedAnswer: (nonce, id) => `${nonce}/${id}` });
  oracle.operators.accepted(config(1, { limit: 2, minAvailable: 1 }));
  oracle.operators.keyIssued("secret", "key-1", "red");
  const advance = (ms: number, reach: ConfigReachability = { some: true, all: true }): void => {
    now += ms;
    oracle.operators.reachabilityObserved(reach);
  };
  advance(0);
  return { oracle, advance, found: () => oracle.violations.map((v) => v.property) };
}

test("a team above its upper limit is reported", () => {
  const { oracle, found } = fixture();
  for (const nonce of ["a", "b", "c"]) oracle.requests.sent(call(nonce));
  oracle.started("s1", "a", task("a"), ["main"]);
  oracle.started("s2", "b", task("b"), ["main"]);
  assert.equal(found(), []);
  oracle.ended("s1", "a", task("a"));
  oracle.started("s1", "c", task("c"), ["main"]);
  assert.equal(found(), []);
  oracle.requests.sent(call("d"));
  oracle.started("s1", "d", task("d"), ["main"]);
  assert.equal(found(), ["upper-limit"]);
});

test("a lowered limit applies once every entry had the time to read it", () => {
  for (const [waited, expected] of [
    [IN_FORCE_MS - 1, []],
    [IN_FORCE_MS, ["upper-limit"]],
  ] as const) {
    const { oracle, advance, found } = fixture();
    oracle.operators.accepted(config(2, { limit: 0, minAvailable: 1 }));
    advance(0);
    advance(waited);
    oracle.requests.sent(call("a"));
    oracle.started("s1", "a", task("a"), ["main"]);
    assert.equal(found(), expected);
  }
});

test("a second start of a non-idempotent request is reported", () => {
  const { oracle, found } = fixture();
  oracle.requests.sent(call("a"));
  oracle.requests.sent(call("b", { idempotent: true }));
  oracle.started("s1", "a", task("a"), ["main"]);
  oracle.started("s1", "b", task("b"), ["main"]);
  oracle.ended("s1", "a", task("a"));
  oracle.ended("s1", "b", task("b"));
  oracle.started("s2", "b", task("b", 2), ["main"]);
  assert.equal(found(), []);
  oracle.started("s2", "a", task("a", 2), ["main"]);
  assert.equal(found(), ["at-most-once"]);
});

test("a false statement about whether a request ran is reported", () => {
  const { oracle, found } = fixture();
  const first = oracle.requests.sent(call("a"));
  oracle.requests.replied(first, refusal("no"));
  assert.equal(found(), []);
  oracle.started("s1", "a", task("a"), ["main"]);
  assert.equal(found(), ["not-run"]);
  const second = oracle.requests.sent(call("b"));
  oracle.started("s1", "b", task("b"), ["main"]);
  oracle.requests.replied(second, refusal("no"));
  const third = oracle.requests.sent(call("c"));
  oracle.requests.replied(third, refusal("yes"));
  assert.equal(found(), ["not-run", "not-run", "not-run"]);
});

test("a retry of a call that was refused before it ran may run", () => {
  const { oracle, found } = fixture();
  oracle.requests.replied(oracle.requests.sent(call("a")), refusal("no"));
  oracle.requests.sent(call("a"));
  oracle.started("s1", "a", task("a"), ["main"]);
  assert.equal(found(), []);
});

test("an answer to another request or a truncated answer is reported", () => {
  const { oracle, found } = fixture();
  const calls = ["a", "b", "c"].map((nonce) => oracle.requests.sent(call(nonce)));
  for (const nonce of ["a", "b"]) {
    oracle.started("s1", nonce, task(nonce), ["main"]);
    oracle.ended("s1", nonce, task(nonce));
  }
  oracle.requests.replied(calls[0]!, answer("a/a", "a"));
  assert.equal(found(), []);
  oracle.requests.replied(calls[1]!, answer("a/b", "b"));
  oracle.requests.replied(calls[1]!, answer("b/", "b"));
  oracle.requests.replied(calls[2]!, answer("c/c", "c"));
  assert.equal(found(), ["answers", "answers", "answers"]);
});

test("a task under another team's or an unknown key is reported, and a withdrawn key becomes invalid", () => {
  const { oracle, advance, found } = fixture();
  oracle.requests.sent(call("a", { team: "blue" }));
  oracle.started("s1", "a", task("a"), ["main"]);
  oracle.requests.sent(call("b", { key: "guess", team: undefined }));
  oracle.started("s1", "b", task("b"), ["main"]);
  assert.equal(found(), ["keys", "keys"]);
  oracle.operators.accepted(config(2, { limit: 9, minAvailable: 1, keys: [] }));
  advance(0);
  assert.is(oracle.operators.keyMayBeValid("secret"), true);
  advance(IN_FORCE_MS);
  assert.is(oracle.operators.keyMayBeValid("secret"), false);
});

test("a withdrawn key becomes invalid once a connected entry has read the revision", () => {
  for (const [connectedIncarnations, expected] of [
    [["e1", "e2"], false],
    [["e2"], true],
    [[], true],
  ] as const) {
    const { oracle, advance } = fixture();
    oracle.operators.accepted(config(2, { limit: 9, minAvailable: 1, keys: [] }));
    oracle.operators.revisionReported("e1", 2);
    const unreachable = { some: false, all: false, connectedIncarnations };
    advance(0, unreachable);
    advance(IN_FORCE_MS - 1, unreachable);
    assert.is(oracle.operators.keyMayBeValid("secret"), true);
    advance(1, unreachable);
    assert.is(oracle.operators.keyMayBeValid("secret"), expected);
  }
});

test("a refusal as stale is reported in a platform-wide outage that connected entries have detected", () => {
  const outage = { processes: "e1 e2", fullyConnected: true, platformCut: true };
  for (const [before, during, expected] of [
    [{}, {}, ["keys"]],
    [{ fullyConnected: false }, {}, []],
    [{ processes: "e1" }, {}, []],
    [{}, { fullyConnected: false }, []],
    [{}, { platformCut: false }, []],
  ] as const) {
    const { oracle, advance, found } = fixture();
    oracle.outages.observed({ ...outage, platformCut: false, ...before });
    advance(IN_FORCE_MS);
    oracle.outages.observed(outage);
    const stale = (): void => {
      oracle.requests.replied(oracle.requests.sent(call("a")), refusal("no", "config_stale"));
    };
    advance(IN_FORCE_MS - 1);
    stale();
    assert.equal(found(), []);
    advance(1);
    oracle.outages.observed({ ...outage, ...during });
    stale();
    assert.equal(found(), expected);
  }
});

test("a start on a server that has visibly been leaving for too long is reported", () => {
  const { oracle, advance, found } = fixture();
  oracle.requests.sent(call("a"));
  oracle.requests.sent(call("b"));
  oracle.fleet.leavingVisible("s1");
  advance(LEAVING_LIMIT_MS);
  oracle.started("s1", "a", task("a"), ["main"]);
  assert.equal(found(), []);
  advance(1);
  oracle.started("s1", "b", task("b"), ["main"]);
  assert.equal(found(), ["leaving-server"]);
});

test("a drain that violates the availability budget is reported", () => {
  const { oracle, advance, found } = fixture();
  const write = (states: readonly ServerState[]): void => {
    oracle.fleet.written({ group: "g", servers: states.map((s, at) => server(`s${at}`, s)) });
  };
  write(["serving", "serving", "serving"]);
  write(["draining", "serving", "serving"]);
  write(["draining", "draining", "serving"]);
  write(["serving", "serving", "serving"]);
  assert.equal(found(), []);
  write(["draining", "draining", "draining"]);
  assert.ok(found().length > 0 && found().every((name) => name === "availability-budget"));
  const before = found().length;
  write(["serving", "serving", "serving"]);
  oracle.fleet.lost("s2");
  advance(LOSS_KNOWN_MS);
  write(["serving", "draining", "serving"]);
  assert.is(found().length, before);
  write(["serving", "serving", "serving"]);
  oracle.fleet.lost("s0");
  advance(LOSS_KNOWN_MS);
  write(["serving", "draining", "serving"]);
  assert.is(found().length, before + 1);
});

test("an instance that is in two pools, moved while in use or used while moving is reported", () => {
  const { oracle, found } = fixture();
  const write = (servers: readonly ServerRecord[], group = "g"): void => {
    oracle.fleet.written({ group, servers: [...servers, server(`other-${group}`, "serving")] });
  };
  write([server("s1", "serving")]);
  write([server("s1", "draining")]);
  write([server("s1", "empty")]);
  write([server("s1", "serving", { pool: "other", epoch: 2 })]);
  assert.equal(found(), []);
  oracle.requests.sent(call("a"));
  oracle.started("s1", "a", task("a"), ["main"]);
  assert.equal(found(), ["one-pool"]);
  write([server("s1", "empty", { pool: "other", epoch: 2 })]);
  assert.is(found().length, 2);
  oracle.requests.sent(call("b"));
  oracle.started("s1", "b", task("b"), ["other"]);
  assert.is(found().length, 3);
  write([server("s1", "serving", { pool: "main", epoch: 2 })]);
  assert.is(found().length, 4);
  write([server("s2", "serving"), server("s2", "serving")]);
  assert.is(found().length, 5);
  write([server("s2", "serving")]);
  write([server("s2", "serving")], "h");
  assert.is(found().length, 6);
  assert.ok(found().every((name) => name === "one-pool"));
});

test("a configuration that reverts, in the store or at an entry, is reported", () => {
  const { oracle, found } = fixture();
  oracle.operators.accepted(config(2, { limit: 2, minAvailable: 1 }));
  oracle.operators.revisionReported("e1", 1);
  oracle.operators.revisionReported("e1", 2);
  assert.equal(found(), []);
  oracle.operators.revisionReported("e1", 1);
  oracle.operators.accepted(config(2, { limit: 2, minAvailable: 1 }));
  oracle.operators.revisionReported("e2", 7);
  assert.equal(found(), ["configuration", "configuration", "configuration"]);
  oracle.raced([true, false]);
  assert.is(found().length, 3);
  oracle.raced([true, true]);
  assert.is(found().length, 4);
});

test("a call without a reply at a shutdown, a late recovery and an exception are reported", () => {
  const { oracle, found } = fixture();
  oracle.shutdownCompleted("e1", []);
  assert.equal(found(), []);
  oracle.shutdownCompleted("e1", ["a"]);
  oracle.notRecovered("red runs 1 of 2");
  oracle.threw("handler", new Error("x"));
  assert.equal(found(), ["shutdown", "liveness", "liveness"]);
});

test("a running request that a fault-free shutdown interrupts is reported", () => {
  const { oracle, advance, found } = fixture();
  const calls = ["a", "b", "c"].map((nonce) => oracle.requests.sent(call(nonce)));
  for (const nonce of ["a", "b"]) oracle.started("s1", nonce, task(nonce), ["main"]);
  assert.equal(
    calls.map((one) => oracle.requests.isRunning(one)),
    [true, true, false],
  );
  oracle.ended("s1", "a", task("a"));
  oracle.requests.replied(calls[0]!, answer("a/a", "a"));
  oracle.requests.replied(calls[1]!, refusal("unknown"));
  oracle.checkInterruptedCalls("e1", [calls[0]!, calls[1]!]);
  assert.equal(found(), ["shutdown"]);
  advance(1000);
  oracle.requests.replied(calls[1]!, refusal("unknown"));
  oracle.checkInterruptedCalls("e1", [calls[1]!]);
  assert.equal(found(), ["shutdown"]);
});

test("a call is unresolved until it has an outcome or loses its connection", () => {
  const { oracle } = fixture();
  const [a, b, c] = ["a", "b", "c"].map((nonce) => oracle.requests.sent(call(nonce)));
  oracle.requests.replied(a!, { kind: "pending", requestId: "id-a" });
  oracle.requests.lost(b!);
  assert.equal(oracle.requests.unresolved(), [
    { call: a, requestId: "id-a" },
    { call: c, requestId: undefined },
  ]);
  oracle.requests.queried(a!, refusal("unknown"));
  oracle.requests.replied(c!, refusal("unknown"));
  assert.equal(oracle.requests.unresolved(), []);
});

test.run();
