import { test } from "uvu";
import * as assert from "uvu/assert";
import { ExecutorClocks } from "../../../src/state/jobs/execution/executor-clocks.ts";

// Guards against expiry times that are taken from an old reading or from the local clock.
test("times of an executor count from its newest reading and when that arrived", () => {
  const clocks = new ExecutorClocks();
  assert.is(clocks.at(100), undefined);
  clocks.update({ now: 9000, wallTime: 70_000 }, 100);
  assert.equal(clocks.at(700), { now: 9600, wallTime: 70_600 });
  clocks.update({ now: 9500, wallTime: 50_000 }, 650);
  assert.equal(clocks.at(700), { now: 9550, wallTime: 50_050 });
});

test.run();
