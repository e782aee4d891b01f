import { test } from "uvu";
import * as assert from "uvu/assert";
import { Lending } from "../../src/state/lending.ts";
import {
  borrowWait,
  explainBorrowWait,
  concurrentMoveLimit,
} from "../../src/state/planner-weights.ts";
import { EQUAL_WEIGHTS } from "../fakes/builders.ts";
import { exampleConfig } from "../fakes/planned-fleet.ts";

const LENDING = { lendWaitMs: 500, lendAfterMs: 500 };

// Guards against equal weights that change limits, and limits outside the allowed range.
test("limits follow the ratio of two weights, and equal weights leave them as configured", () => {
  const limits = (weights: Partial<typeof EQUAL_WEIGHTS>) => {
    const all = { ...EQUAL_WEIGHTS, ...weights };
    return [concurrentMoveLimit(100, all).limit, borrowWait(LENDING, all).limit];
  };
  const zero = { bufferCost: 0, rolloutTime: 0, moves: 0, closenessToShare: 0 };
  for (const equal of [EQUAL_WEIGHTS, zero]) assert.equal(limits(equal), [5, 500]);
  assert.equal(limits({ bufferCost: 3, closenessToShare: 3 }), [5, 500]);
  assert.equal(limits({ rolloutTime: 3, closenessToShare: 3 }), [15, 250]);
  assert.equal(limits({ bufferCost: 1000 }), [5, 1000]);
  assert.equal(limits({ rolloutTime: 0, moves: 1000 }), [2, 500]);
  assert.equal(limits({ moves: 0, bufferCost: 0 }), [20, 250]);
});

// Guards against weights that delay lending or releasing spare slots too long.
test("a pool borrows within 2 s and releases within 10 s for any weights", () => {
  for (const settings of [LENDING, { lendWaitMs: 1000, lendAfterMs: 800 }]) {
    for (const closenessToShare of [0, 0.5, 1, 3, 1000]) {
      for (const bufferCost of [0, 0.5, 1, 3, 1000]) {
        const weights = { ...EQUAL_WEIGHTS, closenessToShare, bufferCost };
        const borrowWaitMs = borrowWait(settings, weights).limit;
        const lending = new Lending(settings);
        // The wait of the oldest queued item while no slot is freed.
        for (let now = 0; now < 2000; now += 50)
          lending.update("p", { waitMs: now, borrowWaitMs, now });
        assert.ok(lending.isBorrowing("p"), JSON.stringify(weights));
        const waitMs = settings.lendWaitMs / 2 - 1;
        for (let now = 2000; now < 12_000; now += 1000)
          lending.update("p", { waitMs, borrowWaitMs, now });
        assert.not(lending.isBorrowing("p"), JSON.stringify(weights));
      }
    }
  }
});

// Guards against limits that differ from the configured value without an explanation to operators.
test("unequal weights are explained with their names, and equal ones are not", () => {
  const explained = (weights: Partial<typeof EQUAL_WEIGHTS>) => {
    const config = exampleConfig({ weights: { ...EQUAL_WEIGHTS, ...weights } });
    return explainBorrowWait(config, LENDING, 0).map(({ text, figures }) => [text, figures]);
  };
  assert.equal(explained({}), []);
  assert.equal(explained({ closenessToShare: 3 }), [
    [
      "pools borrow at an expected wait of 250 ms where lend_wait_ms is 500",
      { weight_closeness_to_share: 3, weight_buffer_cost: 1 },
    ],
  ]);
});

test.run();
