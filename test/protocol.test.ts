import { test } from "uvu";
import * as assert from "uvu/assert";
import { REFUSAL_REASONS, RETRY_REASONS } from "../src/protocol/problem.ts";

// Guards against two counters or problem types under one name.
test("every refusal and retry reason has a name of its own", () => {
  assert.is(new Set(REFUSAL_REASONS).size, REFUSAL_REASONS.length);
  assert.is(new Set(RETRY_REASONS).size, RETRY_REASONS.length);
});

test.run();
