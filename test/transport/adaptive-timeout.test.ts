import { test } from "uvu";
import * as assert from "uvu/assert";
import { AdaptiveTimeout } from "../../src/transport/adaptive-timeout.ts";

// Guards against a lost response that delays its retry by the maximum timeout.
test("a single lost response times out long before the maximum timeout", () => {
  const timeout = new AdaptiveTimeout(900);
  for (let call = 0; call < 20; call++) timeout.recordResponse(10);
  assert.ok(timeout.currentMs <= 200);
});

// Guards against retries that all time out before a slow service can respond.
test("the timeout reaches its maximum after some timeouts of a slow service", () => {
  const timeout = new AdaptiveTimeout(900);
  timeout.recordResponse(5);
  for (let call = 0; call < 3; call++) timeout.recordTimeout();
  assert.is(timeout.currentMs, 900);
  for (let call = 0; call < 20; call++) timeout.recordResponse(240);
  assert.is(timeout.currentMs, 900);
});

// Guards against a long timeout that stays in use after the service has recovered.
test("the timeout decreases again when responses are fast", () => {
  const timeout = new AdaptiveTimeout(900);
  for (let call = 0; call < 5; call++) timeout.recordTimeout();
  for (let call = 0; call < 30; call++) timeout.recordResponse(8);
  assert.is(timeout.currentMs, 150);
});

test.run();
