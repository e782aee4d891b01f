import { test } from "uvu";
import * as assert from "uvu/assert";
import { LeaderRole, type LeaderRoleOptions } from "../../src/coordination/leader-role.ts";
import { KeyValueStore } from "../../src/stand-ins/key-value-store.ts";
import { SeededRandom } from "../fakes/seeded-random.ts";
import { SwitchedKeyValue } from "../fakes/switched-key-value.ts";
import { VirtualClock } from "../fakes/virtual-clock.ts";

// Guards against one entry that holds every leader role of its zone, so that its loss interrupts
// all of them, and against a role that no entry can take because a write to its key failed or the
// reply was lost.
test("a leader steps down on request and another entry takes over, despite lost replies and failed writes", async () => {
  const clock = new VirtualClock();
  const store = new KeyValueStore({ clock });
  const kv = new SwitchedKeyValue(store);
  let stepDown = false;
  const startRole = async (
    incarnation: string,
    options: Partial<LeaderRoleOptions>,
  ): Promise<LeaderRole> => {
    const leaseId = (await store.grantLease(600_000)).unwrap();
    const session = { leaseId } as never;
    const step = (): Promise<void> => Promise.resolve();
    const rest = { clock, random: new SeededRandom(1), intervalMs: 100, incarnation };
    const role = new LeaderRole({ name: "d", kv: store, session, step, ...rest, ...options });
    void role.run();
    return role;
  };
  kv.lostReplies = 1;
  const first = await startRole("e1", { kv, shouldStepDown: () => stepDown });
  await clock.advance(1);
  stepDown = true;
  const second = await startRole("e2", {});
  await clock.until(() => second.isLeader, 10_000);
  assert.is(first.isLeader, false);
  await second.stop();
  stepDown = false;
  await clock.until(() => first.isLeader, 10_000);
  kv.mode = "down";
  stepDown = true;
  await clock.advance(2000);
  kv.mode = "up";
  const third = await startRole("e3", {});
  await clock.until(() => third.isLeader, 10_000);
  assert.is(first.isLeader, false);
});

test.run();
