import type { Resources } from "../../../protocol/job-spec.ts";
import { accumulate, add, emptySum, subtract, times } from "../scheduling/resources.ts";
import type { OutstandingWork } from "./outstanding-work.ts";

/** One instance, or one backend server where instances do not move. */
export interface FleetMember {
  readonly pool: string;
  readonly capacity: Resources;
}

/** Capacity and outstanding work of all pools. */
export interface FleetWork {
  readonly members: readonly FleetMember[];
  /** True if instances move between pools as demand requires. */
  readonly instancesMove: boolean;
  readonly workByPool: ReadonlyMap<string, readonly OutstandingWork[]>;
}

/**
 * Capacity of a pool at its full size over the next `horizonMs`. Where instances move, it is the
 * capacity of the fleet less what the other pools need for the work that they have, at most their
 * present size: a pool that is idle soon gives its instances away.
 */
export function fullSize(pool: string, fleet: FleetWork, horizonMs: number): Resources {
  const { members, instancesMove, workByPool } = fleet;
  const own = total(members, pool);
  if (!instancesMove) return own;
  let size = total(members);
  for (const [other, items] of workByPool) {
    if (other === pool) continue;
    const { work, held } = totalWork(items);
    const needed = add(held, times(work, horizonMs > 0 ? 1 / horizonMs : 0));
    const present = total(members, other);
    size = subtract(size, smaller(needed, present));
  }
  return size;
}

/** Sums of a pool's work, cached because every other pool's size depends on them. */
const totals = new WeakMap<readonly OutstandingWork[], TotalWork>();

interface TotalWork {
  readonly work: Resources;
  readonly held: Resources;
}

/** Work left and resources held of all jobs of a pool. */
export function totalWork(items: readonly OutstandingWork[]): TotalWork {
  let sum = totals.get(items);
  if (sum === undefined) {
    const work = emptySum();
    const held = emptySum();
    for (const item of items) {
      accumulate(work, item.work);
      accumulate(held, item.held);
    }
    totals.set(items, (sum = { work, held }));
  }
  return sum;
}

/** Capacity of the members of a pool, or of all members. */
function total(members: readonly FleetMember[], pool?: string): Resources {
  const sum = emptySum();
  for (const member of members)
    if (pool === undefined || member.pool === pool) accumulate(sum, member.capacity);
  return sum;
}

function smaller(a: Resources, b: Resources): Resources {
  return {
    cpuMillis: Math.min(a.cpuMillis, b.cpuMillis),
    memoryMb: Math.min(a.memoryMb, b.memoryMb),
    accelerators: Math.min(a.accelerators, b.accelerators),
  };
}
