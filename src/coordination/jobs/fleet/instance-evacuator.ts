import type { Clock } from "../../../ports/clock.ts";
import type { ActiveRun } from "../../../state/jobs/execution/run-registry.ts";
import type { Task } from "../../../state/jobs/records/job.ts";
import type { FleetConfigView } from "../config-view.ts";
import type { ServerDriver } from "../execution/server-driver.ts";
import type { Scheduler } from "../scheduling/scheduler.ts";
import type { RelocationResult } from "../scheduling/task-relocator.ts";

/** Time in ms that a long-running task waits for another server before a reserved one has to take it. */
const MAX_TASK_WAIT_MS = 2000;

/** Options of {@link InstanceEvacuator}. */
export interface InstanceEvacuatorOptions {
  readonly clock: Clock;
  readonly config: FleetConfigView;
  readonly scheduler: Scheduler;
}

/** What became of the long-running tasks on a server. */
export type EvacuationResult =
  /** A task leaves, or waits until its availability budget allows that. */
  | "in-progress"
  /** No task may leave, because no other server has room for it. */
  | "no-room";

/** Moves long-running tasks off reserved servers while other servers have room for them. */
export class InstanceEvacuator {
  readonly #options: InstanceEvacuatorOptions;

  constructor(options: InstanceEvacuatorOptions) {
    this.#options = options;
  }

  /**
   * Moves the long-running tasks on a server to other servers of the pool, within their availability budgets
   * and the room there.
   */
  evacuate(driver: ServerDriver): EvacuationResult {
    const { relocator, tracker } = this.#options.scheduler;
    const runs = tracker.runRegistry.onServer(driver.id).filter(isLongRunning);
    const results = relocator.relocate(runs, { reason: "maintenance" });
    const blocked = results.includes("no-room") && results.every(isBlocked);
    return blocked ? "no-room" : "in-progress";
  }

  /** Long-running tasks that have waited for some time, so that a reserved server has to take them. */
  overdueTasks(): readonly Task[] {
    const now = this.#options.clock.now();
    return [...this.#waitingTasks()].filter(({ step, lastRunEndedAt }) => {
      const waitingSince = Math.max(step.readyAt ?? now, lastRunEndedAt);
      return now - waitingSince >= MAX_TASK_WAIT_MS;
    });
  }

  /** True if one of the tasks is of the server's pool and could run on it if it were not reserved. */
  isNeeded(driver: ServerDriver, tasks: readonly Task[]): boolean {
    return tasks.some((task) => {
      const inPool = this.#options.config.poolOf(task.job.spec) === driver.registration.pool;
      return inPool && this.#options.scheduler.relocator.hasRoom(driver, task);
    });
  }

  /** Long-running tasks that wait for their start. */
  *#waitingTasks(): Iterable<Task> {
    for (const job of this.#options.scheduler.jobRegistry.openJobs)
      for (const { spec, tasks } of job.readySteps())
        if (spec.longRunning) yield* tasks.filter((task) => task.waiting);
  }
}

function isLongRunning({ task }: ActiveRun): boolean {
  return task.step.spec.longRunning;
}

/** True unless a task leaves, or will leave once its capacity elsewhere is free. */
function isBlocked(result: RelocationResult): boolean {
  return result === "no-room" || result === "not-now";
}
