import { test } from "uvu";
import * as assert from "uvu/assert";
import { AdaptiveLimit } from "../../src/state/adaptive-limit.ts";
import { FailureAttribution } from "../../src/state/failure-attribution.ts";
import { idCreationTime } from "../../src/state/id-creation-time.ts";
import { newRecord, type RequestRecord } from "../../src/state/request-record.ts";
import { RequestTable } from "../../src/state/request-table.ts";
import { RetryBudget } from "../../src/state/retry-budget.ts";
import { RunTimeEstimates } from "../../src/state/run-time-estimates.ts";
import { TeamUsage } from "../../src/state/team-usage.ts";
import { SeededRandom } from "../fakes/seeded-random.ts";
import { VirtualClock } from "../fakes/virtual-clock.ts";

// Guards against retries that amplify an overload.
test("retries are limited to a tenth of the requests of 10 s, with a minimum of three", () => {
  const budget = new RetryBudget();
  const take = (now: number): number => {
    let taken = 0;
    while (budget.tryTake(now)) taken++;
    return taken;
  };
  assert.is(take(0), 3);
  for (let i = 0; i < 100; i++) budget.recordRequest(5000);
  assert.is(take(5000), 7);
  assert.is(take(16_000), 3);
});

// Guards against a limit that does not fall for an overloaded server or never rises again.
test("a slow server's limit falls to a quarter of its slots and recovers", () => {
  const limit = new AdaptiveLimit({ slots: 8 });
  for (let i = 0; i < 200; i++) limit.observe(1000, 100);
  assert.is(limit.current, 2);
  for (let i = 0; i < 100; i++) limit.observe(100, 100);
  assert.is(limit.current, 8);
});

// Guards against wrong declared run times that refuse or admit work indefinitely.
test("observed run times replace declared ones", () => {
  const estimates = new RunTimeEstimates();
  assert.is(estimates.expected("q", "red", 3_600_000), 1000);
  for (let i = 0; i < 50; i++) estimates.observe("p", "q", "red", 20);
  assert.is(estimates.expected("q", "red", 3_600_000), 20);
  assert.is(estimates.expected("q", "blue", 3_600_000), 20);
});

// Guards against blaming jobs for failures that a server causes.
test("failures on a suspected server do not make a job bad", () => {
  const attribution = new FailureAttribution({ badJobServers: 3 });
  const fail = (server: string) => ({ server, reason: "r" });
  for (const job of ["a", "b", "c"]) attribution.recordSuccess(job, "s2", [fail("s1")]);
  assert.not(attribution.isBadJob([fail("s1"), fail("s2"), fail("s3")]));
  assert.ok(attribution.isBadJob([fail("s4"), fail("s2"), fail("s3")]));
  attribution.updateProbation(["s1"], 3);
  assert.not(attribution.isOnProbation("s1"));
  attribution.updateProbation(["s1"], 4);
  assert.ok(attribution.isOnProbation("s1"));
});

// Guards against all entry instances favouring the same team at once and overshooting.
test("running tasks on other entry instances are smoothed over several updates", () => {
  const usage = new TeamUsage();
  const running = new Map([["red", 12]]);
  usage.update(running, 3);
  assert.is(usage.runningElsewhere("red"), 3);
  for (let i = 0; i < 40; i++) usage.update(running, 3);
  assert.ok(Math.abs(usage.runningElsewhere("red") - 12) < 0.01);
});

function table(idMemoryEntries: number) {
  const clock = new VirtualClock();
  const settings = { idempotencyWindowMs: 3_600_000, resultRetentionMs: 600_000, idMemoryEntries };
  return { clock, table: new RequestTable({ clock, ...settings, retainedBytes: 20 }) };
}

function record(clock: VirtualClock, requestId: string, pinned = false): RequestRecord {
  const payload = { contentType: "", body: new Uint8Array(10) };
  const spec = { requestId, team: "red", queue: "q", priority: "normal", payload } as const;
  const at = { wallTime: clock.wallTime(), now: clock.now() };
  return newRecord({ ...spec, idempotent: false, timeoutMs: 1000 }, at, pinned);
}

// Guards against a table that grows without bound, and against treating an evicted id as unused.
test("the oldest records that are not pinned are evicted, and the newest evicted time is kept", () => {
  const { clock, table: requests } = table(4);
  for (let i = 0; i < 6; i++) {
    const added = record(clock, `e1.${i}`, i < 2);
    requests.add(added);
    requests.finish(added, { kind: "answered", payload: added.payload! });
  }
  requests.add(record(clock, "e1.9"));
  assert.ok(requests.find("e1.0") !== undefined && requests.find("e1.2") === undefined);
  assert.is(requests.evictedThrough, clock.wallTime());
  assert.is(requests.size, 4);
  assert.is(requests.pendingBytes, 10);
});

// Guards against stored answers that exhaust the memory.
test("the oldest answers are dropped when the stored bytes exceed their limit", () => {
  const { clock, table: requests } = table(100);
  const added = ["a", "b", "c"].map((id) => record(clock, id));
  for (const each of added) {
    requests.add(each);
    requests.finish(each, { kind: "answered", payload: each.payload! });
  }
  assert.equal(
    added.map((each) => each.state.kind),
    ["refused", "answered", "answered"],
  );
});

// Guards against parsing a wrong creation time from an id.
test("the creation time of an issued id is that of its UUID", () => {
  const time = 1_700_000_000_123;
  assert.is(idCreationTime(`e1.${new SeededRandom(1).uuidV7(time)}`), time);
  assert.is(idCreationTime("order-7"), undefined);
});

test.run();
