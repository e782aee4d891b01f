import { test } from "uvu";
import * as assert from "uvu/assert";
import { baselineFactory } from "./baseline-entry.ts";
import { productFactory } from "./product.ts";
import { FAULT_SCENARIOS, measureServedTotal } from "./served.ts";

// Which budgets are unusable in a partition depends on the seed, so several runs are compared.
const SEED = 1;
const RUNS = 3;

for (const fault of FAULT_SCENARIOS) {
  // Guards against a product that refuses requests during a fault. Refusing keeps every guarantee
  // about requests, so the other tests would not detect it.
  test(`the product answers at least as many requests as the baseline: ${fault.name}`, async () => {
    const options = { seed: SEED, runs: RUNS, fault };
    const product = await measureServedTotal({ ...options, factory: productFactory });
    const baseline = await measureServedTotal({
      ...options,
      factory: baselineFactory(productFactory),
    });
    assert.is(product.violations, 0);
    assert.ok(product.answered >= baseline.answered, JSON.stringify({ product, baseline }));
  });
}

test.run();
