import type { Clock } from "../../../ports/clock.ts";
import type { ControlledInstance } from "../../../ports/instance-control.ts";
import type { Log } from "../../../ports/log.ts";
import type { Resources } from "../../../protocol/job-spec.ts";
import { mayInterrupt } from "../../../state/jobs/fleet/availability.ts";
import type { ActiveRun } from "../../../state/jobs/execution/run-registry.ts";
import type { Task } from "../../../state/jobs/records/job.ts";
import type { FleetConfigView } from "../config-view.ts";
import type { ServerDriver } from "../execution/server-driver.ts";
import type { Scheduler } from "../scheduling/scheduler.ts";
import { LongTaskRoom } from "./long-task-room.ts";

/** Time in ms that a long-running task waits for another server before a reserved one has to take it. */
const MAX_TASK_WAIT_MS = 2000;

/** Options of {@link InstanceEvacuator}. */
export interface InstanceEvacuatorOptions {
  readonly clock: Clock;
  readonly log: Log;
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
   * Stops the long-running tasks on a server that may leave now, within their availability budgets and
   * the room on the other servers of the pool, so that they start there. Instances that the pool gets as
   * substitutes count as room.
   */
  evacuate(driver: ServerDriver, instances: readonly ControlledInstance[]): EvacuationResult {
    const { log, scheduler } = this.#options;
    const { runRegistry } = scheduler.tracker;
    const runs = runRegistry.onServer(driver.id).filter((run) => run.task.step.spec.longRunning);
    const interruptible = runs.filter((run) => this.#mayInterrupt(run));
    if (interruptible.length === 0) return "in-progress";
    const room = this.#roomInPool(driver.registration.pool, instances);
    let leaving = runs.some(({ phase }) => phase === "stopping");
    for (const run of interruptible) {
      // A task of the same step that was just stopped has used up the budget.
      if (!this.#mayInterrupt(run) || !room.take(run.task)) continue;
      log.info({ task: run.task.name, server: driver.id }, "task leaves before maintenance");
      scheduler.tracker.stop(run);
      leaving = true;
    }
    return leaving ? "in-progress" : "no-room";
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
      return inPool && this.#roomOn([driver]).take(task);
    });
  }

  #mayInterrupt(run: ActiveRun): boolean {
    const { clock, scheduler } = this.#options;
    const { runRegistry } = scheduler.tracker;
    return run.phase === "running" && mayInterrupt([run], runRegistry, clock.now());
  }

  #roomInPool(pool: string, instances: readonly ControlledInstance[]): LongTaskRoom {
    const { clock, config, scheduler } = this.#options;
    const now = clock.now();
    const drivers = scheduler.drivers.inPool(pool).filter((driver) => driver.acceptsTasks(now));
    const room = this.#roomOn(drivers, this.#substitutes(pool, instances));
    // Waiting tasks are placed before the tasks that are about to leave.
    for (const task of this.#waitingTasks())
      if (config.poolOf(task.job.spec) === pool) room.take(task);
    return room;
  }

  #roomOn(drivers: readonly ServerDriver[], substitutes: readonly Resources[] = []): LongTaskRoom {
    const { clock, scheduler } = this.#options;
    const { durations, tracker } = scheduler;
    const now = clock.now();
    const { runRegistry } = tracker;
    return new LongTaskRoom({ drivers, substitutes, runRegistry, durations, now });
  }

  /** Capacities of instances that are on their way to a pool, or idle in the spare pool. */
  #substitutes(pool: string, instances: readonly ControlledInstance[]): readonly Resources[] {
    const sparePool = this.#options.config.current?.pools.find(({ spare }) => spare)?.name;
    return instances
      .filter(
        (instance) =>
          (instance.state === "moving" && instance.pool === pool) ||
          (instance.state === "up" && instance.pool === sparePool),
      )
      .map(({ capacity }) => capacity);
  }

  /** Long-running tasks that wait for their start. */
  *#waitingTasks(): Iterable<Task> {
    for (const job of this.#options.scheduler.jobRegistry.openJobs)
      for (const { spec, tasks } of job.readySteps())
        if (spec.longRunning) yield* tasks.filter((task) => task.waiting);
  }
}
