import fc from "fast-check";
import { TEAMS } from "../fleet-plan.ts";
import type { World } from "../world.ts";
import { command, type FuzzCommand } from "./command.ts";
import { cutFor, submitEverywhere } from "./effects.ts";

/** Duration of the outage in milliseconds; keyed requests must be accepted 6 s after its start. */
const OUTAGE_MS = 16_000;
/** Time between two rounds of requests, in milliseconds. */
const ROUND_MS = 4000;
/** Time before the outage in which only one entry reaches the platform, in milliseconds. */
const SINGLE_READER_MS = 300;

/** When an operator withdraws a key, relative to the start of the outage; undefined for never. */
type Withdrawal =
  | { readonly beforeMs: number }
  | { readonly afterMs: number }
  /** Just before the outage, while only the entry instance with this index reaches the platform. */
  | { readonly readBy: number }
  | undefined;

/**
 * Makes the platform unreachable for every zone while the zones reach each other. Callers continue
 * with an old key, which an operator may have withdrawn, and with a new one.
 */
async function outage(world: World, team: string, withdrawal: Withdrawal): Promise<void> {
  const { operators } = world;
  const oldKey = operators.validKey(team);
  world.runOperatorCommand(operators.issueKey(team));
  // Entries must accept keyed requests only if they were connected for 6 s before the outage.
  await world.advance(7000);
  const newestKey = operators.keys.get(team)?.at(-1);
  const request = { queue: "plans", team, timeoutMs: 2000 };
  // Budgets of idle teams are returned and cannot be raised in an outage, so this team sends work.
  submitEverywhere(world, { ...request, key: newestKey });
  await world.advance(1000);
  if (withdrawal !== undefined && "beforeMs" in withdrawal) {
    world.runOperatorCommand(operators.withdrawKey(team));
    await world.advance(withdrawal.beforeMs);
  }
  if (withdrawal !== undefined && "readBy" in withdrawal) {
    const reader = world.slot(withdrawal.readBy);
    for (const { tag } of world.slots)
      if (tag !== reader.tag) cutFor(world, tag, "platform", OUTAGE_MS + SINGLE_READER_MS, false);
    world.runOperatorCommand(operators.withdrawKey(team));
    await world.advance(SINGLE_READER_MS);
  }
  cutFor(world, "entry", "platform", OUTAGE_MS, false);
  world.observe();
  for (let passed = 0; passed < OUTAGE_MS; passed += ROUND_MS) {
    if (withdrawal !== undefined && "afterMs" in withdrawal && withdrawal.afterMs === passed)
      world.runOperatorCommand(operators.withdrawKey(team));
    for (const key of [oldKey, newestKey]) submitEverywhere(world, { ...request, key });
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

/** Commands that cause platform-wide outages. */
export const outageCommands: readonly fc.Arbitrary<FuzzCommand>[] = [
  fc.tuple(fc.constantFrom(...TEAMS), withdrawals).map(command("outage", outage)),
];
