import { test } from "uvu";
import * as assert from "uvu/assert";
import { cautiousFactory } from "./cautious-entry.ts";
import { entryFactory } from "./product.ts";
import { SERVED_FAULTS, measureServedTotal } from "./served.ts";

// Which budgets are unusable in a partition depends on the seed, so several runs are compared.
const SEED = 1;
const RUNS = 3;

for (const fault of SERVED_FAULTS) {
  // Guards against a product that refuses requests during a fault. Refusing keeps every guarantee
  // about requests, so the other tests would not detect it.
  test(`the product answers at least as many requests as the baseline: ${fault.name}`, async () => {
    const options = { seed: SEED, runs: RUNS, fault };
    const product = await measureServedTotal({ ...options, factory: entryFactory });
    const baseline = await measureServedTotal({
      ...options,
      factory: cautiousFactory(entryFactory),
    });
    assert.is(product.violations, 0);
    assert.ok(product.answered >= baseline.answered, JSON.stringify({ product, baseline }));
  });
}

test.run();
