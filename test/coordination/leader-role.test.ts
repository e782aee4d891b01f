import { test } from "uvu";
import * as assert from "uvu/assert";
import { LeaderRole, type LeaderRoleOptions } from "../../src/coordination/leader-role.ts";
import { KeyValueStore } from "../../src/stand-ins/key-value-store.ts";
import { SeededRandom } from "../fakes/seeded-random.ts";
import { SwitchedKeyValue } from "../fakes/switched-key-value.ts";
import { VirtualClock } from "../fakes/virtual-clock.ts";

// Guards against one entry that holds every duty of its zone, whose loss ends all of them at once,
// and against a duty that nobody can take because a write about it failed or its reply was lost.
test("a duty is left to others while its holder asks for that", async () => {
  const clock = new VirtualClock();
  const store = new KeyValueStore({ clock });
  const kv = new SwitchedKeyValue(store);
  let leave = false;
  const duty = async (
    incarnation: string,
    options: Partial<LeaderRoleOptions>,
  ): Promise<LeaderRole> => {
    const leaseId = (await store.grantLease(600_000)).unwrap();
    const session = { leaseId } as never;
    const step = (): Promise<void> => Promise.resolve();
    const rest = { clock, random: new SeededRandom(1), intervalMs: 100, incarnation };
    const made = new LeaderRole({ name: "d", kv: store, session, step, ...rest, ...options });
    void made.run();
    return made;
  };
  kv.lostReplies = 1;
  const first = await duty("e1", { kv, shouldStepDown: () => leave });
  await clock.advance(1);
  leave = true;
  const second = await duty("e2", {});
  await clock.until(() => second.held, 10_000);
  assert.is(first.held, false);
  await second.stop();
  leave = false;
  await clock.until(() => first.held, 10_000);
  kv.mode = "down";
  leave = true;
  await clock.advance(2000);
  kv.mode = "up";
  const third = await duty("e3", {});
  await clock.until(() => third.held, 10_000);
  assert.is(first.held, false);
});

test.run();
