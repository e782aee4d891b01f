/** How many instances each pool needs, and which instances change their pool for it. */
import type { Resources } from "../../protocol/job-spec.ts";

/** Room beyond the sum of demands, since tasks do not fill backend servers exactly. */
const FRAGMENTATION_FACTOR = 1.15;
/** Part of the last second's rise that is expected to come again. */
const RISE_WEIGHT = 1;
/** Instances that hold long-running tasks, so that one loss or maintenance takes few of them. */
const MIN_WITH_LONG_TASKS = 2;
/** A pool without any work keeps one instance, because a move takes longer than a short task. */
const MIN_INSTANCES = 1;
/** Time in ms for which an instance stays idle before it leaves its pool; moves cost little. */
const IDLE_BEFORE_RELEASE_MS = 1500;

/** Demand of a pool at one time. */
export interface PoolDemand {
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
  /** It takes no new tasks because its pool has more than it needs. */
  readonly draining: boolean;
  readonly shortTasks: number;
  readonly longTasks: number;
}

/** A change of pool. */
export interface PlannedMove {
  readonly instance: string;
  readonly pool: string;
}

/**
 * Instances that a pool needs. Answers queues whose demand rises within seconds to several times what
 * their pool holds, one after the other: a part of the last second's rise is taken to come again
 * while a move takes place.
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

/** Instances that a pool asks for, by what they are for. */
export interface PoolClaim {
  readonly pool: string;
  /** For long-running tasks, and the least that a pool keeps. */
  readonly base: number;
  /** With work that can still be on time. */
  readonly onTime: number;
  /** With work that is late in any case. */
  readonly all: number;
}

/**
 * Shares the instances that can be used among pools that together ask for more. Answers turns that
 * follow on each other: the backlog of the last turn, which is late in any case, must not keep the
 * instances that the work of the next one needs to be on time.
 */
export function shareInstances(
  claims: readonly PoolClaim[],
  available: number,
): ReadonlyMap<string, number> {
  const granted = new Map(claims.map(({ pool, base }) => [pool, base]));
  for (const level of ["onTime", "all"] as const) {
    const wanted = claims.map((claim) => claim[level] - (granted.get(claim.pool) ?? 0));
    const left = available - [...granted.values()].reduce((sum, count) => sum + count, 0);
    for (const [index, more] of divide(wanted, left).entries()) {
      const { pool } = claims[index] ?? { pool: "" };
      granted.set(pool, (granted.get(pool) ?? 0) + more);
    }
  }
  return granted;
}

/** Divides a number of instances in proportion to what is wanted, and never more than that. */
function divide(wanted: readonly number[], available: number): readonly number[] {
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
    if (donor.spare || moved.has(donor.name)) continue;
    if (!donor.draining && donor.idleMs < IDLE_BEFORE_RELEASE_MS) continue;
    if (surplus(donor.pool) > 0) move(donor, plan.sparePool);
  }
  return moves;
}

/**
 * Chooses the instances of each pool that take no new tasks, so that they become idle: as many as the
 * pool has beyond its need, those with the least work first. Answers the end of a queue's turn, when
 * what is left of its work would otherwise keep every instance of the pool busy a little.
 */
export function chooseDraining(plan: PoolPlan): ReadonlySet<string> {
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

function bySpareFirst(a: MovableInstance, b: MovableInstance): number {
  return Number(b.spare) - Number(a.spare) || b.idleMs - a.idleMs;
}
