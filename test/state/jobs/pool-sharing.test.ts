import { test } from "uvu";
import * as assert from "uvu/assert";
import { shareInstances } from "../../../src/state/jobs/fleet/pool-sizing.ts";

function claim(pool: string, base: number, onTime: number, all = onTime) {
  return { pool, base, onTime, all };
}

function shares(claims: readonly ReturnType<typeof claim>[], available: number) {
  return Object.fromEntries(shareInstances(claims, available));
}

test("pools get the instances that they request while enough are available", () => {
  assert.equal(shares([claim("a", 1, 4, 6), claim("b", 1, 2)], 10), { a: 6, b: 2 });
});

test("the late backlog of one demand peak does not keep the instances that the next peak needs", () => {
  const lastPeak = claim("a", 2, 2, 20);
  const nextPeak = claim("b", 2, 12);
  assert.equal(shares([lastPeak, nextPeak], 20), { a: 8, b: 12 });
});

test("two simultaneous demand peaks share the fleet in proportion to work that can be on time", () => {
  assert.equal(shares([claim("a", 1, 31), claim("b", 1, 11)], 22), { a: 16, b: 6 });
});

test("long-running tasks keep their instances even if the fleet is too small for them", () => {
  assert.equal(shares([claim("a", 3, 9), claim("b", 3, 9)], 5), { a: 3, b: 3 });
});

test("no instance stays unused while a pool requests one", () => {
  const claims = [claim("a", 1, 6), claim("b", 1, 6), claim("c", 1, 6)];
  const granted = Object.values(shares(claims, 11)).reduce((sum, count) => sum + count, 0);
  assert.is(granted, 11);
});

test.run();
