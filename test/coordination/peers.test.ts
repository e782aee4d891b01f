import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  connect,
  entryFixture,
  fixtureRequest,
  gossip,
  onClock,
  payloadText,
  summary,
  type EntryFixture,
} from "../fakes/entry-fixture.ts";
import { VirtualClock } from "../fakes/virtual-clock.ts";

const KEYED = { idempotencyKey: "order-1" };

/** Two connected entries; keys that are no issued ids have their home at the first. */
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

// Guards against a request that two entries dispatch because each thinks it is the home.
test("a key is passed to its home, wherever it arrives", async () => {
  const { clock, first, second } = pair({ first: 2, second: 2 });
  const replies = Promise.all([first.submit(KEYED), second.submit(KEYED)]);
  assert.equal((await onClock(clock, replies)).map(summary), ["answer", "answer"]);
  assert.is(first.held.started.length + second.held.started.length, 1);
});

// Guards against "not run" when the home, which alone knows, cannot be asked.
test("an unreachable home is reported as unknown", async () => {
  const { clock, second } = pair({ second: 2 });
  second.peers.rule = () => "not-sent";
  assert.is(summary(await onClock(clock, second.submit(KEYED))), "home_unreachable ran=unknown");
  assert.is(summary(await onClock(clock, second.submit())), "answer");
  second.homes.placed.set("red:jobs:x", { kind: "moving" });
  const moving = await onClock(clock, second.submit({ idempotencyKey: "x" }));
  assert.is(summary(moving), "home_moving ran=unknown");
});

// Guards against a second run when the reply of the home is lost.
test("a lost reply of the home leads to the same request, not to another", async () => {
  const { clock, first, second } = pair({ first: 2 });
  let calls = 0;
  second.peers.rule = () => (calls++ === 0 ? "lose-reply" : "deliver");
  assert.is(summary(await onClock(clock, second.submit(KEYED))), "answer");
  assert.is(first.held.started.length, 1);
});

// Guards against a caller that gets no answer because its request outlasts one call to the home.
test("a long request at another home is waited for until the deadline", async () => {
  const { clock, first, second } = pair({ first: 2 });
  first.held.runMs = 7000;
  assert.is(summary(await onClock(clock, second.submit(KEYED))), "answer");
  const late = await onClock(clock, second.submit({ idempotencyKey: "b", timeoutMs: 3000 }));
  assert.is(summary(late), "outcome_unknown ran=unknown");
  const { requestId } = first.held.started[1]!.spec;
  const query = second.path.requests.query(requestId, "key-red", 6000);
  assert.is(summary(await onClock(clock, query)), "answer");
  const cancel = second.path.requests.cancel(requestId, "key-blue");
  assert.is(summary(await onClock(clock, cancel)), "id_unknown ran=unknown");
});

// Guards against free slots at one entry while work waits at another.
test("work without a free slot here runs at a peer, charged there, and is answered here", async () => {
  const { clock, first, second } = pair({ second: 2 });
  const reply = await onClock(clock, first.submit());
  assert.is(payloadText(reply), "hello");
  const { spec } = second.held.started[0]!;
  assert.is(`${spec.home} ${spec.chargedTo}`, "e1 e2");
  await clock.until(() => second.held.acknowledged.length === 1);
  assert.is(second.budgets.running("red"), 0);
  assert.is(first.budgets.charges.size, 0);
});

// Guards against offers that are started after the home has given them up.
test("an offer is declined at its end and its attempt never starts", async () => {
  const { clock, second } = pair({ second: 1 });
  second.held.runMs = undefined;
  void second.submit();
  await clock.until(() => second.held.started.length === 1);
  const reply = await onClock(clock, offer(second, { offerMs: 300 }));
  assert.equal(reply, { type: "run-reply", kind: "declined", reason: "deadline" });
  second.held.add("s3");
  await clock.advance(1000);
  assert.is(second.held.started.length, 1);
});

// Guards against two starts of one attempt when its offer arrives twice.
test("a repeated offer gets the same reply", async () => {
  const { clock, second } = pair({ second: 2 });
  const replies = await onClock(clock, Promise.all([offer(second), offer(second)]));
  assert.equal(replies[0], { type: "run-reply", kind: "started", server: "s2" });
  assert.equal(replies[1], replies[0]);
  assert.is(second.held.started.length, 1);
});

// Guards against "not started" for an attempt that a stopping peer did start.
test("a stopping entry declines new offers and states what became of earlier ones", async () => {
  const { clock, second } = pair({ second: 2 });
  const started = await onClock(clock, offer(second));
  second.path.requests.stop();
  assert.equal(await onClock(clock, offer(second, { offerMs: 0 })), started);
  const reply = await onClock(clock, offer(second, { attempt: 2 }));
  assert.is(reply.type === "run-reply" && reply.kind, "declined");
});

// Guards against work started for a home that others have replaced already.
test("an offer of a retired home is declined", async () => {
  const { clock, second } = pair({ second: 2 });
  second.homes.retiredOnes.add("e1");
  const reply = await onClock(clock, offer(second));
  assert.is(reply.type === "run-reply" && reply.kind, "declined");
  assert.is(second.held.started.length, 0);
});

// Guards against a withdrawn offer that is started when it arrives late.
test("an offer that arrives after its withdrawal is declined", async () => {
  const { clock, first, second } = pair({ second: 2 });
  const cancel = { type: "run-cancel", requestId: "e1.9", attempt: 1 } as const;
  await second.path.peerRequests.handlePeer(first.peers.self, cancel);
  const reply = await onClock(clock, offer(second));
  assert.is(reply.type === "run-reply" && reply.kind, "declined");
});

// Guards against a second run when the reply to an offer is lost.
test("an offer whose reply is lost is asked about and not repeated", async () => {
  for (const fate of ["lose-reply", "lose-call"] as const) {
    const { clock, first, second } = pair({ second: 2 });
    second.held.runMs = 8000;
    let offers = 0;
    first.peers.rule = (_to, req) => (req.type === "run" && offers++ === 0 ? fate : "deliver");
    const reply = first.submit({ timeoutMs: 30_000 });
    const regossip = (): void => {
      gossip(first, second);
      clock.schedule(500, regossip);
    };
    regossip();
    assert.is(summary(await onClock(clock, reply)), "answer");
    assert.is(second.held.started.length, 1);
  }
});

// Guards against requests that never get an outcome because the peer that took them is gone.
test("a request offered to a peer that is lost is unknown at its deadline, or repeated", async () => {
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
    assert.is(summary(await onClock(clock, reply)), expected);
    assert.is(second.held.started.length, 0);
  }
});

// Guards against results that are forgotten before their home has stored them.
test("a result is sent until its home takes it and acknowledged only then", async () => {
  const { clock, first, second } = pair({ second: 2 });
  let down = true;
  second.peers.rule = (_to, req) => (req.type === "result" && down ? "not-sent" : "deliver");
  const reply = first.submit();
  await clock.advance(3000);
  assert.is(second.held.acknowledged.length, 0);
  down = false;
  assert.is(summary(await onClock(clock, reply)), "answer");
  await clock.until(() => second.held.acknowledged.length === 1);
});

// Guards against results lost with their home.
test("the result of a gone home's request is found at the holder of its server", async () => {
  const { clock, first, second } = pair({ second: 2 });
  const spec = { ...fixtureSpec(), home: "e9", chargedTo: "e9", attempt: 1 };
  for (const { homes } of [first, second]) homes.placed.set(spec.requestId, { kind: "gone" });
  second.held.report({ server: "s2", spec }, { kind: "answer", payload: spec.payload });
  const found = first.path.requests.query(spec.requestId, "key-red", 0);
  assert.is(summary(await onClock(clock, found)), "answer");
  const stranger = first.path.requests.query(spec.requestId, "key-blue", 0);
  assert.is(summary(await onClock(clock, stranger)), "outcome_unknown ran=unknown");
  const nobody = first.path.requests.query(spec.requestId, "key-nobody", 0);
  assert.is(summary(await onClock(clock, nobody)), "key_unknown ran=unknown");
  assert.is(second.held.acknowledged.length, 0);
});

// Guards against an answer that is dropped because its home has changed hands after a failure.
test("a retry after a takeover gets the result that a server still has", async () => {
  const { clock, first, second } = pair({ second: 2 });
  const requestId = "red:jobs:order-1";
  const spec = { ...fixtureSpec(), requestId, home: "e9", chargedTo: "e9", attempt: 1 };
  first.homes.verdicts.set(requestId, "too-old");
  second.held.report({ server: "s2", spec }, { kind: "answer", payload: spec.payload });
  await clock.advance(100);
  assert.is(summary(await onClock(clock, second.submit(KEYED))), "answer");
  const stranger = await onClock(clock, first.path.requests.query(requestId, "key-blue", 0));
  assert.is(summary(stranger), "id_unknown ran=unknown");
  assert.is(first.held.started.length + second.held.started.length, 0);
});

// Guards against an endless loop of offers that starves everything else in the process.
test("urgent work is not offered without pause to a peer that is not reached", async () => {
  const { clock, first, second } = pair({ second: 2 });
  gossip(first, second);
  let calls = 0;
  first.peers.rule = () => {
    if (++calls > 1000) throw new Error("endless offers");
    return "not-sent";
  };
  const reply = first.submit({ priority: "urgent", timeoutMs: 1000 });
  assert.match(summary(await onClock(clock, reply)), "ran=no");
  assert.ok(calls >= 2 && calls <= 20, `${calls} calls`);
});

// Guards against a request without an outcome because the peer that may have run it is gone.
test("an offer without a reply becomes unknown after the deadline, until a result arrives", async () => {
  const { clock, first, second } = pair({ second: 2 });
  second.held.runMs = 10_000;
  gossip(first, second);
  first.peers.rule = () => (second.held.started.length === 0 ? "lose-reply" : "not-sent");
  const order = fixtureRequest({ timeoutMs: 2000 });
  const pending = await first.path.requests.submit(order, "async");
  const { requestId } = pending as { readonly requestId: string };
  await clock.advance(7000);
  const ask = () => onClock(clock, first.path.requests.query(requestId, "key-red", 0));
  assert.is(summary(await ask()), "outcome_unknown ran=unknown");
  await clock.advance(5000);
  assert.is(summary(await ask()), "answer");
});

// Guards against a shutdown that cuts requests or refuses them untruthfully.
test("a shutdown hands queued work to peers and finishes running requests", async () => {
  const { clock, first, second } = pair({ first: 1, second: 1 });
  first.held.runMs = 2000;
  second.held.runMs = 2000;
  const blocker = second.submit();
  const running = first.submit();
  await clock.advance(10);
  gossip(first, second);
  const queued = first.submit();
  await clock.advance(10);
  const shutdown = first.path.shutdown(20_000);
  assert.is(summary(await onClock(clock, first.submit())), "stopping ran=no");
  const replies = await onClock(clock, Promise.all([blocker, running, queued]));
  assert.equal(replies.map(summary), ["answer", "answer", "answer"]);
  await onClock(clock, shutdown);
});

// Guards against queued work that a shutdown leaves without an answer.
test("a shutdown without peers refuses queued work as not run", async () => {
  const { clock, path, submit } = entryFixture();
  const queued = submit();
  await clock.advance(10);
  const shutdown = path.shutdown(1000);
  assert.is(summary(await onClock(clock, queued)), "stopping ran=no");
  await onClock(clock, shutdown);
});

// Guards against a shutdown that ends before a caller of a longer task has any answer.
test("a shutdown answers callers of tasks that outlast it", async () => {
  const { clock, path, held, submit } = entryFixture();
  held.add("s1");
  held.runMs = 5000;
  const running = submit();
  await clock.until(() => held.started.length === 1);
  await onClock(clock, path.shutdown(1000));
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
