import { test } from "uvu";
import * as assert from "uvu/assert";
import { entryFixture, onClock, summary } from "../fakes/entry-fixture.ts";

// Guards against a request path that loses or alters the answer.
test("a request is answered with its backend server's response", async () => {
  const { clock, held, submit, budgets } = entryFixture();
  held.add("s1");
  const reply = await onClock(clock, submit());
  assert.is(reply.kind === "answer" && Buffer.from(reply.payload.body).toString(), "hello");
  assert.is(held.acknowledged.length, 1);
  assert.is(budgets.running("red"), 0);
});

// Guards against a refusal at the deadline that claims less or more than is known.
test("a request still queued at its deadline is refused as not run", async () => {
  const { clock, submit } = entryFixture();
  const reply = await onClock(clock, submit({ timeoutMs: 500 }));
  assert.is(summary(reply), "deadline ran=no");
});

test.run();
