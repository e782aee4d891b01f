import { test } from "uvu";
import * as assert from "uvu/assert";
import { fixtureConfig } from "../fakes/entry-fakes.ts";
import {
  entryFixture,
  fixtureRequest,
  advanceUntilSettled,
  summary,
} from "../fakes/entry-fixture.ts";

// Guards against work accepted without a valid key, and against reporting a request with an
// idempotency key as not run before its owner was asked.
test("work is accepted only with a key whose team may use the queue", async () => {
  const config = fixtureConfig({ shares: { red: 1, narrow: 1 } });
  const { clock, submit, held } = entryFixture({ config });
  held.add("s1");
  const replies = [
    submit({ key: undefined }),
    submit({ key: "key-nobody" }),
    submit({ key: "key-narrow" }),
    submit({ queue: "none" }),
    submit({ key: undefined, idempotencyKey: "a" }),
    submit({ queue: "open", key: undefined }),
    submit({ queue: "repeat", key: "key-narrow" }),
  ];
  assert.equal((await advanceUntilSettled(clock, Promise.all(replies))).map(summary), [
    "key_missing ran=no",
    "key_unknown ran=no",
    "key_not_allowed ran=no",
    "unknown_queue ran=no",
    "key_missing ran=unknown",
    "answer",
    "answer",
  ]);
});

// Guards against accepting keys that may have been revoked since the last confirmation.
test("a stale configuration refuses new keyed work and affects nothing else", async () => {
  const { clock, submit, held, config, path } = entryFixture();
  held.add("s1");
  held.runMs = 1000;
  const running = submit();
  await clock.advance(10);
  config.allowsKeyedWork = false;
  assert.is(summary(await advanceUntilSettled(clock, submit())), "config_stale ran=no");
  assert.is(summary(await advanceUntilSettled(clock, submit({ queue: "open" }))), "answer");
  assert.is(summary(await advanceUntilSettled(clock, running)), "answer");
  const { requestId } = held.started[0]!.spec;
  assert.is(summary(await path.requests.query(requestId, "key-red", 0)), "answer");
  config.document = undefined;
  assert.is(summary(await advanceUntilSettled(clock, submit())), "config_missing ran=no");
});

// Guards against cancelled work that still starts, and against a retry that starts it again.
test("a cancelled queued request never starts, and its budget demand drops to zero at once", async () => {
  const { clock, held, path, budgets, submit } = entryFixture();
  held.add("s1");
  budgets.setLimit("red", 0);
  const req = fixtureRequest({ idempotencyKey: "a" });
  const pending = await path.requests.submit(req, "async");
  assert.is(pending.kind, "pending");
  const { requestId } = pending as { readonly requestId: string };
  assert.is(budgets.demand.get("red"), 1);
  const otherTeam = await path.requests.cancel(requestId, "key-blue");
  assert.is(summary(otherTeam), "id_unknown ran=unknown");
  const reply = await advanceUntilSettled(clock, path.requests.cancel(requestId, "key-red"));
  assert.is(summary(reply), "cancelled ran=no");
  budgets.setLimit("red", 5);
  assert.is(
    summary(await advanceUntilSettled(clock, submit({ idempotencyKey: "a" }))),
    "cancelled ran=no",
  );
  assert.is(held.started.length, 0);
  assert.is(budgets.demand.get("red"), 0);
});

// Guards against an entry keeping budget beyond its slots while a peer with free slots lacks it.
test("budget is requested only up to what the held slots can use", async () => {
  const { clock, held, budgets, submit } = entryFixture();
  held.runMs = undefined;
  budgets.setLimit("red", 2);
  for (let n = 0; n < 4; n++) void submit();
  await clock.advance(10);
  assert.is(budgets.demand.get("red") ?? 0, 0);
  held.add("s1", { slots: 3 });
  await clock.until(() => held.started.length === 2);
  assert.is(budgets.demand.get("red"), 1);
});

// Guards against refusing a query for an open queue's request because the caller sends a key.
test("an open queue's request can be queried with any key or none", async () => {
  const { clock, held, path, submit } = entryFixture();
  held.add("s1");
  const keys = ["key-red", "key-blue", undefined];
  assert.is(summary(await advanceUntilSettled(clock, submit({ queue: "open" }))), "answer");
  const { requestId } = held.started[0]!.spec;
  const replies = await Promise.all(keys.map((key) => path.requests.query(requestId, key, 0)));
  assert.equal(replies.map(summary), ["answer", "answer", "answer"]);
});

// Guards against a cancellation that leaves the task running or reports it as not run.
test("a running request is stopped when cancelled", async () => {
  const { clock, held, path, submit } = entryFixture();
  held.add("s1");
  held.runMs = undefined;
  const reply = submit();
  await clock.until(() => held.started.length === 1);
  const { requestId } = held.started[0]!.spec;
  const cancelled = await advanceUntilSettled(clock, path.requests.cancel(requestId, "key-red"));
  assert.is(summary(cancelled), "cancelled ran=yes");
  assert.is(summary(await advanceUntilSettled(clock, reply)), "cancelled ran=yes");
  assert.is(held.stopped.length, 1);
});

// Guards against endless retries of a job that cannot run, or of all jobs of a faulty server.
test("a job that fails on three servers is refused with the reasons of the failures", async () => {
  const { clock, held, submit, counters } = entryFixture();
  for (const name of ["s1", "s2", "s3", "s4"]) held.add(name);
  held.result = () => ({ kind: "failure", reason: "no input" });
  const reply = await advanceUntilSettled(clock, submit({ queue: "repeat" }));
  assert.is(summary(reply), "bad_job ran=yes");
  assert.match(reply.kind === "refusal" ? reply.refusal.detail : "", /s\d: no input; s\d/);
  assert.is(new Set(held.started.map((task) => task.server)).size, 3);
  assert.is(counters.count("retry_task_failed"), 2);
  assert.is(summary(await advanceUntilSettled(clock, submit())), "task_failed ran=yes");
});

// Guards against a queue that grows until every request in it misses its deadline.
test("a request whose expected wait exceeds its deadline is refused at once", async () => {
  const { clock, held, submit } = entryFixture();
  held.add("s1", { slots: 1 });
  held.runMs = 100;
  const first = Array.from({ length: 20 }, () => submit({ timeoutMs: 60_000 }));
  await clock.advance(0);
  const before = clock.now();
  const reply = await advanceUntilSettled(clock, submit({ timeoutMs: 500 }));
  assert.is(summary(reply), "overload ran=no");
  assert.ok(clock.now() - before < 100);
  assert.ok(reply.kind === "refusal" && (reply.refusal.retryAfterMs ?? 0) >= 1000);
  assert.is(
    summary(await advanceUntilSettled(clock, submit({ key: "key-blue", timeoutMs: 500 }))),
    "answer",
  );
  const replies = await advanceUntilSettled(clock, Promise.all(first));
  assert.ok(replies.every((each) => each.kind === "answer"));
});

test.run();
