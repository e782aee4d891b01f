import { OPEN_TEAM } from "../state/fair-share-queue.ts";
import type { PoolLending } from "./pool-lending.ts";
import type { PoolQueue } from "./pool-queue.ts";
import type { Budgets } from "./ports.ts";
import type { ServerPicker } from "./server-picker.ts";
import type { TaskStarter } from "./task-starter.ts";

/** Options of {@link TeamDemand}. */
export interface TeamDemandOptions {
  readonly budgets: Budgets;
  readonly lending: PoolLending;
  readonly picker: ServerPicker;
  readonly starter: TaskStarter;
  /** Dispatch queues by pool. */
  readonly queues: ReadonlyMap<string, PoolQueue>;
}

/** Reports to the budget keeper how many tasks of each team wait for budget. */
export class TeamDemand {
  readonly #options: TeamDemandOptions;
  readonly #reported = new Map<string, number>();

  constructor(options: TeamDemandOptions) {
    this.#options = options;
  }

  /** Reports each change since the last call. Queues open to all need no budget. */
  report(): void {
    const demand = this.#byTeam();
    for (const team of new Set([...this.#reported.keys(), ...demand.keys()])) {
      const count = demand.get(team) ?? 0;
      if (team === OPEN_TEAM || (this.#reported.get(team) ?? 0) === count) continue;
      this.#options.budgets.setDemand(team, count);
      if (count > 0) this.#reported.set(team, count);
      else this.#reported.delete(team);
    }
  }

  /**
   * Queued tasks of each team that could start here with more budget. If the team's own tasks
   * occupy the slots, this entry cannot use more budget, and entries with free slots would lack it.
   */
  #byTeam(): ReadonlyMap<string, number> {
    const { lending, picker, starter, queues } = this.#options;
    const demand = new Map<string, number>();
    for (const [pool, queue] of queues) {
      const pools = lending.poolsFor(pool);
      const slots = pools.reduce((sum, each) => sum + picker.totalSlots(each), 0);
      for (const [team, queued] of queue.queuedByTeam()) {
        const own = pools.reduce((sum, each) => sum + starter.running(each, team), 0);
        const usable = Math.min(queued, Math.max(0, slots - own));
        demand.set(team, (demand.get(team) ?? 0) + usable);
      }
    }
    return demand;
  }
}
