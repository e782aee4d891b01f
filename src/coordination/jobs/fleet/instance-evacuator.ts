import type { Clock } from "../../../ports/clock.ts";
import type { Log } from "../../../ports/log.ts";
import { mayInterrupt } from "../../../state/jobs/fleet/availability.ts";
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

/** Result of a step of an evacuation. */
export type EvacuationStep =
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
   * the room on the other servers of the pool, so that they start there.
   */
  evacuate(driver: ServerDriver): EvacuationStep {
    const { clock, log, scheduler } = this.#options;
    const { tracker } = scheduler;
    const now = clock.now();
    const runs = tracker.runRegistry
      .onServer(driver.id)
      .filter(({ task }) => task.step.spec.longRunning);
    let leaving = runs.some(({ phase }) => phase === "stopping");
    let lacksRoom = false;
    let room: LongTaskRoom | undefined;
    for (const run of runs) {
      if (run.phase !== "running" || !mayInterrupt([run], tracker.runRegistry, now)) continue;
      room ??= this.#roomInPool(driver.registration.pool);
      if (!room.take(run.task)) {
        lacksRoom = true;
        continue;
      }
      log.info({ task: run.task.name, server: driver.id }, "task leaves before maintenance");
      tracker.stop(run);
      leaving = true;
    }
    return lacksRoom && !leaving ? "no-room" : "in-progress";
  }

  /** True if a long-running task that has waited for some time could run on a reserved server. */
  isNeeded(driver: ServerDriver): boolean {
    const now = this.#options.clock.now();
    for (const task of this.#waitingTasks(driver.registration.pool)) {
      const waitingSince = Math.max(task.step.readyAt ?? now, task.lastRunEndedAt);
      if (now - waitingSince < MAX_TASK_WAIT_MS) continue;
      if (this.#roomOn([driver]).take(task)) return true;
    }
    return false;
  }

  #roomInPool(pool: string): LongTaskRoom {
    const now = this.#options.clock.now();
    const drivers = this.#options.scheduler.drivers.inPool(pool);
    const room = this.#roomOn(drivers.filter((driver) => driver.acceptsTasks(now)));
    // Waiting tasks are placed before the tasks that are about to leave.
    for (const task of this.#waitingTasks(pool)) room.take(task);
    return room;
  }

  #roomOn(drivers: readonly ServerDriver[]): LongTaskRoom {
    const { clock, scheduler } = this.#options;
    const { durations, tracker } = scheduler;
    const now = clock.now();
    return new LongTaskRoom({ drivers, runRegistry: tracker.runRegistry, durations, now });
  }

  /** Long-running tasks that wait in a pool. */
  *#waitingTasks(pool: string): Iterable<Task> {
    const { config, scheduler } = this.#options;
    for (const job of scheduler.jobRegistry.openJobs) {
      if (config.poolOf(job.spec) !== pool) continue;
      for (const { spec, tasks } of job.readySteps())
        if (spec.longRunning) yield* tasks.filter((task) => task.waiting);
    }
  }
}
