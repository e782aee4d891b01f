import fc from "fast-check";
import { TEAMS } from "../fleet-plan.ts";
import type { World } from "../world.ts";
import { command, type FuzzCommand } from "./command.ts";
import { cutFor, submitEverywhere } from "./effects.ts";

/** Length of the outage in milliseconds; the rule binds entries from 6 s after its beginning. */
const OUTAGE_MS = 16_000;
/** Time between two rounds of requests, in milliseconds. */
const ROUND_MS = 4000;
/** Time for which only one entry instance reaches the platform, in milliseconds. */
const READ_MS = 300;

/** When an operator withdraws a key, relative to the beginning of the outage. */
type Withdrawal =
  | { readonly beforeMs: number }
  | { readonly afterMs: number }
  /** Just before, when one entry instance is the last that reaches the platform. */
  | { readonly readBy: number }
  | undefined;

/**
 * The platform is unreachable for every zone while the zones reach each other. Callers go on with
 * an old key, which an operator may have withdrawn, and with a new one.
 */
async function outage(world: World, team: string, withdrawal: Withdrawal): Promise<void> {
  const { operators } = world;
  const old = operators.validKey(team);
  world.operate(operators.giveKey(team));
  // Time in which the entries meet, so that the rule for outages binds them.
  await world.advance(7000);
  const newest = operators.keys.get(team)?.at(-1);
  const work = { queue: "plans", team, timeoutMs: 2000 };
  // Budgets of idle teams are returned and cannot be raised in an outage, so this team is not idle.
  submitEverywhere(world, { ...work, key: newest });
  await world.advance(1000);
  if (withdrawal !== undefined && "beforeMs" in withdrawal) {
    world.operate(operators.withdrawKey(team));
    await world.advance(withdrawal.beforeMs);
  }
  if (withdrawal !== undefined && "readBy" in withdrawal) {
    const reader = world.slot(withdrawal.readBy);
    for (const { tag } of world.slots)
      if (tag !== reader.tag) cutFor(world, tag, "platform", OUTAGE_MS + READ_MS, false);
    world.operate(operators.withdrawKey(team));
    await world.advance(READ_MS);
  }
  cutFor(world, "entry", "platform", OUTAGE_MS, false);
  world.observe();
  for (let passed = 0; passed < OUTAGE_MS; passed += ROUND_MS) {
    if (withdrawal !== undefined && "afterMs" in withdrawal && withdrawal.afterMs === passed)
      world.operate(operators.withdrawKey(team));
    for (const key of [old, newest]) submitEverywhere(world, { ...work, key });
    await world.advance(ROUND_MS);
  }
}

const withdrawals = fc.constantFrom<Withdrawal>(
  undefined,
  { beforeMs: 10 },
  { beforeMs: 1500 },
  { readBy: 0 },
  { readBy: 3 },
  { afterMs: 0 },
  { afterMs: 8000 },
);

/** Commands of platform-wide outages. */
export const outageCommands: readonly fc.Arbitrary<FuzzCommand>[] = [
  fc.tuple(fc.constantFrom(...TEAMS), withdrawals).map(command("outage", outage)),
];
