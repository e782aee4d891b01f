import { test } from "uvu";
import * as assert from "uvu/assert";
import { NOOP_LOG } from "../fakes/observability-fakes.ts";
import { fuzz } from "./campaign.ts";
import { productFactory } from "./product.ts";

// Short campaigns that run in every test run; `npm run fuzz` runs longer ones.
const SEEDS = [1, 2, 3];
const RUNS = 8;

for (const seed of SEEDS) {
  test(`no guarantee is violated in ${RUNS} runs of seed ${seed}`, async () => {
    const { failure } = await fuzz({ seed, runs: RUNS, factory: productFactory, log: NOOP_LOG });
    assert.is(failure, undefined, JSON.stringify(failure, undefined, 2));
  });
}

test.run();
