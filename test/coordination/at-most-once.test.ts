import { test } from "uvu";
import * as assert from "uvu/assert";
import type { TaskSpec } from "../../src/ports/backend-server.ts";
import { entryFixture, advanceUntilSettled, summary } from "../fakes/entry-fixture.ts";

const KEYED = { idempotencyKey: "order-1" };

// Guards against losing or changing a response, and against a budget charge that outlives its task.
test("a request is answered with its backend server's response", async () => {
  const { clock, held, submit, budgets } = entryFixture();
  held.add("s1");
  const reply = await advanceUntilSettled(clock, submit());
  assert.is(reply.kind === "answer" && Buffer.from(reply.payload.body).toString(), "hello");
  assert.is(held.acknowledged.length, 1);
  assert.is(budgets.running("red"), 0);
});

// Guards against a second run when a caller retries its request.
test("a retry attaches to the running request and later gets the stored answer", async () => {
  const { clock, held, submit } = entryFixture();
  held.add("s1");
  const replies = await advanceUntilSettled(clock, Promise.all([submit(KEYED), submit(KEYED)]));
  const later = await advanceUntilSettled(clock, submit(KEYED));
  assert.equal([...replies, later].map(summary), ["answer", "answer", "answer"]);
  assert.is(held.started.length, 1);
});

// Guards against returning one request's answer to a different request that uses the same id.
test("another body, or another team's use of an issued id, is refused as not run", async () => {
  const { clock, held, submit, path } = entryFixture();
  held.add("s1");
  const idempotencyKey = path.requests.issueId();
  await advanceUntilSettled(clock, submit({ idempotencyKey }));
  const payload = { contentType: "text/plain", body: Buffer.from("other") };
  const other = await advanceUntilSettled(clock, submit({ idempotencyKey, payload }));
  assert.is(summary(other), "id_body_mismatch ran=no");
  const otherTeam = await advanceUntilSettled(clock, submit({ idempotencyKey, key: "key-blue" }));
  assert.is(summary(otherTeam), "id_body_mismatch ran=no");
  assert.is(held.started.length, 1);
});

// Guards against a second run when the reply to a start is lost.
test("an ambiguous start that took effect is answered by its server and not repeated", async () => {
  const { clock, held, submit } = entryFixture();
  held.add("s1");
  held.runMs = 3000;
  held.rule = () => ({ kind: "ambiguous" });
  assert.is(summary(await advanceUntilSettled(clock, submit())), "answer");
  assert.is(held.started.length, 1);
});

// Guards against losing a request although the server's task list shows that it never started.
test("an ambiguous start that is known not to have happened is dispatched again", async () => {
  const { clock, held, submit, budgets } = entryFixture();
  held.add("s1");
  held.runMs = undefined;
  held.rule = (_server, spec) => (spec.attempt === 1 ? { kind: "ambiguous" } : undefined);
  const reply = submit();
  await clock.until(() => held.started.length === 1);
  held.statuses.set(`${held.started[0]!.spec.requestId}#1`, "never-started");
  await clock.until(() => held.started.length === 2);
  assert.is(budgets.running("red"), 1);
  held.finish(held.started[1]!.spec, { kind: "stopped", checkpointed: false });
  assert.is(summary(await advanceUntilSettled(clock, reply)), "task_failed ran=yes");
});

// Guards against retrying a non-idempotent request that may have run, or reporting it as not run.
test("the outcome of a lost attempt is unknown; only idempotent requests are retried", async () => {
  for (const [queue, expected, starts] of [
    ["jobs", "outcome_unknown ran=unknown", 1],
    ["repeat", "answer", 2],
  ] as const) {
    const { clock, held, submit, counters } = entryFixture();
    held.add("s1");
    held.add("s2");
    held.runMs = undefined;
    const reply = submit({ queue });
    await clock.until(() => held.started.length === 1);
    const first = held.started[0]!;
    held.statuses.set(`${first.spec.requestId}#1`, "lost");
    held.runMs = 20;
    assert.is(summary(await advanceUntilSettled(clock, reply)), expected);
    assert.is(held.started.length, starts);
    assert.is(new Set(held.started.map((task) => task.server)).size, starts);
    assert.is(counters.count("retry_server_lost"), starts - 1);
  }
});

// Guards against an outcome that stays unknown although the result arrives later.
test("a result that arrives after the deadline is stored for later queries of its team", async () => {
  const { clock, held, submit, path } = entryFixture();
  held.add("s1");
  held.runMs = 5000;
  const reply = await advanceUntilSettled(clock, submit({ timeoutMs: 1000, ...KEYED }));
  assert.is(summary(reply), "outcome_unknown ran=unknown");
  assert.is(summary(await advanceUntilSettled(clock, submit(KEYED))), "answer");
  const { requestId } = held.started[0]!.spec;
  assert.is(summary(await path.requests.query(requestId, "key-red", 0)), "answer");
  assert.is(summary(await path.requests.query(requestId, "key-blue", 0)), "id_unknown ran=unknown");
  assert.is(held.started.length, 1);
});

// Guards against accepting the answer to an earlier attempt as the answer to the current one.
test("a result that matches no current attempt is dropped and counted", async () => {
  const { clock, held, submit, counters } = entryFixture();
  held.add("s1");
  held.runMs = undefined;
  const reply = submit();
  await clock.until(() => held.started.length === 1);
  const { spec } = held.started[0]!;
  const payload = { contentType: "text/plain", body: Buffer.from("stale") };
  held.report({ server: "s1", spec: { ...spec, attempt: 9 } }, { kind: "answer", payload });
  held.report({ server: "s1", spec: { ...spec, requestId: "e1.99" } }, { kind: "answer", payload });
  held.finish(spec, { kind: "answer", payload: spec.payload });
  const answer = await advanceUntilSettled(clock, reply);
  assert.is(answer.kind === "answer" && Buffer.from(answer.payload.body).toString(), "hello");
  assert.is(counters.count("result_unmatched"), 2);
});

// Guards against losing the answer when the result arrives before the reply to the start.
test("a result that arrives before the reply to the start is accepted", async () => {
  const { clock, held, submit } = entryFixture();
  held.add("s1");
  held.runMs = undefined;
  held.rule = (server: string, spec: TaskSpec) => {
    held.report({ server, spec }, { kind: "answer", payload: spec.payload });
    return { kind: "ambiguous" };
  };
  assert.is(summary(await advanceUntilSettled(clock, submit())), "answer");
  assert.is(held.started.length, 1);
});

// Guards against abandoning a request after a refused start, or reusing its attempt number.
test("a refused start is repeated under a new attempt number", async () => {
  const { clock, held, submit, budgets, counters } = entryFixture();
  held.add("s1");
  held.rule = (_server, spec) =>
    spec.attempt < 3 ? { kind: "not-started", reason: "server_full" } : undefined;
  assert.is(summary(await advanceUntilSettled(clock, submit())), "answer");
  assert.is(held.started[0]!.spec.attempt, 3);
  assert.is(counters.count("retry_server_full"), 2);
  assert.is(budgets.running("red"), 0);
});

// Guards against a refusal at the deadline that misstates whether the request ran.
test("a request still queued at its deadline is refused as not run and can be retried", async () => {
  const { clock, held, submit } = entryFixture();
  const none = await advanceUntilSettled(clock, submit({ timeoutMs: 500, ...KEYED }));
  assert.is(summary(none), "no_capacity ran=no");
  held.add("s1", { slots: 1 });
  held.runMs = 1000;
  const first = submit();
  const reply = await advanceUntilSettled(clock, submit({ timeoutMs: 500, ...KEYED }));
  assert.is(summary(reply), "deadline ran=no");
  assert.is(summary(await advanceUntilSettled(clock, first)), "answer");
  assert.is(summary(await advanceUntilSettled(clock, submit(KEYED))), "answer");
});

// Guards against an owner reporting ids as not run although they may predate its records.
test("ids that the owner cannot verify are refused, as not run only if that is certain", async () => {
  const { clock, held, submit, ownership } = entryFixture();
  held.add("s1");
  ownership.idStatuses.set("red:jobs:old", "too-old");
  ownership.idStatuses.set("red:jobs:new", "from-future");
  ownership.idStatuses.set("red:jobs:moved", "not-home");
  const replies = ["old", "new", "moved"].map((key) => submit({ idempotencyKey: key }));
  assert.equal((await advanceUntilSettled(clock, Promise.all(replies))).map(summary), [
    "id_too_old ran=unknown",
    "id_from_future ran=no",
    "home_moving ran=unknown",
  ]);
  assert.is(held.started.length, 0);
});

// Guards against a full id memory that drops ids of requests which must not run twice.
test("a full id memory refuses new keys of non-idempotent requests only", async () => {
  const { clock, held, submit } = entryFixture({ settings: { idMemoryEntries: 2 } });
  held.add("s1");
  for (const idempotencyKey of ["a", "b"])
    await advanceUntilSettled(clock, submit({ idempotencyKey }));
  assert.is(
    summary(await advanceUntilSettled(clock, submit({ idempotencyKey: "c" }))),
    "id_memory_full ran=no",
  );
  assert.is(summary(await advanceUntilSettled(clock, submit({ idempotencyKey: "a" }))), "answer");
  assert.is(summary(await advanceUntilSettled(clock, submit())), "answer");
  const repeat = { queue: "repeat", idempotencyKey: "d" };
  assert.is(summary(await advanceUntilSettled(clock, submit(repeat))), "answer");
  assert.is(held.started.length, 4);
});

// Guards against running a request again after its stored answer has expired.
test("a request whose answer has expired is reported as run and not run again", async () => {
  const { clock, held, submit } = entryFixture({ settings: { resultRetentionMs: 1000 } });
  held.add("s1");
  await advanceUntilSettled(clock, submit(KEYED));
  await clock.advance(1100);
  assert.is(summary(await advanceUntilSettled(clock, submit(KEYED))), "outcome_unknown ran=yes");
  assert.is(held.started.length, 1);
});

test.run();
