import { test } from "uvu";
import * as assert from "uvu/assert";
import { FleetConfigView } from "../../../src/coordination/jobs/config-view.ts";
import {
  RecordFollower,
  RecordListener,
} from "../../../src/coordination/jobs/records/record-follower.ts";
import type { RecordEvent, StoredRecord } from "../../../src/ports/record-store.ts";
import { MemoryRecordStore } from "../../../src/stand-ins/memory-record-store.ts";
import { fleetConfig } from "../../fakes/jobs/job-builders.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { advanceUntilSettled, VirtualClock } from "../../fakes/virtual-clock.ts";

const LOG = { debug: none, info: none, warn: none, error: none };

function none(): void {
  // These tests do not check log lines.
}

/** Records the reported keys and the request time of the last confirmed response. */
class RecordingListener extends RecordListener {
  override readonly needsConfirmation: boolean;
  resets = 0;
  readonly keys = new Set<string>();
  askedAt = -1;

  constructor(needsConfirmation: boolean) {
    super();
    this.needsConfirmation = needsConfirmation;
  }

  reset(records: readonly StoredRecord[]): void {
    this.resets++;
    for (const { key } of records) this.keys.add(key);
  }

  change(event: RecordEvent): void {
    if (event.kind === "written") this.keys.add(event.record.key);
  }

  override confirmed(askedAt: number): void {
    this.askedAt = askedAt;
  }
}

function follow(latencyMs: number, watchWaitMs: number, needsConfirmation = false) {
  const clock = new VirtualClock();
  const memory = new MemoryRecordStore(clock, { latencyMs });
  const store = memory.client();
  const listener = new RecordingListener(needsConfirmation);
  const options = { store, clock, log: LOG, random: new SeededRandom(1), prefix: "p/" };
  void new RecordFollower({ ...options, listener, watchWaitMs }).run(new AbortController().signal);
  return { clock, memory, store, listener };
}

// Guards against changes that are lost because an empty watch result skips past their revision.
test("a change that a faulty watch skipped is reported by a later watch", async () => {
  const { clock, memory, store, listener } = follow(4, 500);
  await clock.advance(100);
  store.faults.dropWatchEvents = true;
  await clock.advance(600);
  memory.write("p/a", Uint8Array.of(1));
  await clock.advance(600);
  assert.not(listener.keys.has("p/a"), "the watch returned without the change");
  store.faults.dropWatchEvents = false;
  await clock.advance(1200);
  assert.ok(listener.keys.has("p/a"));
});

// Guards against a configuration that counts as current although it changed during a slow response.
test("a slow response confirms only writes made before its request", async () => {
  const { clock, listener } = follow(1500, 500);
  await clock.advance(1600);
  assert.ok(listener.askedAt <= 100, "counted from the request, not from the response");
});

test("a response with several versions of a record confirms nothing, and all are read again", async () => {
  const { clock, memory, listener } = follow(4, 500, true);
  await clock.advance(100);
  const before = listener.askedAt;
  for (let version = 0; version < 5; version++) memory.write("p/a", Uint8Array.of(version));
  memory.write("p/b", Uint8Array.of(1));
  await clock.advance(40);
  assert.ok(listener.resets > 1, "all records are read again");
  assert.ok(listener.keys.has("p/b"));
  assert.ok(listener.askedAt > before);
});

test("a single change is confirmed without waiting for the next watch to end", async () => {
  const { clock, memory, listener } = follow(4, 5000, true);
  await clock.advance(1000);
  memory.write("p/a", Uint8Array.of(1));
  await clock.advance(40);
  assert.ok(listener.askedAt >= 1000);
});

test("a configuration that may be outdated is used only if it is confirmed in time", async () => {
  const clock = new VirtualClock();
  const view = new FleetConfigView(clock, LOG);
  view.configured(fleetConfig());
  view.confirmed(clock.now());
  assert.ok(await advanceUntilSettled(clock, view.waitUntilFresh(2000, 500)));
  await clock.advance(2100);
  assert.not(await advanceUntilSettled(clock, view.waitUntilFresh(2000, 500)));
  const waiting = view.waitUntilFresh(2000, 500);
  clock.schedule(200, () => {
    view.confirmed(clock.now());
  });
  assert.ok(await advanceUntilSettled(clock, waiting));
});

test.run();
