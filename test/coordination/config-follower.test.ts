import { test } from "uvu";
import * as assert from "uvu/assert";
import { ConfigFollower } from "../../src/coordination/config-follower.ts";
import type { PeerState } from "../../src/coordination/ports.ts";
import type { ConfigDocument } from "../../src/protocol/config-document.ts";
import { KeyValueStore } from "../../src/stand-ins/key-value-store.ts";
import { issueKey } from "../../src/state/api-keys.ts";
import { configDocument, helloOf } from "../fakes/builders.ts";
import { FakeOutage } from "../fakes/peer-fakes.ts";
import { QUIET_LOG, RecordedCounters } from "../fakes/quiet.ts";
import { SeededRandom } from "../fakes/seeded-random.ts";
import { SwitchedKeyValue } from "../fakes/switched-key-value.ts";
import { VirtualClock } from "../fakes/virtual-clock.ts";

const FRESHNESS_MS = 4000;
const KEY = issueKey(new SeededRandom(7));

function config(revision: number, keys = [KEY.stored]): ConfigDocument {
  const teams = [{ name: "ops", share: 1, upperLimit: 4, queues: [], keys }];
  return configDocument({ revision, writeId: `write-${revision}`, teams });
}

function hear(outage: FakeOutage, zone: string, platformReachable: boolean, receivedAt: number) {
  const hello = helloOf(`i-${zone}`, { zone });
  const message = { platformReachable } as unknown as PeerState["message"];
  outage.states.set(zone, { hello, message, receivedAt });
}

function fixture() {
  const clock = new VirtualClock();
  const store = new KeyValueStore({ clock });
  const keyValue = new SwitchedKeyValue(store);
  const outage = new FakeOutage();
  const counters = new RecordedCounters();
  const random = new SeededRandom(1);
  const follower = new ConfigFollower({
    ...{ clock, random, keyValue, counters, outage },
    log: QUIET_LOG,
    zone: "a",
  });
  const write = async (document: ConfigDocument): Promise<void> => {
    const current = (await store.get("config")).unwrap();
    const expectedRevision = current?.revision ?? 0;
    await store.put({ key: "config", value: JSON.stringify(document), expectedRevision });
  };
  return { clock, keyValue, outage, counters, follower, write };
}

// Guards against a withdrawn key that keeps working while the platform is up.
test("a withdrawn key stops working at once when the platform is up", async () => {
  const { clock, follower, write } = fixture();
  await write(config(1));
  follower.start();
  await clock.until(() => follower.teamOfKey(KEY.clear) === "ops", 1000);
  await write(config(2, []));
  await clock.until(() => follower.teamOfKey(KEY.clear) === undefined, 100);
  assert.is(follower.teamOfKey("no such key"), undefined);
});

// Guards against a withdrawn key that a cut-off zone accepts beyond the freshness bound.
test("an entry cut off from platform and peers stops keyed work within the bound", async () => {
  for (const mode of ["down", "silent"] as const) {
    const { clock, keyValue, outage, follower, write } = fixture();
    await write(config(1));
    follower.start();
    await clock.advance(3700);
    assert.ok(follower.keyedWorkAllowed());
    keyValue.mode = mode;
    hear(outage, "b", false, clock.now());
    await clock.advance(FRESHNESS_MS + 1);
    hear(outage, "b", false, clock.now());
    assert.not(follower.keyedWorkAllowed(), mode);
    keyValue.mode = "up";
    await clock.until(() => follower.keyedWorkAllowed(), 6000);
  }
});

// Guards against an outage of the platform alone that stops every keyed request everywhere.
test("a platform-wide outage does not stop keyed work", async () => {
  const { clock, keyValue, outage, follower, write } = fixture();
  await write(config(1));
  follower.start();
  await clock.advance(1000);
  keyValue.mode = "down";
  await clock.advance(60_000);
  hear(outage, "b", false, clock.now());
  hear(outage, "c", false, clock.now());
  assert.ok(follower.keyedWorkAllowed());
  // One zone that reaches the platform may have read a withdrawal.
  hear(outage, "b", false, clock.now());
  hear(outage, "c", true, clock.now());
  assert.not(follower.keyedWorkAllowed());
  // The contact with zone c is older than the bound.
  hear(outage, "b", false, clock.now());
  hear(outage, "c", false, clock.now() - 4001);
  assert.not(follower.keyedWorkAllowed());
});

// Guards against a slow platform that stops keyed work between two confirmations.
test("keyed work goes on while the platform answers slowly", async () => {
  for (const latencyMs of [400, 700, 950]) {
    const { clock, keyValue, follower, write } = fixture();
    await write(config(1));
    follower.start();
    await clock.advance(10_000);
    const watch = keyValue.watch.bind(keyValue);
    keyValue.watch = async (call) => {
      await clock.sleep(latencyMs);
      return watch(call);
    };
    for (let at = 0; at < 30_000; at += 50) {
      await clock.advance(50);
      assert.ok(follower.keyedWorkAllowed(), `${latencyMs} ms: age ${follower.ageMs()} ms`);
    }
  }
});

// Guards against a confirmation that counts from its arrival instead of from its request.
test("the age of a confirmation counts from the send time", async () => {
  const { clock, follower, write } = fixture();
  await write(config(1));
  follower.start();
  await clock.advance(1490);
  assert.is(follower.ageMs(), 1490);
  await clock.advance(20);
  // The watch was sent right after the first read and waited 1500 ms.
  assert.is(follower.ageMs(), 1510);
});

// Guards against a revision that goes back because of a late reply, a peer or a restored store.
test("the revision never goes back", async () => {
  const { clock, counters, follower, write } = fixture();
  await write(config(5));
  follower.start();
  await clock.advance(100);
  assert.ok(follower.adopt(JSON.stringify(config(6)), 50));
  assert.is(follower.ageMs(), 50);
  assert.not(follower.adopt(JSON.stringify(config(4)), 0));
  await write(config(3));
  await clock.advance(FRESHNESS_MS + 100);
  assert.is(follower.current()?.revision, 6);
  // A platform that shows an older revision confirms nothing.
  assert.not(follower.keyedWorkAllowed());
  assert.is(counters.count("config_revision_back"), 2);
  follower.confirm(6, 100);
  assert.ok(follower.keyedWorkAllowed());
});

// Guards against a reader that fails on a malformed document and stops following.
test("a malformed document is counted and the former one stays in force", async () => {
  const { clock, counters, follower, write } = fixture();
  await write(config(1));
  follower.start();
  await clock.advance(100);
  await write({ ...config(2), teams: "none" } as unknown as ConfigDocument);
  await clock.advance(100);
  assert.is(follower.current()?.revision, 1);
  assert.is(counters.count("config_malformed"), 1);
  await write(config(3));
  await clock.until(() => follower.current()?.revision === 3, 2000);
});

test.run();
