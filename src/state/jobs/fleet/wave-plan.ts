/** Chooses the instances of a maintenance wave to maintain next. */
import type { ControlledInstance } from "../../../ports/instance-control.ts";
import type { WaveRequest } from "../../../protocol/fleet-config.ts";

/** Largest share of a pool's instances that is drained or maintained at the same time. */
const MAX_SHARE_OF_POOL = 0.25;

/** An instance of a wave and the tasks that delay its maintenance. */
export interface WaveInstance {
  readonly instance: ControlledInstance;
  /** True if the instance takes no new tasks because its maintenance is next. */
  readonly reserved: boolean;
  /** Number of tasks that end by themselves; maintenance would lose their work. */
  readonly shortTasks: number;
  /** Number of long-running tasks, which restart on other instances. */
  readonly longTasks: number;
}

/** State of a wave. */
export interface WaveState {
  readonly request: WaveRequest;
  /** Instances that are still to be maintained. */
  readonly open: readonly WaveInstance[];
  /** Instances whose maintenance was ordered and that are not up again. */
  readonly inMaintenance: readonly ControlledInstance[];
  /** Number of instances of each pool that are up. */
  readonly poolSizes: ReadonlyMap<string, number>;
}

/**
 * Chooses the instances to reserve in addition to those already reserved. Spreads a wave over the
 * pools, so that each pool loses a small part of its capacity at a time. Instances with long-running
 * tasks come first, because availability budgets let those instances leave only one after the other,
 * which takes most of a wave's time. Instances that become idle soonest come next.
 */
export function chooseReservations(state: WaveState): readonly ControlledInstance[] {
  const { request, open, inMaintenance } = state;
  const unavailableByPool = new Map<string, number>();
  for (const { pool } of inMaintenance)
    unavailableByPool.set(pool, (unavailableByPool.get(pool) ?? 0) + 1);
  let slots = request.maxAtOnce - inMaintenance.length;
  for (const { instance, reserved } of open) {
    if (!reserved) continue;
    unavailableByPool.set(instance.pool, (unavailableByPool.get(instance.pool) ?? 0) + 1);
    slots--;
  }
  const chosen: ControlledInstance[] = [];
  for (const { instance, reserved } of [...open].sort(compareByWork)) {
    if (reserved || instance.state !== "up" || slots <= 0) continue;
    const inPool = unavailableByPool.get(instance.pool) ?? 0;
    if (inPool >= allowedInPool(state.poolSizes.get(instance.pool) ?? 1)) continue;
    unavailableByPool.set(instance.pool, inPool + 1);
    chosen.push(instance);
    slots--;
  }
  return chosen;
}

/**
 * Time in ms after an accepted order from which an instance that is still up with the same server shows
 * that the order was a repetition without effect.
 */
const REPEATED_ORDER_MS = 3000;

/** Effect of an accepted maintenance order. */
export type OrderEffect =
  /** The server that ran on the instance has ended, and with it everything that ran there. */
  | "applied"
  /** The list does not show the effect yet. */
  | "pending"
  /** The platform accepted a repetition of an order that it had already carried out. */
  | "none";

/**
 * Determines the effect of an accepted order from a list that was read after the order was answered.
 * The platform also accepts an order that it already carried out, when the reply was lost or went to
 * a previous scheduler. The instance and the tasks on it then keep running.
 */
export function effectOfOrder(
  listed: ControlledInstance | undefined,
  server: string | undefined,
  sinceMs: number,
): OrderEffect {
  if (listed === undefined) return "pending";
  if (listed.state !== "up" || listed.server !== server) return "applied";
  return sinceMs >= REPEATED_ORDER_MS ? "none" : "pending";
}

function allowedInPool(size: number): number {
  return Math.max(1, Math.floor(size * MAX_SHARE_OF_POOL));
}

function compareByWork(a: WaveInstance, b: WaveInstance): number {
  return (
    Number(b.longTasks > 0) - Number(a.longTasks > 0) ||
    a.shortTasks - b.shortTasks ||
    b.longTasks - a.longTasks
  );
}
