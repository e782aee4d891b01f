/** Computes how many instances each pool needs and which instances to move between pools. */
import type { Resources } from "../../../protocol/job-spec.ts";

/** Capacity over the sum of demands; the extra is needed since tasks do not fill servers exactly. */
const FRAGMENTATION_FACTOR = 1.15;
/** Part of the last second's rise in demand that is expected to recur. */
const RISE_WEIGHT = 1;
/**
 * Minimum number of instances of a pool with long-running tasks, so that the loss or maintenance of
 * one instance ends few of them.
 */
const MIN_WITH_LONG_TASKS = 2;
/** An idle pool keeps one instance, because a move takes longer than a short task. */
const MIN_INSTANCES = 1;
/** Idle time in ms after which an instance leaves its pool; short because moves cost little. */
const IDLE_BEFORE_RELEASE_MS = 1500;

/** Demand of a pool at one point in time. */
export interface PoolDemand {
  readonly pool: string;
  /** Demand of long-running tasks. */
  readonly long: Resources;
  /** Demand of other tasks that run or could start now. */
  readonly short: Resources;
  /** Value of `short` about a second earlier. */
  readonly shortBefore: Resources;
  /** Backend servers that a step needs because of its limit of tasks per server. */
  readonly distinctServers: number;
  /** Capacity of a typical backend server of the pool. */
  readonly capacity: Resources;
}

/** An instance as a candidate for a move. */
export interface MovableInstance {
  readonly name: string;
  readonly pool: string;
  /** True if the instance is in the spare pool and therefore switched off. */
  readonly spare: boolean;
  /** True if no task runs on the instance. */
  readonly idle: boolean;
  /** Time in ms since the last task ran on the instance. */
  readonly idleMs: number;
  /** True if the instance takes no new tasks because its pool has a surplus. */
  readonly draining: boolean;
  readonly shortTasks: number;
  readonly longTasks: number;
}

/** A move of an instance to another pool. */
export interface PlannedMove {
  readonly instance: string;
  readonly pool: string;
}

/**
 * Number of instances that a pool needs. The demand of one queue after the other may rise within
 * seconds to several times the capacity of its pool, so a part of the last second's rise is expected
 * to recur while an instance moves.
 */
export function instancesNeeded(load: PoolDemand): number {
  const { long, short, shortBefore, capacity, distinctServers } = load;
  const needed = (["cpuMillis", "memoryMb", "accelerators"] as const).map((resource) => {
    if (capacity[resource] <= 0) return 0;
    const rise = Math.max(0, short[resource] - shortBefore[resource]) * RISE_WEIGHT;
    const demand = long[resource] + (short[resource] + rise) * FRAGMENTATION_FACTOR;
    return Math.ceil(demand / capacity[resource]);
  });
  const least = long.memoryMb + long.cpuMillis > 0 ? MIN_WITH_LONG_TASKS : MIN_INSTANCES;
  return Math.max(least, distinctServers, ...needed);
}

/** Numbers of instances that a pool requests, by purpose. */
export interface PoolClaim {
  readonly pool: string;
  /** For long-running tasks and the minimum size of the pool. */
  readonly base: number;
  /** Including work that can still be on time. */
  readonly onTime: number;
  /** Including work that will be late in any case. */
  readonly all: number;
}

/**
 * Shares the available instances among pools that may request more in total. When demand peaks follow
 * each other, the backlog of the last peak, which is late in any case, must not keep the instances
 * that the next peak needs to be on time. Each pool is granted its base number in any case.
 */
export function shareInstances(
  claims: readonly PoolClaim[],
  available: number,
): ReadonlyMap<string, number> {
  const granted = new Map(claims.map(({ pool, base }) => [pool, base]));
  for (const level of ["onTime", "all"] as const) {
    const wanted = claims.map((claim) => claim[level] - (granted.get(claim.pool) ?? 0));
    const left = available - [...granted.values()].reduce((sum, count) => sum + count, 0);
    for (const [index, more] of divideProportionally(wanted, left).entries()) {
      const { pool } = claims[index] ?? { pool: "" };
      granted.set(pool, (granted.get(pool) ?? 0) + more);
    }
  }
  return granted;
}

/** Divides instances in proportion to the numbers wanted, without exceeding any of these. */
function divideProportionally(wanted: readonly number[], available: number): readonly number[] {
  const asked = wanted.map((count) => Math.max(0, count));
  const sum = asked.reduce((total, count) => total + count, 0);
  if (sum <= available) return asked;
  if (available <= 0) return asked.map(() => 0);
  const exact = asked.map((count) => (count * available) / sum);
  const shares = exact.map(Math.floor);
  let left = available - shares.reduce((total, count) => total + count, 0);
  const byRemainder = [...exact.keys()].sort(
    (a, b) => (exact[b] ?? 0) - (shares[b] ?? 0) - ((exact[a] ?? 0) - (shares[a] ?? 0)),
  );
  for (const index of byRemainder) {
    if (left <= 0) break;
    shares[index] = (shares[index] ?? 0) + 1;
    left--;
  }
  return shares;
}

/** Sizes, needs and instances of all pools, from which moves and draining instances are chosen. */
export interface PoolsSnapshot {
  /** Number of instances that each pool needs, without the spare pool. */
  readonly needed: ReadonlyMap<string, number>;
  /** Number of instances of each pool, including those that are moving to it. */
  readonly sizes: ReadonlyMap<string, number>;
  readonly instances: readonly MovableInstance[];
  readonly sparePool: string | undefined;
}

/**
 * Chooses moves. A pool that lacks instances gets them from the spare pool first and then idle ones
 * from pools with a surplus. Surplus instances move to the spare pool, which switches them off,
 * once they have drained or have been idle for some time.
 */
export function planMoves(plan: PoolsSnapshot): readonly PlannedMove[] {
  const sizes = new Map(plan.sizes);
  const moves: PlannedMove[] = [];
  const moved = new Set<string>();
  const move = ({ name, pool }: MovableInstance, to: string): void => {
    moves.push({ instance: name, pool: to });
    moved.add(name);
    sizes.set(pool, (sizes.get(pool) ?? 0) - 1);
    sizes.set(to, (sizes.get(to) ?? 0) + 1);
  };
  const surplus = (pool: string): number => (sizes.get(pool) ?? 0) - (plan.needed.get(pool) ?? 0);
  const donors = plan.instances.filter(({ idle }) => idle).sort(compareSpareFirst);
  for (const pool of [...plan.needed.keys()].sort((a, b) => surplus(a) - surplus(b))) {
    for (const donor of donors) {
      if (surplus(pool) >= 0) break;
      if (moved.has(donor.name) || donor.pool === pool) continue;
      if (donor.spare || surplus(donor.pool) > 0) move(donor, pool);
    }
  }
  if (plan.sparePool === undefined) return moves;
  for (const donor of donors) {
    if (donor.spare || moved.has(donor.name)) continue;
    if (!donor.draining && donor.idleMs < IDLE_BEFORE_RELEASE_MS) continue;
    if (surplus(donor.pool) > 0) move(donor, plan.sparePool);
  }
  return moves;
}

/**
 * Chooses the surplus instances of each pool that take no new tasks, so that they become idle. Those
 * with the least work come first; those with long-running tasks are never chosen. At the end of a
 * demand peak the remaining work would otherwise keep every instance of the pool slightly busy.
 */
export function chooseDraining(plan: PoolsSnapshot): ReadonlySet<string> {
  const chosen = new Set<string>();
  for (const [pool, needed] of plan.needed) {
    const surplus = (plan.sizes.get(pool) ?? 0) - needed;
    if (surplus <= 0) continue;
    const candidates = plan.instances
      .filter((instance) => instance.pool === pool && instance.longTasks === 0)
      .sort((a, b) => a.shortTasks - b.shortTasks);
    for (const { name } of candidates.slice(0, surplus)) chosen.add(name);
  }
  return chosen;
}

/** The pools as they are once the planned moves are carried out, without the moving instances. */
export function afterMoves(plan: PoolsSnapshot, moves: readonly PlannedMove[]): PoolsSnapshot {
  const targets = new Map(moves.map(({ instance, pool }) => [instance, pool]));
  const sizes = new Map(plan.sizes);
  for (const { name, pool } of plan.instances) {
    const target = targets.get(name);
    if (target === undefined) continue;
    sizes.set(pool, (sizes.get(pool) ?? 0) - 1);
    sizes.set(target, (sizes.get(target) ?? 0) + 1);
  }
  const instances = plan.instances.filter(({ name }) => !targets.has(name));
  return { ...plan, sizes, instances };
}

function compareSpareFirst(a: MovableInstance, b: MovableInstance): number {
  return Number(b.spare) - Number(a.spare) || b.idleMs - a.idleMs;
}
