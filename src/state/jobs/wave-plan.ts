/** Which instances of a maintenance wave come next. */
import type { ControlledInstance } from "../../ports/instance-control.ts";
import type { WaveRequest } from "../../protocol/fleet-config.ts";

/** Instances of one pool that are emptied or maintained at the same time. */
const MAX_SHARE_OF_POOL = 0.25;

/** An instance of a wave and what hinders its maintenance. */
export interface WaveInstance {
  readonly instance: ControlledInstance;
  /** It takes no new tasks because its maintenance is next. */
  readonly reserved: boolean;
  /** Tasks that end by themselves; maintenance would lose their work. */
  readonly shortTasks: number;
  /** Long-running tasks, which start again elsewhere. */
  readonly longTasks: number;
}

/** State of a wave. */
export interface WaveState {
  readonly request: WaveRequest;
  /** Instances that are still to be maintained. */
  readonly open: readonly WaveInstance[];
  /** Instances whose maintenance was ordered and that are not back. */
  readonly inMaintenance: readonly ControlledInstance[];
  /** Instances of each pool that are up. */
  readonly poolSizes: ReadonlyMap<string, number>;
}

/**
 * Chooses the instances to reserve, in addition to those that are. Spreads a wave over the pools, so
 * that each pool loses a small part of its capacity at a time. Instances with long-running tasks come
 * first, because availability budgets let those leave only one after the other, which takes most of
 * a wave's time; then come those that are empty soonest.
 */
export function chooseReservations(state: WaveState): readonly ControlledInstance[] {
  const { request, open, inMaintenance: underway } = state;
  const busy = new Map<string, number>();
  for (const { pool } of underway) busy.set(pool, (busy.get(pool) ?? 0) + 1);
  let slots = request.maxAtOnce - underway.length;
  for (const { instance, reserved } of open) {
    if (!reserved) continue;
    busy.set(instance.pool, (busy.get(instance.pool) ?? 0) + 1);
    slots--;
  }
  const chosen: ControlledInstance[] = [];
  for (const { instance, reserved } of [...open].sort(byWork)) {
    if (reserved || instance.state !== "up" || slots <= 0) continue;
    const inPool = busy.get(instance.pool) ?? 0;
    if (inPool >= allowedInPool(state.poolSizes.get(instance.pool) ?? 1)) continue;
    busy.set(instance.pool, inPool + 1);
    chosen.push(instance);
    slots--;
  }
  return chosen;
}

/** An instance that is still up with the same server after this time in ms was maintained before. */
const REPEATED_ORDER_MS = 3000;

/** What became of an accepted maintenance order. */
export type OrderEffect =
  /** The server that ran on the instance is gone, and everything that ran on it. */
  | "taken"
  /** The list does not show it yet. */
  | "awaited"
  /** The platform accepted a repetition of an order that had been carried out before. */
  | "none";

/**
 * Tells what an accepted order did, from a list that was read after its answer. The platform also
 * accepts orders that were carried out before, whose answer was lost or went to a former scheduler;
 * the instance then runs on, and so does the work on it.
 */
export function effectOfOrder(
  listed: ControlledInstance | undefined,
  server: string | undefined,
  sinceMs: number,
): OrderEffect {
  if (listed === undefined) return "awaited";
  if (listed.state !== "up" || listed.server !== server) return "taken";
  return sinceMs >= REPEATED_ORDER_MS ? "none" : "awaited";
}

function allowedInPool(size: number): number {
  return Math.max(1, Math.floor(size * MAX_SHARE_OF_POOL));
}

function byWork(a: WaveInstance, b: WaveInstance): number {
  return (
    Number(b.longTasks > 0) - Number(a.longTasks > 0) ||
    a.shortTasks - b.shortTasks ||
    b.longTasks - a.longTasks
  );
}
