import { test } from "uvu";
import * as assert from "uvu/assert";
import { TenureHistory } from "../../../src/state/jobs/election/tenure-history.ts";

test("a tenure had begun when it, or else the next later one, was first seen", () => {
  const history = new TenureHistory();
  assert.is(history.begunBy(5), undefined);
  history.seen(5, 1000);
  history.seen(9, 2000);
  assert.is(history.begunBy(5), 1000);
  assert.is(history.begunBy(7), 2000, "this process has not seen it");
  assert.is(history.begunBy(10), undefined);
});

// Guards against a begin that moves when the same lock is read again, or an older record arrives late.
test("only the first sight of a tenure counts", () => {
  const history = new TenureHistory();
  history.seen(9, 2000);
  history.seen(9, 3000);
  history.seen(5, 4000);
  assert.is(history.begunBy(5), 2000);
  assert.is(history.begunBy(9), 2000);
});

test("forgotten tenures had begun when a later one was seen", () => {
  const history = new TenureHistory();
  for (let token = 1; token <= 100; token++) history.seen(token, 1000 * token);
  assert.ok((history.begunBy(1) ?? 0) > 80_000);
  assert.is(history.begunBy(100), 100_000);
});

test.run();
