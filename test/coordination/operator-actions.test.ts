import { test } from "uvu";
import * as assert from "uvu/assert";
import { ConfigStore } from "../../src/coordination/config-store.ts";
import { OperatorActions } from "../../src/coordination/operator-actions.ts";
import { KeyValueStore } from "../../src/stand-ins/key-value-store.ts";
import { formatChange, type ConfigContent } from "../../src/state/config-diff.ts";
import { KeyIndex } from "../../src/state/api-keys.ts";
import { configDocument } from "../fakes/builders.ts";
import { SeededRandom } from "../fakes/seeded-random.ts";
import { SwitchedKeyValue } from "../fakes/switched-key-value.ts";
import { advanceUntilSettled, VirtualClock } from "../fakes/virtual-clock.ts";

function content({ limit = 4, share = 1 } = {}): ConfigContent {
  const teams = [{ name: "ops", share, upperLimit: limit, queues: [], keys: [] }];
  const { maintenance, weights } = configDocument();
  return { pools: [], queues: [], teams, maintenance, weights };
}

function fixture() {
  const clock = new VirtualClock();
  const keyValue = new SwitchedKeyValue(new KeyValueStore({ clock }));
  const store = new ConfigStore({ clock, keyValue });
  const operator = (seed: number): OperatorActions =>
    new OperatorActions({ clock, random: new SeededRandom(seed), store });
  return { clock, keyValue, store, operator };
}

// Guards against an operator silently undoing a change that another operator made in the meantime.
test("of two concurrent applies one gets a conflict that lists the other's changes", async () => {
  const { operator } = fixture();
  const base = (await operator(1).apply(content())).unwrap().revision;
  const [first, second] = await Promise.all([
    operator(2).apply(content({ limit: 9 }), base),
    operator(3).apply(content({ share: 5 }), base),
  ]);
  const [winner, loser] = first.ok ? [first, second] : [second, first];
  assert.is(winner.unwrap().revision, base + 1);
  if (loser.ok || loser.val.kind !== "conflict") throw new Error("expected a conflict");
  assert.equal(loser.val.changes?.map(formatChange), ["[team.ops] upper_limit: 4 -> 9"]);
  const stored = (await operator(4).show()).unwrap().document;
  assert.is(stored.teams[0]?.upperLimit, 9);
  assert.is(stored.teams[0]?.share, 1);
});

// Guards against a race between two operators who give no base revision.
test("an apply gets a conflict if another operator writes between its read and its write", async () => {
  const { keyValue, operator } = fixture();
  await operator(1).apply(content());
  keyValue.beforePut = async () => {
    keyValue.beforePut = () => Promise.resolve();
    await operator(2).apply(content({ limit: 7 }));
  };
  const late = await operator(3).apply(content({ share: 2 }));
  assert.is(late.err && late.val.kind, "conflict");
  assert.is((await operator(1).show()).unwrap().document.teams[0]?.upperLimit, 7);
});

// Guards against losing keys when a template is applied, and against needless conflicts.
test("applying a template keeps the stored keys, including one issued during the edit", async () => {
  const { operator } = fixture();
  const base = (await operator(1).apply(content())).unwrap().revision;
  const key = (await operator(2).issueKey("ops")).unwrap();
  (await operator(3).apply(content({ limit: 5 }), base)).unwrap();
  const stored = (await operator(4).show()).unwrap().document;
  assert.is(new KeyIndex(stored).teamOf(key.clear), "ops");
  assert.is(stored.teams[0]?.upperLimit, 5);
  const withdrawn = (await operator(5).withdrawKey("ops", key.keyId)).unwrap();
  const after = (await operator(4).show()).unwrap().document;
  assert.is(after.revision, withdrawn);
  assert.is(new KeyIndex(after).teamOf(key.clear), undefined);
});

// Guards against storing a key in plain text, where every reader of the store could copy it.
test("the store contains no key in plain text", async () => {
  const { keyValue, operator } = fixture();
  await operator(1).apply(content());
  const key = (await operator(2).issueKey("ops")).unwrap();
  await operator(3).apply(content({ limit: 5 }));
  const values = (await keyValue.list("")).unwrap().map((entry) => entry.value);
  const secret = key.clear.split(".")[1] ?? "";
  assert.is(secret.length, 64);
  assert.not(values.some((value) => value.includes(secret)));
});

// Guards against losing keys when ten operators issue them at the same time.
test("keys issued at the same time are all kept", async () => {
  const { operator } = fixture();
  await operator(1).apply(content());
  const seeds = Array.from({ length: 10 }, (_, index) => index + 2);
  const keys = await Promise.all(seeds.map((seed) => operator(seed).issueKey("ops")));
  const stored = (await operator(1).show()).unwrap().document;
  assert.equal(
    stored.teams[0]?.keys.map((key) => key.id).sort(),
    keys.map((key) => key.unwrap().keyId).sort(),
  );
  assert.is(stored.revision, 11);
});

// Guards against reporting an accepted change as failed, or writing it twice.
test("a write whose reply is lost is found by its write id", async () => {
  const { clock, keyValue, operator } = fixture();
  await operator(1).apply(content());
  keyValue.lostReplies = 1;
  const applied = await advanceUntilSettled(clock, operator(2).apply(content({ limit: 6 })));
  assert.is(applied.unwrap().revision, 2);
  assert.is((await operator(1).show()).unwrap().document.revision, 2);
});

// Guards against reporting a change as failed when another operator writes before the read-back.
test("a lost reply is resolved from the history after another operator's write", async () => {
  const { clock, keyValue, operator } = fixture();
  await operator(1).apply(content());
  keyValue.lostReplies = 1;
  const applying = operator(2).apply(content({ limit: 6 }));
  await clock.advance(50);
  (await operator(3).apply(content({ limit: 8 }))).unwrap();
  assert.is((await advanceUntilSettled(clock, applying)).unwrap().revision, 2);
  assert.is((await operator(1).show()).unwrap().document.teams[0]?.upperLimit, 8);
});

// Guards against a configuration history that grows without limit.
test("the newest 50 superseded configurations are kept", async () => {
  const { operator } = fixture();
  for (let limit = 1; limit <= 55; limit++) await operator(limit).apply(content({ limit }));
  const kept = (await operator(1).history()).unwrap().map((document) => document.revision);
  assert.is(kept.length, 50);
  assert.is(kept[0], 54);
});

// Guards against a command that fails at once because its first read was rejected.
test("an apply retries through a short outage before its write", async () => {
  const { clock, keyValue, operator } = fixture();
  keyValue.mode = "down";
  const applying = operator(1).apply(content());
  await clock.advance(500);
  keyValue.mode = "up";
  assert.is((await advanceUntilSettled(clock, applying)).unwrap().revision, 1);
});

// Guards against reporting a definite outcome for a write that may have taken effect.
test("an apply is reported as unknown if its reply is lost and every retry fails", async () => {
  const { clock, keyValue, operator } = fixture();
  await operator(1).apply(content());
  keyValue.lostReplies = 1;
  const applying = operator(2).apply(content({ limit: 6 }));
  await clock.advance(50);
  keyValue.mode = "down";
  const applied = await advanceUntilSettled(clock, applying);
  assert.is(applied.err && applied.val.kind, "unknown");
});

test.run();
