import fc from "fast-check";
import type { SimulatedRequest } from "../callers.ts";
import { DECLARED_RUN_MS, QUEUES, TEAMS } from "../fleet-plan.ts";
import type { World } from "../world.ts";
import { command, type FuzzCommand } from "./command.ts";

type IdKind = "none" | "order-number" | "uuid" | "issued" | "old-uuid" | "future-uuid";
type KeyKind = "newest" | "oldest" | "other-team" | "unknown" | "none";

interface Draft {
  readonly entry: number;
  readonly queue: number;
  readonly team: number;
  readonly keyKind: KeyKind;
  readonly idKind: IdKind;
  readonly priority: SimulatedRequest["priority"];
  readonly mode: "sync" | "async";
  readonly atMostOnce: boolean;
  readonly timeoutMs: number;
  readonly runMs: number;
  readonly bad: boolean;
  readonly count: number;
}

const index = fc.nat({ max: 11 });

const drafts: fc.Arbitrary<Draft> = fc.record({
  entry: index,
  queue: fc.nat({ max: QUEUES.length - 1 }),
  team: fc.nat({ max: TEAMS.length - 1 }),
  keyKind: fc.constantFrom<KeyKind>(
    "newest",
    "newest",
    "newest",
    "newest",
    "oldest",
    "oldest",
    "unknown",
    "none",
  ),
  idKind: fc.constantFrom<IdKind>(
    "none",
    "none",
    "order-number",
    "uuid",
    "issued",
    "old-uuid",
    "future-uuid",
  ),
  priority: fc.constantFrom<SimulatedRequest["priority"]>("normal", "urgent", "batch"),
  mode: fc.constantFrom("sync", "async"),
  atMostOnce: fc.boolean(),
  timeoutMs: fc.constantFrom(30_000, 10_000, 2000, 300),
  // The last two are at least 20 times the declared run time.
  runMs: fc.constantFrom(DECLARED_RUN_MS, 20, 1500, 20 * DECLARED_RUN_MS, 25_000),
  bad: fc.constantFrom(false, false, false, false, true),
  count: fc.constantFrom(1, 1, 2, 4, 12),
});

function keyOf(world: World, { keyKind, team }: Draft): string | undefined {
  const keys = world.operators.keys.get(TEAMS[team]!) ?? [];
  if (keyKind === "none") return undefined;
  if (keyKind === "unknown") return `${"0".repeat(12)}.${"0".repeat(64)}`;
  return keyKind === "oldest" ? keys[0] : keys.at(-1);
}

function idOf(world: World, { idKind, entry }: Draft): string | undefined {
  const wallTime = world.clock.wallTime();
  const number = Math.floor(world.random.next() * 1e9);
  if (idKind === "order-number") return `order-${number}`;
  if (idKind === "uuid") return world.random.uuidV7(wallTime);
  if (idKind === "old-uuid") return world.random.uuidV7(wallTime - 2 * 3_600_000);
  if (idKind === "future-uuid") return world.random.uuidV7(wallTime + 60_000);
  const process = world.slot(entry).process;
  if (idKind !== "issued" || process === undefined || process.party.gate.paused) return undefined;
  return process.instance.requests.issueId();
}

function send(world: World, draft: Draft): void {
  for (let n = 0; n < draft.count; n++) {
    const key = keyOf(world, draft);
    const request: SimulatedRequest = {
      queue: QUEUES[draft.queue]!.name,
      team: key === undefined ? undefined : TEAMS[draft.team],
      key,
      idempotencyKey: idOf(world, draft),
      priority: draft.priority,
      atMostOnce: draft.atMostOnce,
      timeoutMs: draft.timeoutMs,
      job: world.callers.newJob(draft.runMs, draft.bad),
    };
    world.callers.submit(request, world.slot(draft.entry + n), draft.mode);
  }
}

/** Retries an earlier request, possibly through another entry instance. */
function retry(world: World, which: number, entry: number, mode: "sync" | "async"): void {
  const { retryable } = world.callers;
  const request = retryable.at(-1 - (which % Math.max(1, retryable.length)));
  if (request !== undefined) world.callers.submit(request, world.slot(entry), mode);
}

/**
 * Submits requests with idempotency keys and, after they have ended, retries them in reverse order
 * through another entry. Backend servers refuse a start that they have seen before, and an idle
 * entry would start a single request on the same server again. With several requests in another
 * order, repeated starts reach other servers, which run them, and the oracle detects them.
 */
async function retryNonIdempotent(world: World, entry: number, team: string): Promise<void> {
  const requests = [1, 2, 3].map(() => newNonIdempotentRequest(world, team));
  for (const request of requests) world.callers.submit(request, world.slot(entry), "sync");
  await world.advance(2500);
  for (const request of requests.reverse())
    world.callers.submit(request, world.slot(entry + 1), "sync");
}

function newNonIdempotentRequest(world: World, team: string): SimulatedRequest {
  return {
    queue: "orders",
    team,
    key: world.operators.validKey(team),
    idempotencyKey: `order-${Math.floor(world.random.next() * 1e9)}`,
    priority: "normal",
    atMostOnce: false,
    timeoutMs: 2000,
    job: world.callers.newJob(50),
  };
}

const mode = fc.constantFrom<"sync" | "async">("sync", "async");

/** Commands of callers. */
export const requestCommands: readonly fc.Arbitrary<FuzzCommand>[] = [
  fc.tuple(drafts).map(command("submit", send)),
  fc.tuple(drafts).map(command("submit", send)),
  fc.tuple(fc.nat({ max: 5 }), index, mode).map(command("retry", retry)),
  fc.tuple(index, fc.constantFrom(...TEAMS)).map(command("retryNonIdempotent", retryNonIdempotent)),
  fc.tuple(index, fc.constantFrom(...TEAMS)).map(command("retryNonIdempotent", retryNonIdempotent)),
  fc.tuple(index, fc.constantFrom(1, 20)).map(
    command("cancel", (world: World, entry: number, count: number) => {
      world.callers.cancel(world.slot(entry), count);
    }),
  ),
  fc.tuple(index).map(
    command("query", (world: World, entry: number) => {
      world.callers.queryAll(world.slot(entry), 500);
    }),
  ),
];
