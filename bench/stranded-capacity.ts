import type { Arrival } from "./scenario.ts";
import type { TeamPlan } from "./site.ts";
import type { TeamUse } from "./share-windows.ts";

/**
 * A request younger than this, in milliseconds, may be in transit between processes and does not
 * count as waiting for a slot.
 */
const MAX_TRANSIT_MS = 50;

/** State of the fleet at one sample. */
export interface FleetSample {
  readonly now: number;
  readonly use: ReadonlyMap<string, TeamUse>;
  /** Free slots by pool; negative while slots of the urgent reserve are in use. */
  readonly free: ReadonlyMap<string, number>;
  /** Queued requests with the time at which each was submitted. */
  readonly waiting: Iterable<readonly [Arrival, number]>;
  /** Task budget that is still recorded for entry instances that no longer run. */
  readonly lostBudget: number;
}

/**
 * Measures stranded capacity: slots that stay free although requests wait in their pool whose teams
 * are below their upper limits, and task budget that is still recorded for entry instances that no
 * longer run.
 */
export class StrandedCapacity {
  readonly #teams: readonly TeamPlan[];
  #samples = 0;
  #strandedSlotSum = 0;
  #worstSlots = 0;
  #worstBudget = 0;
  #budgetSamples = 0;
  #limitSamples = 0;
  #limitUseSum = 0;

  constructor(teams: readonly TeamPlan[]) {
    this.#teams = teams;
  }

  /** Adds one sample; returns true if requests wait in every pool. */
  sample(sample: FleetSample): boolean {
    const { use, free, lostBudget } = sample;
    const queued = queuedByPool(sample);
    const remainingLimits = new Map(
      this.#teams.map(({ name, upperLimit }) => [name, upperLimit - use.get(name)!.running]),
    );
    let stranded = 0;
    for (const [pool, teams] of queued) {
      let left = Math.max(0, free.get(pool) ?? 0);
      for (const [team, count] of teams) {
        const startable = Math.max(0, Math.min(count, remainingLimits.get(team)!, left));
        remainingLimits.set(team, remainingLimits.get(team)! - startable);
        left -= startable;
        stranded += startable;
      }
    }
    this.#sampleLimitUse(queued, use);
    this.#samples++;
    this.#strandedSlotSum += stranded;
    this.#worstSlots = Math.max(this.#worstSlots, stranded);
    this.#worstBudget = Math.max(this.#worstBudget, lostBudget);
    if (lostBudget > 0) this.#budgetSamples++;
    return [...free.keys()].every((pool) => queued.has(pool));
  }

  figures(sampleMs: number): readonly (readonly [string, number])[] {
    const found: (readonly [string, number])[] = [
      ["stranded slots mean", this.#strandedSlotSum / Math.max(1, this.#samples)],
      ["stranded slots worst", this.#worstSlots],
      ["stranded budget worst", this.#worstBudget],
      ["stranded budget s", (this.#budgetSamples * sampleMs) / 1000],
    ];
    if (this.#limitSamples > 0)
      found.push(["limit use while work waits %", (100 * this.#limitUseSum) / this.#limitSamples]);
    return found;
  }

  #sampleLimitUse(
    queued: ReadonlyMap<string, ReadonlyMap<string, number>>,
    use: ReadonlyMap<string, TeamUse>,
  ): void {
    for (const { name, upperLimit } of this.#teams) {
      if (![...queued.values()].some((teams) => teams.has(name))) continue;
      this.#limitSamples++;
      this.#limitUseSum += use.get(name)!.running / upperLimit;
    }
  }
}

/** Waiting requests by pool and team, without those that may be in transit. */
function queuedByPool({ now, waiting }: FleetSample): Map<string, Map<string, number>> {
  const queued = new Map<string, Map<string, number>>();
  for (const [{ queue, team }, since] of waiting) {
    if (now - since < MAX_TRANSIT_MS) continue;
    const teams = queued.get(queue) ?? new Map<string, number>();
    queued.set(queue, teams.set(team, (teams.get(team) ?? 0) + 1));
  }
  return queued;
}
