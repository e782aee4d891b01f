import type { Clock } from "../ports/clock.ts";
import type { Priority } from "../ports/backend-server.ts";
import { OPEN_TEAM, SharePolicy } from "../state/fair-share-queue.ts";
import type { ShareCorrection } from "../state/share-correction.ts";
import type { TeamUsage } from "../state/team-usage.ts";
import type { PoolLending } from "./pool-lending.ts";
import type { WaitEstimator } from "./wait-estimator.ts";
import type { Budgets } from "./ports.ts";
import type { ServerPicker } from "./server-picker.ts";

/** Options of {@link PoolSharePolicy}. */
export interface PoolSharePolicyOptions {
  readonly clock: Clock;
  readonly pool: string;
  readonly picker: ServerPicker;
  readonly lending: PoolLending;
  readonly budgets: Budgets;
  readonly waits: WaitEstimator;
  readonly usage: TeamUsage;
  /** Running tasks of a team in the whole fleet, as far as this entry knows. */
  readonly runningInFleet: (team: string) => number;
  readonly correction: ShareCorrection;
  /** True while urgent work queued for another pool could start in the slots of `slotPool`. */
  readonly hasUrgentInOtherPools: (slotPool: string) => boolean;
  /** True while a team is skipped because a charge was refused. */
  readonly isTeamPaused: (team: string) => boolean;
}

/** Share policy that releases items from a pool's queue when this entry can start them now. */
export class PoolSharePolicy extends SharePolicy {
  readonly #options: PoolSharePolicyOptions;

  constructor(options: PoolSharePolicyOptions) {
    super();
    this.#options = options;
  }

  hasFreeSlot(precedence: Priority): boolean {
    const { picker, lending, pool, hasUrgentInOtherPools } = this.#options;
    // Pools are served in a fixed order. Without this check, non-urgent work of an earlier pool
    // would take every lent slot before urgent work of a later pool.
    return lending
      .poolsFor(pool)
      .some(
        (each) =>
          picker.freeSlots(each, precedence) > 0 &&
          (precedence === "urgent" || !hasUrgentInOtherPools(each)),
      );
  }

  hasBudget(team: string): boolean {
    if (team === OPEN_TEAM) return true;
    return this.#options.budgets.availableBudget(team) > 0 && !this.#options.isTeamPaused(team);
  }

  usage(team: string): number {
    const { waits, correction } = this.#options;
    return this.#options.runningInFleet(team) / waits.weight(team) + correction.correctionFor(team);
  }

  recentStarts(team: string): number {
    const { clock, usage, waits } = this.#options;
    return usage.recentStarts(team, clock.now()) / waits.weight(team);
  }
}
