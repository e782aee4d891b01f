/** How many instances each pool needs, and which instances change their pool for it. */
import type { Resources } from "../../protocol/job-spec.ts";

/** Room beyond the sum of demands, since tasks do not fill backend servers exactly. */
const FRAGMENTATION_FACTOR = 1.15;
/** Instances that hold long-running tasks, so that one loss or maintenance takes few of them. */
const MIN_WITH_LONG_TASKS = 2;
/** A pool without any work keeps one instance, because a move takes longer than a short task. */
const MIN_INSTANCES = 1;
/** Time in ms for which an instance stays idle before it leaves its pool; moves cost little. */
const IDLE_BEFORE_RELEASE_MS = 2500;

/** Demand of a pool at one time. */
export interface PoolLoad {
  readonly pool: string;
  /** Demand of long-running tasks. */
  readonly long: Resources;
  /** Demand of other tasks that run or could start now. */
  readonly short: Resources;
  /** The same some time ago. */
  readonly shortBefore: Resources;
  /** Backend servers that a step needs because few of its tasks may share one. */
  readonly distinctServers: number;
  /** Capacity of a typical backend server of the pool. */
  readonly capacity: Resources;
}

/** An instance as a candidate for a move. */
export interface MovableInstance {
  readonly name: string;
  readonly pool: string;
  /** Its pool is the spare one, so it is switched off. */
  readonly spare: boolean;
  /** Nothing runs on it. */
  readonly idle: boolean;
  /** Time in ms since something ran on it. */
  readonly idleMs: number;
  readonly longTasks: number;
}

/** A change of pool. */
export interface PlannedMove {
  readonly instance: string;
  readonly pool: string;
}

/**
 * Instances that a pool needs. Answers queues whose demand rises within seconds to several times what
 * their pool holds, one after the other: the rise of the last second is taken to go on for the time
 * that a move takes.
 */
export function instancesNeeded(load: PoolLoad): number {
  const { long, short, shortBefore, capacity, distinctServers } = load;
  const needed = (["cpuMillis", "memoryMb", "accelerators"] as const).map((resource) => {
    if (capacity[resource] <= 0) return 0;
    const rise = Math.max(0, short[resource] - shortBefore[resource]);
    const demand = long[resource] + (short[resource] + rise) * FRAGMENTATION_FACTOR;
    return Math.ceil(demand / capacity[resource]);
  });
  const least = long.memoryMb + long.cpuMillis > 0 ? MIN_WITH_LONG_TASKS : MIN_INSTANCES;
  return Math.max(least, distinctServers, ...needed);
}

/** State of all pools. */
export interface PoolPlan {
  /** Instances that each pool needs; the spare pool is left out. */
  readonly needed: ReadonlyMap<string, number>;
  /** Instances that each pool has, with those on their way to it. */
  readonly sizes: ReadonlyMap<string, number>;
  readonly instances: readonly MovableInstance[];
  readonly sparePool: string | undefined;
}

/**
 * Chooses moves: pools that lack instances get them from the spare pool first, then idle ones of
 * pools that have more than they need; what stays idle is switched off.
 */
export function planMoves(plan: PoolPlan): readonly PlannedMove[] {
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
  const donors = plan.instances.filter(({ idle }) => idle).sort(bySpareFirst);
  for (const pool of [...plan.needed.keys()].sort((a, b) => surplus(a) - surplus(b))) {
    for (const donor of donors) {
      if (surplus(pool) >= 0) break;
      if (moved.has(donor.name) || donor.pool === pool) continue;
      if (donor.spare || surplus(donor.pool) > 0) move(donor, pool);
    }
  }
  if (plan.sparePool === undefined) return moves;
  for (const donor of donors) {
    if (donor.spare || moved.has(donor.name) || donor.idleMs < IDLE_BEFORE_RELEASE_MS) continue;
    if (surplus(donor.pool) > 0) move(donor, plan.sparePool);
  }
  return moves;
}

function bySpareFirst(a: MovableInstance, b: MovableInstance): number {
  return Number(b.spare) - Number(a.spare) || b.idleMs - a.idleMs;
}
