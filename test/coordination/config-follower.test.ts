import { test } from "uvu";
import * as assert from "uvu/assert";
import { ConfigFollower } from "../../src/coordination/config-follower.ts";
import type { PeerState } from "../../src/coordination/ports.ts";
import type { ConfigDocument } from "../../src/protocol/config-document.ts";
import { KeyValueStore } from "../../src/stand-ins/key-value-store.ts";
import { issueKey } from "../../src/state/api-keys.ts";
import { configDocument, helloOf } from "../fakes/builders.ts";
import { FakeOutageView } from "../fakes/peer-fakes.ts";
import { NOOP_LOG, RecordedCounters } from "../fakes/observability-fakes.ts";
import { SeededRandom } from "../fakes/seeded-random.ts";
import { SwitchedKeyValue } from "../fakes/switched-key-value.ts";
import { VirtualClock } from "../fakes/virtual-clock.ts";

const FRESHNESS_MS = 4000;
const KEY = issueKey(new SeededRandom(7));

function config(revision: number, keys = [KEY.stored]): ConfigDocument {
  const teams = [{ name: "ops", share: 1, upperLimit: 4, queues: [], keys }];
  return configDocument({ revision, writeId: `write-${revision}`, teams });
}

function receiveGossip(
  outage: FakeOutageView,
  zone: string,
  platformReachable: boolean,
  requestedAt: number,
) {
  const hello = helloOf(`i-${zone}`, { zone });
  const message = { platformReachable } as unknown as PeerState["message"];
  outage.states.set(zone, { hello, message, requestedAt });
}

function fixture() {
  const clock = new VirtualClock();
  const store = new KeyValueStore({ clock });
  const keyValue = new SwitchedKeyValue(store);
  const outage = new FakeOutageView();
  const counters = new RecordedCounters();
  const random = new SeededRandom(1);
  const follower = new ConfigFollower({
    ...{ clock, random, keyValue, counters, outage },
    log: NOOP_LOG,
    zone: "a",
  });
  const write = async (document: ConfigDocument): Promise<void> => {
    const current = (await store.get("config")).unwrap();
    const expectedRevision = current?.revision ?? 0;
    await store.put({ key: "config", value: JSON.stringify(document), expectedRevision });
  };
  return { clock, keyValue, outage, counters, follower, write };
}

// Guards against a withdrawn key that stays valid while the platform is reachable.
test("a withdrawn key stops working at once when the platform is reachable", async () => {
  const { clock, follower, write } = fixture();
  await write(config(1));
  follower.start();
  await clock.until(() => follower.teamOfKey(KEY.clear) === "ops", 1000);
  await write(config(2, []));
  await clock.until(() => follower.teamOfKey(KEY.clear) === undefined, 100);
  assert.is(follower.teamOfKey("no such key"), undefined);
});

// Guards against a disconnected zone that still accepts a withdrawn key after the freshness bound.
test("an entry that loses the platform and a zone refuses API keys within the freshness bound", async () => {
  for (const mode of ["down", "silent"] as const) {
    const { clock, keyValue, outage, follower, write } = fixture();
    await write(config(1));
    follower.start();
    await clock.advance(3700);
    assert.ok(follower.keyedWorkAllowed());
    keyValue.mode = mode;
    receiveGossip(outage, "b", false, clock.now());
    await clock.advance(FRESHNESS_MS + 1);
    receiveGossip(outage, "b", false, clock.now());
    assert.not(follower.keyedWorkAllowed(), mode);
    keyValue.mode = "up";
    await clock.until(() => follower.keyedWorkAllowed(), 6000);
  }
});

// Guards against a platform outage in which all API keys are refused although the zones reach each
// other, and against accepting them when a zone may have read a withdrawal.
test("API keys are accepted in a platform-wide outage while all zones are in contact", async () => {
  const { clock, keyValue, outage, follower, write } = fixture();
  await write(config(1));
  follower.start();
  await clock.advance(1000);
  keyValue.mode = "down";
  await clock.advance(60_000);
  receiveGossip(outage, "b", false, clock.now());
  receiveGossip(outage, "c", false, clock.now());
  assert.ok(follower.keyedWorkAllowed());
  // A zone that reaches the platform may have read a withdrawal.
  receiveGossip(outage, "b", false, clock.now());
  receiveGossip(outage, "c", true, clock.now());
  assert.not(follower.keyedWorkAllowed());
  // The last gossip from zone c is older than the bound.
  receiveGossip(outage, "b", false, clock.now());
  receiveGossip(outage, "c", false, clock.now() - 4001);
  assert.not(follower.keyedWorkAllowed());
});

// Guards against a slow platform whose replies make the confirmation expire between two watches.
test("API keys are accepted while the platform replies slowly", async () => {
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

// Guards against measuring the age of a confirmation from its reply instead of its request.
test("the age of a confirmation is measured from the time its request was sent", async () => {
  const { clock, follower, write } = fixture();
  await write(config(1));
  follower.start();
  await clock.advance(1490);
  assert.is(follower.ageMs(), 1490);
  await clock.advance(20);
  // The watch was sent right after the first read and waited 1500 ms.
  assert.is(follower.ageMs(), 1510);
});

// Guards against a revision that decreases because of a late reply, a peer or a restored store.
test("the revision never decreases", async () => {
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
  // A platform that returns an older revision does not confirm the current one.
  assert.not(follower.keyedWorkAllowed());
  assert.is(counters.count("config_revision_back"), 2);
  follower.confirm(6, 100);
  assert.ok(follower.keyedWorkAllowed());
});

// Guards against a follower that stops on a malformed document.
test("a malformed document is counted and the previous one stays in effect", async () => {
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
