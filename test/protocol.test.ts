import { test } from "uvu";
import * as assert from "uvu/assert";
import { REFUSAL_REASONS, RETRY_REASONS } from "../src/protocol/refusal.ts";

// Guards against two counters or problem types that share a name.
test("every refusal reason and every retry reason has a unique name", () => {
  assert.is(new Set(REFUSAL_REASONS).size, REFUSAL_REASONS.length);
  assert.is(new Set(RETRY_REASONS).size, RETRY_REASONS.length);
});

test.run();
