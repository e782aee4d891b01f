import { encode } from "cbor-x";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { SchedulerLock } from "../../../src/coordination/jobs/election/scheduler-lock.ts";
import { LearntRecordKeeper } from "../../../src/coordination/jobs/records/learnt-record-keeper.ts";
import { LEARNT_KEY } from "../../../src/protocol/job-records.ts";
import {
  decodeLearnt,
  encodeLearnt,
  MAX_LEARNT_BYTES,
  type LearntServer,
} from "../../../src/protocol/learnt-record.ts";
import { MemoryRecordStore } from "../../../src/stand-ins/memory-record-store.ts";
import { ServerHealth } from "../../../src/state/jobs/execution/server-health.ts";
import { ServerSpeed } from "../../../src/state/jobs/execution/server-speed.ts";
import { DurationModels } from "../../../src/state/jobs/scheduling/duration-model.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { advanceUntilSettled, VirtualClock } from "../../fakes/virtual-clock.ts";

const BOOTED_AT = 5000;

function server(id: string, bootedAt = BOOTED_AT) {
  return {
    ...{ id, bootedAt, speed: new ServerSpeed(), health: new ServerHealth() },
    leaseAsGranted: false,
    trusted: false,
    trustLease() {
      this.trusted = true;
    },
  };
}

/** One store and the schedulers that hold its lock one after the other. */
class Store {
  readonly clock = new VirtualClock();
  readonly memory = new MemoryRecordStore(this.clock);
  readonly lines: string[] = [];

  /** Starts the keeper of a new scheduler with the given servers. */
  async takeOver(servers: readonly ReturnType<typeof server>[], serversLoaded = () => true) {
    const note = (_fields: unknown, line?: string): void => void this.lines.push(line ?? "");
    const log = { debug: note, info: note, warn: note, error: note };
    const { clock } = this;
    const store = this.memory.client();
    const random = new SeededRandom(1);
    const lock = new SchedulerLock({ store, clock, random, log, holder: "e" });
    const tenure = (await advanceUntilSettled(clock, lock.acquire()))!;
    const durations = new DurationModels();
    const options = { store, clock, log, tenure, durations, servers: () => servers, serversLoaded };
    const running = new LearntRecordKeeper(options).run();
    await clock.advance(50);
    const end = async (): Promise<void> => {
      await advanceUntilSettled(clock, lock.release(tenure));
      await advanceUntilSettled(clock, running);
    };
    return { durations, end };
  }

  async put(value: Uint8Array): Promise<void> {
    const puts = [{ key: LEARNT_KEY, value }];
    const written = this.memory.client().commit({ conditions: [], puts });
    await advanceUntilSettled(this.clock, written);
  }

  async stored() {
    const record = await advanceUntilSettled(this.clock, this.memory.client().get(LEARNT_KEY));
    return record.unwrap();
  }
}

function train(durations: DurationModels): void {
  const model = durations.forQueue("q");
  for (let ended = 0; ended < 200; ended++) {
    model.observeTail(100, ended % 30 === 0 ? 7000 : 1000);
    model.observe(100, ended % 30 === 0 ? 7000 : 1000);
  }
}

// After each takeover, durations were unknown again for some dozens of ends, and slow servers got work.
test("a new scheduler knows durations, tails and servers of the same boot from its predecessor", async () => {
  const store = new Store();
  const [slow, faulty, rebooted] = [server("slow"), server("faulty"), server("rebooted")];
  const former = await store.takeOver([slow, faulty, rebooted]);
  train(former.durations);
  for (const { speed } of [slow, rebooted]) speed.observeSlowRun(4, store.clock.now());
  for (const job of ["a", "b", "c"]) faulty.health.failed(job, store.clock.now());
  await store.clock.advance(1100);
  await former.end();
  const found = [server("slow"), server("faulty"), server("rebooted", BOOTED_AT + 1)] as const;
  const { durations, end } = await store.takeOver(found);
  const expected = former.durations.forQueue("q").expectedStepMs(100, 60);
  const restored = durations.forQueue("q").expectedStepMs(100, 60);
  assert.ok(expected > 3000 && Math.abs(restored / expected - 1) < 0.02, `${restored}`);
  assert.equal(
    found.map(({ speed, health }) => [speed.slow, health.onProbation]),
    [
      [true, false],
      [false, true],
      [false, false],
    ],
  );
  assert.is(found[1].health.quarantined(store.clock.now()), true);
  await end();
});

// Guards against tasks that wait for the longest lease after each of several takeovers in a row (LOST).
test("a new scheduler trusts the leases that its predecessor knew to be as granted, of the same boot", async () => {
  const store = new Store();
  const known = [server("same"), server("rebooted")].map((each) => ({
    ...each,
    leaseAsGranted: true,
  }));
  const former = await store.takeOver([...known, server("doubtful")]);
  await store.clock.advance(1100);
  await former.end();
  const found = [server("same"), server("rebooted", BOOTED_AT + 1), server("doubtful")];
  const { end } = await store.takeOver(found);
  assert.equal(
    found.map(({ trusted }) => trusted),
    [true, false, false],
  );
  await end();
});

// A record of a damaged store or of another version must not stop or mislead a scheduler.
test("an unusable record is discarded with a log line and replaced by what is learnt anew", async () => {
  const version = { version: 99, queues: [], servers: [] };
  const infinite = { version: 1, queues: [["q", 1, [Infinity], [], []]], servers: [] };
  for (const value of [Uint8Array.of(0xff, 1), encode(version), encode(infinite)]) {
    const store = new Store();
    await store.put(value);
    const { durations, end } = await store.takeOver([]);
    assert.is(store.lines.includes("learnt state is discarded"), true);
    assert.is(durations.forQueue("q").empty, true);
    train(durations);
    await store.clock.advance(1100);
    assert.is(decodeLearnt((await store.stored())!.value).length, 1);
    await end();
  }
});

test("the record is written at most once a second, and only if something changed", async () => {
  const store = new Store();
  const { durations, end } = await store.takeOver([]);
  const revisions = new Set<number>();
  for (let tick = 0; tick < 25; tick++) {
    train(durations);
    await store.clock.advance(100);
    revisions.add((await store.stored())?.revision ?? 0);
  }
  assert.ok(revisions.size <= 4, `${revisions.size}`);
  await store.clock.advance(1500);
  const settled = (await store.stored())!.revision;
  await store.clock.advance(5000);
  assert.is((await store.stored())!.revision, settled);
  await end();
});

// Guards against a takeover that takes longer than a write interval and loses the state of all servers.
test("nothing is written before the registered servers are known", async () => {
  const store = new Store();
  const { durations, end } = await store.takeOver([], () => false);
  train(durations);
  await store.clock.advance(3000);
  assert.is(await store.stored(), undefined);
  await end();
});

test("a record that would exceed its limit keeps the entries that changed most recently", () => {
  const entries = Array.from({ length: 4000 }, (_, index): LearntServer => {
    const changedAt = 1_700_000_000_000 + index;
    const changed = { changedAt, quarantinedUntil: 0, failures: 0, leaseAsGranted: false };
    return { kind: "server", id: `server-${index}`, bootedAt: BOOTED_AT, ratio: 2.5, ...changed };
  });
  const bytes = encodeLearnt(entries);
  assert.ok(bytes.length <= MAX_LEARNT_BYTES && bytes.length > MAX_LEARNT_BYTES * 0.9);
  const kept = decodeLearnt(bytes);
  assert.ok(typeof kept !== "string" && kept.length < entries.length);
  assert.equal(kept[0], entries.at(-1));
});

test.run();
