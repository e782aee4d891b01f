import type { Clock } from "../../../ports/clock.ts";
import type { RunRegistry } from "../../../state/jobs/execution/run-registry.ts";
import type { ServerDriver } from "../execution/server-driver.ts";
import type { TaskRelocator } from "../scheduling/task-relocator.ts";

/** Time in ms during which tasks leave a draining server gradually, within availability budgets. */
const BUDGETED_EVACUATION_MS = 1200;

/** Options of {@link DrainingEvacuator}. */
export interface DrainingEvacuatorOptions {
  readonly clock: Clock;
  readonly runRegistry: RunRegistry;
  readonly relocator: TaskRelocator;
  readonly drivers: () => Iterable<ServerDriver>;
}

/**
 * Moves long-running tasks off draining servers: at first within their availability budgets and while other
 * servers have room, then all that remain, since they end with the server anyway.
 */
export class DrainingEvacuator {
  readonly #options: DrainingEvacuatorOptions;

  constructor(options: DrainingEvacuatorOptions) {
    this.#options = options;
  }

  /** Begins to move the tasks that may leave now. */
  run(): void {
    const { clock, runRegistry, relocator, drivers } = this.#options;
    const now = clock.now();
    for (const { id, drainingSince } of drivers()) {
      if (drainingSince === undefined) continue;
      const runs = runRegistry.onServer(id).filter(({ task }) => task.step.spec.longRunning);
      if (now - drainingSince > BUDGETED_EVACUATION_MS) relocator.relocateAtOnce(runs, "draining");
      else relocator.relocate(runs, { reason: "draining" });
    }
  }
}
