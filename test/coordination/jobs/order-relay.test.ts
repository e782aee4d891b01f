import { encode } from "cbor-x";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { OrderError } from "../../../src/ports/job-backend.ts";
import { decodeOrderBatch, decodeOrderResults } from "../../../src/protocol/order-batch.ts";
import { RelayFixture, type ExecutorState } from "../../fakes/jobs/relay-fixture.ts";
import { advanceUntilSettled } from "../../fakes/virtual-clock.ts";
import type { Result } from "ts-results";

/** Time in ms for which a tenure is valid after a renewal: the lock's time to live less the drift. */
const VALID_AFTER_RENEWAL_MS = 1350;
const SPEC = "x".repeat(2000);

function errorKind(result: Result<unknown, OrderError>): string {
  return result.ok ? "ok" : result.val.kind;
}

/** Gives 24 starts to a working executor, then lets it fail before the batch arrives. */
async function startsDuring(state: ExecutorState) {
  const fixture = await RelayFixture.ready();
  fixture.state = state;
  const starts = Promise.all(fixture.backends.map((_, server) => fixture.start(server)));
  const poll = fixture.poll(3);
  const begunAt = fixture.clock.now();
  const results = await advanceUntilSettled(fixture.clock, starts);
  const polled = await advanceUntilSettled(fixture.clock, poll);
  const waitedMs = fixture.clock.now() - begunAt;
  return { fixture, kinds: new Set(results.map(errorKind)), polled, waitedMs };
}

// Guards against one message for each order, and against job specs that are sent once per start.
test("orders of the same moment share a batch that carries each job spec once", async () => {
  const fixture = await RelayFixture.ready();
  const batches = fixture.batches.length;
  const starts = fixture.backends.map((_, server) => fixture.start(server, `t${server}`, SPEC));
  const results = await advanceUntilSettled(fixture.clock, Promise.all(starts));
  assert.ok(results.every(({ ok }) => ok));
  assert.is(fixture.relayed.count("start"), 24);
  assert.ok(fixture.relayed.seen.every(({ token }) => token === 7));
  assert.ok(fixture.relayed.seen.every(({ kind, spec }) => kind !== "start" || spec === SPEC));
  assert.ok(fixture.batches.length - batches <= 2);
  const bytes = fixture.batches.slice(batches).reduce((sum, { length }) => sum + length, 0);
  assert.ok(bytes < 2 * SPEC.length, `${bytes} bytes`);
});

// Guards against renewals and stops that wait behind a burst of starts.
test("polls and stops precede starts in a batch", async () => {
  const fixture = await RelayFixture.ready();
  void fixture.start(1);
  void fixture.backends[1]!.stop({ task: "u", run: 1, token: 7 });
  void fixture.poll(2);
  await fixture.clock.advance(20);
  const kinds = fixture.relayed.seen.slice(-3).map(({ kind }) => kind);
  assert.equal(kinds, ["stop", "poll", "start"]);
});

// Guards against quick orders that wait for the end of a long poll of the same batch.
test("a waiting poll delays no other order", async () => {
  const fixture = await RelayFixture.ready();
  const poll = fixture.poll(1, 5000);
  const begunAt = fixture.clock.now();
  assert.ok((await advanceUntilSettled(fixture.clock, fixture.start(2))).ok);
  assert.ok(fixture.clock.now() - begunAt < 40);
  assert.ok((await advanceUntilSettled(fixture.clock, poll)).ok);
  assert.ok(fixture.clock.now() - begunAt < 5050);
});

// Guards against a start that runs twice after its executor failed, and against silent servers.
for (const state of ["paused", "replies-lost", "malformed-replies"] as const)
  test(`starts given to an executor with state "${state}" are unknown and not repeated`, async () => {
    const { fixture, kinds, polled, waitedMs } = await startsDuring(state);
    assert.equal([...kinds], ["unknown"]);
    assert.is(fixture.direct.count("start"), 0);
    assert.ok(fixture.relayed.count("start") <= 24);
    // The poll is repeated directly, since a failed executor says nothing about the server.
    assert.ok(polled.ok);
    assert.ok(waitedMs <= 1000, `${waitedMs} ms without a poll`);
  });

// Guards against orders that an executor carries out after the scheduler has given it up.
for (const monotonicShare of [1, 0])
  test(`a frozen executor whose monotonic clock counts ${monotonicShare} of the time drops late orders`, async () => {
    const fixture = await RelayFixture.ready();
    const begun = { at: fixture.clock.now(), relayed: fixture.relayed.seen.length };
    fixture.state = "frozen";
    const start = fixture.start(1);
    void fixture.poll(2);
    assert.is(errorKind(await advanceUntilSettled(fixture.clock, start)), "unknown");
    const frozenMs = fixture.clock.now() - begun.at;
    fixture.executorTime.monotonicAheadMs -= (1 - monotonicShare) * frozenMs;
    fixture.resumeExecutor();
    await fixture.clock.advance(100);
    assert.is(fixture.relayed.seen.length, begun.relayed);
    assert.is(fixture.counters.count("relay_orders_expired"), 1);
    assert.equal(
      fixture.warnings.map(({ orders }) => orders),
      [2],
    );
    const lateMs = Number(fixture.warnings[0]?.lateMs);
    assert.ok(lateMs >= 0 && lateMs < frozenMs, `${lateMs} ms late`);
  });

// Guards against orders sent later than those for which the scheduler gives the executor up.
test("a batch expires with the first of those before it that have no reply", async () => {
  const fixture = await RelayFixture.ready();
  fixture.state = "frozen";
  void fixture.start(1);
  await fixture.clock.advance(400);
  const later = fixture.start(2);
  assert.is(errorKind(await advanceUntilSettled(fixture.clock, later)), "unknown");
  fixture.resumeExecutor();
  await fixture.clock.advance(100);
  assert.is(fixture.relayed.count("start"), 0);
});

// Guards against orders that are lost in a short pause, which the scheduler does not notice.
test("an executor that resumes before it is given up carries out what lies in its connection", async () => {
  const fixture = await RelayFixture.ready();
  fixture.state = "frozen";
  void fixture.start(1);
  await fixture.clock.advance(500);
  fixture.resumeExecutor();
  await fixture.clock.advance(10);
  assert.is(fixture.relayed.count("start"), 1);
});

// Guards against a time of day that is set and keeps an executor from relaying for good.
test("after its time of day was set forward an executor refuses one batch, which goes directly", async () => {
  const fixture = await RelayFixture.ready();
  fixture.executorTime.wallTimeAheadMs += 60_000;
  assert.ok((await advanceUntilSettled(fixture.clock, fixture.start(1, "a", SPEC))).ok);
  assert.equal([fixture.relayed.count("start"), fixture.direct.count("start")], [0, 1]);
  // The refused batch carried the job spec, and its reply a new reading.
  assert.ok((await advanceUntilSettled(fixture.clock, fixture.start(2, "b", SPEC))).ok);
  assert.equal([fixture.relayed.count("start"), fixture.direct.count("start")], [1, 1]);
  assert.is(fixture.relayed.seen.at(-1)?.spec, SPEC);
  assert.is(fixture.counters.count("relay_spec_repeated"), 0);
  fixture.executorTime.wallTimeAheadMs -= 120_000;
  assert.ok((await advanceUntilSettled(fixture.clock, fixture.start(3, "c", SPEC))).ok);
  assert.equal([fixture.relayed.count("start"), fixture.direct.count("start")], [2, 1]);
});

// Guards against starts that are lost for good when the executor's connection closes.
test("after the executor is killed, orders go directly at once and it is probed later", async () => {
  const { fixture, kinds } = await startsDuring("killed");
  assert.equal([...kinds], ["unknown"]);
  assert.ok((await advanceUntilSettled(fixture.clock, fixture.start(1, "later"))).ok);
  assert.is(fixture.direct.count("start"), 1);
  fixture.state = "up";
  await fixture.clock.advance(1500);
  assert.ok((await advanceUntilSettled(fixture.clock, fixture.start(1, "backoff"))).ok);
  assert.is(fixture.direct.count("start"), 2);
  await fixture.clock.advance(600);
  await advanceUntilSettled(fixture.clock, fixture.poll(0));
  await fixture.clock.advance(50);
  assert.ok((await advanceUntilSettled(fixture.clock, fixture.start(1, "relayed"))).ok);
  assert.is(fixture.direct.count("start"), 2);
});

// Guards against orders lost to a peer that closes the connection on an unknown message.
test("a peer of a former version gets no order", async () => {
  const fixture = new RelayFixture();
  fixture.state = "former-version";
  for (let round = 0; round < 20; round++) {
    assert.ok((await advanceUntilSettled(fixture.clock, fixture.start(1, `t${round}`))).ok);
    await fixture.clock.advance(500);
  }
  assert.is(fixture.direct.count("start"), 20);
  assert.ok(fixture.batches.length <= 4, "probed with growing pauses");
  for (const batch of fixture.batches) assert.is(decodeOrderBatch(batch)?.orders.length, 0);
});

// Guards against starts that never leave because the executor has lost their job spec.
test("a restarted executor is sent the job specs again", async () => {
  const fixture = await RelayFixture.ready();
  await advanceUntilSettled(fixture.clock, fixture.start(1, "a", SPEC));
  fixture.restartExecutor();
  assert.ok((await advanceUntilSettled(fixture.clock, fixture.start(2, "b", SPEC))).ok);
  const starts = fixture.relayed.seen.filter(({ kind }) => kind === "start");
  assert.equal(
    starts.map(({ task, spec }) => [task, spec]),
    [
      ["a", SPEC],
      ["b", SPEC],
    ],
  );
});

// Guards against orders to an entry instance that is about to exit.
test("a stopping executor refuses orders, which go directly, but returns earlier results", async () => {
  const fixture = await RelayFixture.ready();
  const poll = fixture.poll(1, 800);
  await fixture.clock.advance(20);
  fixture.executor.stop();
  assert.ok((await advanceUntilSettled(fixture.clock, fixture.start(2))).ok);
  assert.is(fixture.direct.count("start"), 1);
  assert.ok((await advanceUntilSettled(fixture.clock, poll)).ok);
  assert.is(fixture.direct.count("poll"), 0);
  assert.ok(fixture.batches.length < 20, "collects results without spinning");
});

// Guards against a scheduler that sends queued orders after another one may have the lock.
test("orders that are queued when the lock lapses are not sent", async () => {
  const fixture = await RelayFixture.ready();
  const batches = fixture.batches.length;
  fixture.stopRenewing();
  const start = fixture.start(1);
  fixture.tenure.end();
  const result = await advanceUntilSettled(fixture.clock, start);
  assert.is(errorKind(result), "not-sent");
  await fixture.clock.advance(3000);
  assert.is(fixture.batches.length, batches);
  assert.is(fixture.relayed.count("start") + fixture.direct.count("start"), 0);
});

// Guards against a batch that leaves late although nothing has told the scheduler of its lost lock.
test("orders do not leave once the lock can't be known to be held", async () => {
  const fixture = await RelayFixture.ready();
  fixture.stopRenewing();
  const { clock, tenure } = fixture;
  await clock.advance(fixture.renewedAt + VALID_AFTER_RENEWAL_MS - 0.5 - clock.now());
  assert.ok(tenure.valid, "the order is given while the lock is held");
  const result = await advanceUntilSettled(fixture.clock, fixture.start(1));
  assert.is(errorKind(result), "not-sent");
  assert.is(fixture.relayed.count("start") + fixture.direct.count("start"), 0);
});

// Guards against a malformed message that ends a process or is carried out in part.
test("a malformed batch is refused as a whole and an order of an unknown kind is not sent", async () => {
  const { executor, relayed, clock, executorTime } = new RelayFixture();
  const start = [1, 0, "a:1", "s", 7, "t", 1, 2500, 1];
  const spec = [[1, "spec"]];
  const clocks = executorTime.read();
  const expiry = [clocks.now + 600, clocks.wallTime + 600];
  const malformed = [
    Uint8Array.of(0xff, 1, 2),
    encode("text"),
    encode([2, "c", 0, expiry, [], [start, [2, 0, "a:1", "s", 7, "t", "1", 2500, 1]]]),
    encode([2, "c", 0, expiry, [[1, 5]], [start]]),
    encode([3, "c", 0, expiry, [[1, "spec"]], [start]]),
    encode([1, "c", 0, [[1, "spec"]], [start]]),
    encode([2, "c", 0, expiry, spec, [[...start.slice(0, 4), Number.NaN, "t", 1, 2500, 1]]]),
    encode([2, "c", 0, [], spec, [start]]),
    encode([2, "c", 0, [expiry[0]], spec, [start]]),
    encode([2, "c", 0, [expiry[0], "later"], spec, [start]]),
    encode([2, "c", 0, null, spec, [start]]),
  ];
  for (const batch of malformed) {
    const reply = await executor.handle("e0", { type: "order-batch", batch });
    assert.equal(decodeOrderResults(reply.results), { accepted: false, clocks, results: [] });
  }
  const batch = encode([2, "c", 50, expiry, [], [[9, 77, "a:1", "s", 7]]]);
  const reply = executor.handle("e0", { type: "order-batch", batch });
  const results = decodeOrderResults((await advanceUntilSettled(clock, reply)).results)?.results;
  const [unknown] = results ?? [];
  assert.is(unknown?.id, 9);
  assert.ok(unknown !== undefined && unknown.result !== "no-spec");
  assert.is(errorKind(unknown.result), "not-sent");
  assert.is(relayed.seen.length, 0);
});

// Guards against a reply of which only some results are well-formed.
test("replies with a malformed part are malformed", () => {
  const malformed = [
    [2, true, [5, 6], [[1, 0, "5"]]],
    [2, true, [5, 6], [[1, 2, 99, ""]]],
    [2, true, [5, 6], [[1, 1, 5, null, ["t", 1, "", 5], []]]],
    [2, true, [5, 6], [[1, 1, 5, null, [], [1, "t", 1, 9, ""]]]],
    [2, "yes", [5, 6], []],
    [3, true, [5, 6], []],
    [1, true, []],
    [2, true, [], []],
    [2, true, [5], []],
    [2, true, [5, Number.NaN], []],
    [2, true, null, []],
  ];
  const wellFormed = decodeOrderResults(encode([2, true, [5, 6], [[1, 0, 5]]]));
  assert.equal(wellFormed?.clocks, { now: 5, wallTime: 6 });
  for (const reply of malformed) assert.is(decodeOrderResults(encode(reply)), undefined);
});

test.run();
