import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  connect,
  entryFixture,
  fixtureRequest,
  exchangeGossip,
  advanceUntilSettled,
  payloadText,
  summary,
  type EntryFixture,
} from "../fakes/entry-fixture.ts";
import { VirtualClock } from "../fakes/virtual-clock.ts";

const KEYED = { idempotencyKey: "order-1" };

/** Two connected entries; the first one owns all keys that are not issued ids. */
function pair(servers: { readonly first?: number; readonly second?: number } = {}): {
  readonly clock: VirtualClock;
  readonly first: EntryFixture;
  readonly second: EntryFixture;
} {
  const clock = new VirtualClock();
  const first = entryFixture({ name: "e1", clock });
  const second = entryFixture({ name: "e2", clock });
  if (servers.first !== undefined) first.held.add("s1", { slots: servers.first });
  if (servers.second !== undefined) second.held.add("s2", { slots: servers.second });
  connect(first, second);
  return { clock, first, second };
}

// Guards against two entries dispatching the same request because each considers itself the owner.
test("a request with a key is passed to its owner, whichever entry receives it", async () => {
  const { clock, first, second } = pair({ first: 2, second: 2 });
  const replies = Promise.all([first.submit(KEYED), second.submit(KEYED)]);
  assert.equal((await advanceUntilSettled(clock, replies)).map(summary), ["answer", "answer"]);
  assert.is(first.held.started.length + second.held.started.length, 1);
});

// Guards against reporting a request as not run when the only entry that knows is unreachable.
test("a request with an unreachable owner is reported as unknown", async () => {
  const { clock, second } = pair({ second: 2 });
  second.peers.rule = () => "not-sent";
  assert.is(
    summary(await advanceUntilSettled(clock, second.submit(KEYED))),
    "home_unreachable ran=unknown",
  );
  assert.is(summary(await advanceUntilSettled(clock, second.submit())), "answer");
  second.ownership.lookupOverrides.set("red:jobs:x", { kind: "moving" });
  const moving = await advanceUntilSettled(clock, second.submit({ idempotencyKey: "x" }));
  assert.is(summary(moving), "home_moving ran=unknown");
});

// Guards against a second run when the owner's reply is lost.
test("a repeated call after a lost reply of the owner attaches to the same request", async () => {
  const { clock, first, second } = pair({ first: 2 });
  let calls = 0;
  second.peers.rule = () => (calls++ === 0 ? "lose-reply" : "deliver");
  assert.is(summary(await advanceUntilSettled(clock, second.submit(KEYED))), "answer");
  assert.is(first.held.started.length, 1);
});

// Guards against a caller without an answer because its request outlasts one call to the owner.
test("a long request owned by another entry is awaited until the deadline", async () => {
  const { clock, first, second } = pair({ first: 2 });
  first.held.runMs = 7000;
  assert.is(summary(await advanceUntilSettled(clock, second.submit(KEYED))), "answer");
  const late = await advanceUntilSettled(
    clock,
    second.submit({ idempotencyKey: "b", timeoutMs: 3000 }),
  );
  assert.is(summary(late), "outcome_unknown ran=unknown");
  const { requestId } = first.held.started[1]!.spec;
  const query = second.path.requests.query(requestId, "key-red", 6000);
  assert.is(summary(await advanceUntilSettled(clock, query)), "answer");
  const cancel = second.path.requests.cancel(requestId, "key-blue");
  assert.is(summary(await advanceUntilSettled(clock, cancel)), "id_unknown ran=unknown");
});

// Guards against unused slots at one entry while work waits at another.
test("work without a free slot runs at a peer, is charged there and answered by its owner", async () => {
  const { clock, first, second } = pair({ second: 2 });
  const reply = await advanceUntilSettled(clock, first.submit());
  assert.is(payloadText(reply), "hello");
  const { spec } = second.held.started[0]!;
  assert.is(`${spec.home} ${spec.chargedTo}`, "e1 e2");
  await clock.until(() => second.held.acknowledged.length === 1);
  assert.is(second.budgets.running("red"), 0);
  assert.is(first.budgets.charges.size, 0);
});

// Guards against starting an offer that its owner has abandoned.
test("an offer is declined when it expires, and its attempt never starts", async () => {
  const { clock, second } = pair({ second: 1 });
  second.held.runMs = undefined;
  void second.submit();
  await clock.until(() => second.held.started.length === 1);
  const reply = await advanceUntilSettled(clock, offer(second, { offerMs: 300 }));
  assert.equal(reply, { type: "run-reply", kind: "declined", reason: "deadline" });
  second.held.add("s3");
  await clock.advance(1000);
  assert.is(second.held.started.length, 1);
});

// Guards against starting an attempt twice when its offer arrives twice.
test("a repeated offer gets the same reply", async () => {
  const { clock, second } = pair({ second: 2 });
  const replies = await advanceUntilSettled(clock, Promise.all([offer(second), offer(second)]));
  assert.equal(replies[0], { type: "run-reply", kind: "started", server: "s2" });
  assert.equal(replies[1], replies[0]);
  assert.is(second.held.started.length, 1);
});

// Guards against reporting an attempt as not started although a stopping peer started it.
test("a stopping entry declines new offers and repeats its reply to earlier ones", async () => {
  const { clock, second } = pair({ second: 2 });
  const started = await advanceUntilSettled(clock, offer(second));
  second.path.requests.stop();
  assert.equal(await advanceUntilSettled(clock, offer(second, { offerMs: 0 })), started);
  const reply = await advanceUntilSettled(clock, offer(second, { attempt: 2 }));
  assert.is(reply.type === "run-reply" && reply.kind, "declined");
});

// Guards against starting work for an owner that has already been replaced.
test("an offer from a retired owner is declined", async () => {
  const { clock, second } = pair({ second: 2 });
  second.ownership.retiredIncarnations.add("e1");
  const reply = await advanceUntilSettled(clock, offer(second));
  assert.is(reply.type === "run-reply" && reply.kind, "declined");
  assert.is(second.held.started.length, 0);
});

// Guards against starting a withdrawn offer that arrives late.
test("an offer that arrives after its withdrawal is declined", async () => {
  const { clock, first, second } = pair({ second: 2 });
  const cancel = { type: "run-cancel", requestId: "e1.9", attempt: 1 } as const;
  await second.path.peerRequests.handlePeer(first.peers.self, cancel);
  const reply = await advanceUntilSettled(clock, offer(second));
  assert.is(reply.type === "run-reply" && reply.kind, "declined");
});

// Guards against a second run when the reply to an offer is lost.
test("the status of an offer is queried after a lost reply and the offer is not repeated", async () => {
  for (const fate of ["lose-reply", "lose-call"] as const) {
    const { clock, first, second } = pair({ second: 2 });
    second.held.runMs = 8000;
    let offers = 0;
    first.peers.rule = (_to, req) => (req.type === "run" && offers++ === 0 ? fate : "deliver");
    const reply = first.submit({ timeoutMs: 30_000 });
    const repeatGossip = (): void => {
      exchangeGossip(first, second);
      clock.schedule(500, repeatGossip);
    };
    repeatGossip();
    assert.is(summary(await advanceUntilSettled(clock, reply)), "answer");
    assert.is(second.held.started.length, 1);
  }
});

// Guards against requests that never get an outcome because the peer that accepted them is lost.
test("a request offered to a lost peer is unknown at its deadline, or retried if idempotent", async () => {
  for (const [queue, expected] of [
    ["jobs", "outcome_unknown ran=unknown"],
    ["repeat", "answer"],
  ] as const) {
    const { clock, first, second } = pair({ second: 2 });
    first.peers.rule = (_to, req) => (req.type === "run" ? "lose-call" : "not-sent");
    const req = fixtureRequest({ queue, timeoutMs: 8000 });
    const pending = await first.path.requests.submit(req, "async");
    await clock.advance(3000);
    first.peers.states.clear();
    first.held.add("s1");
    await clock.advance(12_000);
    const { requestId } = pending as { readonly requestId: string };
    const reply = first.path.requests.query(requestId, "key-red", 0);
    assert.is(summary(await advanceUntilSettled(clock, reply)), expected);
    assert.is(second.held.started.length, 0);
  }
});

// Guards against discarding a result before its owner has stored it.
test("a result is resent until its owner accepts it and acknowledged only then", async () => {
  const { clock, first, second } = pair({ second: 2 });
  let down = true;
  second.peers.rule = (_to, req) => (req.type === "result" && down ? "not-sent" : "deliver");
  const reply = first.submit();
  await clock.advance(3000);
  assert.is(second.held.acknowledged.length, 0);
  down = false;
  assert.is(summary(await advanceUntilSettled(clock, reply)), "answer");
  await clock.until(() => second.held.acknowledged.length === 1);
});

// Guards against losing a result together with the owner of its request.
test("the result of a lost owner's request is found at the holder of its server", async () => {
  const { clock, first, second } = pair({ second: 2 });
  const spec = { ...fixtureSpec(), home: "e9", chargedTo: "e9", attempt: 1 };
  for (const { ownership } of [first, second])
    ownership.lookupOverrides.set(spec.requestId, { kind: "gone" });
  second.held.report({ server: "s2", spec }, { kind: "answer", payload: spec.payload });
  const found = first.path.requests.query(spec.requestId, "key-red", 0);
  assert.is(summary(await advanceUntilSettled(clock, found)), "answer");
  const otherTeam = first.path.requests.query(spec.requestId, "key-blue", 0);
  assert.is(summary(await advanceUntilSettled(clock, otherTeam)), "outcome_unknown ran=unknown");
  const unknownKey = first.path.requests.query(spec.requestId, "key-nobody", 0);
  assert.is(summary(await advanceUntilSettled(clock, unknownKey)), "key_unknown ran=unknown");
  assert.is(second.held.acknowledged.length, 0);
});

// Guards against dropping a result because the owner of its request changed after a failure.
test("a retry after a takeover gets the result that a server still has", async () => {
  const { clock, first, second } = pair({ second: 2 });
  const requestId = "red:jobs:order-1";
  const spec = { ...fixtureSpec(), requestId, home: "e9", chargedTo: "e9", attempt: 1 };
  first.ownership.idStatuses.set(requestId, "too-old");
  second.held.report({ server: "s2", spec }, { kind: "answer", payload: spec.payload });
  await clock.advance(100);
  assert.is(summary(await advanceUntilSettled(clock, second.submit(KEYED))), "answer");
  const otherTeam = await advanceUntilSettled(
    clock,
    first.path.requests.query(requestId, "key-blue", 0),
  );
  assert.is(summary(otherTeam), "id_unknown ran=unknown");
  assert.is(first.held.started.length + second.held.started.length, 0);
});

// Guards against an endless loop of offers that blocks all other work of the process.
test("offers of urgent work to an unreachable peer are not repeated without a pause", async () => {
  const { clock, first, second } = pair({ second: 2 });
  exchangeGossip(first, second);
  let calls = 0;
  first.peers.rule = () => {
    if (++calls > 1000) throw new Error("endless offers");
    return "not-sent";
  };
  const reply = first.submit({ priority: "urgent", timeoutMs: 1000 });
  assert.match(summary(await advanceUntilSettled(clock, reply)), "ran=no");
  assert.ok(calls >= 2 && calls <= 20, `${calls} calls`);
});

// Guards against a request without an outcome because the peer that may have run it is lost.
test("an offer without a reply becomes unknown after the deadline, until a result arrives", async () => {
  const { clock, first, second } = pair({ second: 2 });
  second.held.runMs = 10_000;
  exchangeGossip(first, second);
  first.peers.rule = () => (second.held.started.length === 0 ? "lose-reply" : "not-sent");
  const req = fixtureRequest({ timeoutMs: 2000 });
  const pending = await first.path.requests.submit(req, "async");
  const { requestId } = pending as { readonly requestId: string };
  await clock.advance(7000);
  const query = () =>
    advanceUntilSettled(clock, first.path.requests.query(requestId, "key-red", 0));
  assert.is(summary(await query()), "outcome_unknown ran=unknown");
  await clock.advance(5000);
  assert.is(summary(await query()), "answer");
});

// Guards against a shutdown that aborts requests or misreports whether they ran.
test("a shutdown hands queued work to peers and finishes running requests", async () => {
  const { clock, first, second } = pair({ first: 1, second: 1 });
  first.held.runMs = 2000;
  second.held.runMs = 2000;
  const blocker = second.submit();
  const running = first.submit();
  await clock.advance(10);
  exchangeGossip(first, second);
  const queued = first.submit();
  await clock.advance(10);
  const shutdown = first.path.shutdown(20_000);
  assert.is(summary(await advanceUntilSettled(clock, first.submit())), "stopping ran=no");
  const replies = await advanceUntilSettled(clock, Promise.all([blocker, running, queued]));
  assert.equal(replies.map(summary), ["answer", "answer", "answer"]);
  await advanceUntilSettled(clock, shutdown);
});

// Guards against a shutdown that leaves queued work without a reply.
test("a shutdown without peers refuses queued work as not run", async () => {
  const { clock, path, submit } = entryFixture();
  const queued = submit();
  await clock.advance(10);
  const shutdown = path.shutdown(1000);
  assert.is(summary(await advanceUntilSettled(clock, queued)), "stopping ran=no");
  await advanceUntilSettled(clock, shutdown);
});

// Guards against a shutdown that ends before the caller of a longer task has a reply.
test("a shutdown replies to callers of tasks that take longer than the shutdown", async () => {
  const { clock, path, held, submit } = entryFixture();
  held.add("s1");
  held.runMs = 5000;
  const running = submit();
  await clock.until(() => held.started.length === 1);
  await advanceUntilSettled(clock, path.shutdown(1000));
  assert.is(summary(await running), "outcome_unknown ran=unknown");
});

function fixtureSpec() {
  const { payload, priority } = fixtureRequest();
  const requestId = "e1.9";
  return { requestId, team: "red", queue: "jobs", priority, idempotent: false, payload };
}

function offer(to: EntryFixture, { offerMs = 1000, attempt = 1 } = {}) {
  const spec = { ...fixtureSpec(), timeoutMs: 5000 };
  const hello = { ...to.peers.self, incarnation: "e1" };
  const req = { type: "run", spec, attempt, home: "e1", offerMs } as const;
  return to.path.peerRequests.handlePeer(hello, req);
}

test.run();
