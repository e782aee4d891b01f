import { OPEN_TEAM } from "../state/fair-share-queue.ts";
import type { PoolLending } from "./pool-lending.ts";
import type { PoolQueue } from "./pool-queue.ts";
import type { Budgets } from "./ports.ts";
import type { ServerPicker } from "./server-picker.ts";

/** Options of {@link TeamDemand}. */
export interface TeamDemandOptions {
  readonly budgets: Budgets;
  readonly picker: ServerPicker;
  readonly lending: PoolLending;
  /** Queues by pool. */
  readonly queues: ReadonlyMap<string, PoolQueue>;
}

/** States each team's demand for budget. Budgets are raised for queued work only. */
export class TeamDemand {
  readonly #options: TeamDemandOptions;
  readonly #stated = new Map<string, number>();

  constructor(options: TeamDemandOptions) {
    this.#options = options;
  }

  /** States every demand that has changed. */
  report(): void {
    const startable = this.#startable();
    for (const team of new Set([...this.#stated.keys(), ...startable.keys()])) {
      const count = startable.get(team) ?? 0;
      if (team === OPEN_TEAM || (this.#stated.get(team) ?? 0) === count) continue;
      this.#options.budgets.setDemand(team, count);
      if (count > 0) this.#stated.set(team, count);
      else this.#stated.delete(team);
    }
  }

  /**
   * Queued items of each team that the slots held here could run. Budget kept for more than that
   * would stay unused while peers with free slots lack it.
   */
  #startable(): ReadonlyMap<string, number> {
    const { budgets, picker, lending, queues } = this.#options;
    const sums = new Map<string, number>();
    for (const [pool, queue] of queues) {
      const pools = lending.poolsFor(pool);
      const free = sumOf(pools, (each) => picker.freeSlots(each, "urgent"));
      const total = sumOf(pools, (each) => picker.totalSlots(each));
      for (const [team, count] of queue.queuedByTeam()) {
        const slots = Math.max(free, total - budgets.running(team));
        sums.set(team, (sums.get(team) ?? 0) + Math.min(count, Math.max(0, slots)));
      }
    }
    return sums;
  }
}

function sumOf(names: readonly string[], value: (name: string) => number): number {
  return names.reduce((sum, name) => sum + value(name), 0);
}
