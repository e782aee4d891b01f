import type { Task } from "../../../state/jobs/records/job.ts";
import type { ActiveRun, RunRegistry } from "../../../state/jobs/execution/run-registry.ts";
import type { DurationModels } from "../../../state/jobs/scheduling/duration-model.ts";
import { isAdmissible } from "../../../state/jobs/scheduling/placement.ts";
import { keptFreeWhileCold } from "../../../state/jobs/execution/cold-start.ts";
import {
  add,
  fits,
  NO_RESOURCES,
  resourcesOccupied,
  subtract,
} from "../../../state/jobs/scheduling/resources.ts";
import type { Resources, StepSpec } from "../../../protocol/job-spec.ts";
import type { ServerDriver } from "../execution/server-driver.ts";

/** Time in ms within which the end of a short task counts as room, because long-running tasks come first. */
const SHORT_TASK_END_MS = 3000;

/** Options of {@link LongTaskRoom}. */
export interface LongTaskRoomOptions {
  /** Backend servers that may take tasks. */
  readonly drivers: readonly ServerDriver[];
  /** Capacities of instances that join the pool within seconds if it needs them. @default none */
  readonly substitutes?: readonly Resources[];
  readonly runRegistry: RunRegistry;
  readonly durations: DurationModels;
  /** Monotonic time in ms. */
  readonly now: number;
}

/** Room for long-running tasks on some backend servers. Each task that is taken uses up its room. */
export class LongTaskRoom {
  readonly #options: LongTaskRoomOptions;
  readonly #free: Map<ServerDriver, Resources>;
  readonly #freeOnSubstitutes: Resources[];
  /** Backend servers of tasks taken so far. */
  readonly #taken = new Map<Task, ServerDriver>();

  constructor(options: LongTaskRoomOptions) {
    this.#options = options;
    this.#free = new Map(options.drivers.map((driver) => [driver, this.#freeSoon(driver)]));
    this.#freeOnSubstitutes = [...(options.substitutes ?? [])];
  }

  /** Uses up the room for a task. Returns false if no server has room for it. */
  take(task: Task): boolean {
    const demand = resourcesOccupied(task.step.spec);
    for (const [driver, free] of this.#free) {
      if (!this.#admits(driver, free, task)) continue;
      this.#free.set(driver, subtract(free, demand));
      this.#taken.set(task, driver);
      return true;
    }
    return this.#takeOnSubstitute(task.step.spec, demand);
  }

  #takeOnSubstitute({ requiredLabel }: StepSpec, demand: Resources): boolean {
    // The kind of a server that has not joined yet is not known.
    if (requiredLabel !== "") return false;
    const index = this.#freeOnSubstitutes.findIndex((free) => fits(demand, free));
    const free = this.#freeOnSubstitutes[index];
    if (free === undefined) return false;
    this.#freeOnSubstitutes[index] = subtract(free, demand);
    return true;
  }

  #admits(driver: ServerDriver, free: Resources, { step }: Task): boolean {
    const demand = resourcesOccupied(step.spec);
    if (!fits(demand, free)) return false;
    const { labels } = driver.registration;
    const tasksOfStep = step.spec.maxPerServer > 0 ? this.#tasksOf(step.tasks, driver) : 0;
    return isAdmissible(step.spec, demand, { free, labels, tasksOfStep });
  }

  #tasksOf(tasks: readonly Task[], driver: ServerDriver): number {
    const { runRegistry } = this.#options;
    return tasks.filter((task) => {
      const server = this.#taken.get(task)?.id ?? runRegistry.forTask(task.name)?.server;
      return server === driver.id;
    }).length;
  }

  /** Free capacity once the short tasks that end soon have ended. */
  #freeSoon({ id, registration, coldness }: ServerDriver): Resources {
    const { runRegistry } = this.#options;
    const { capacity } = registration;
    const cpuMillis = coldness > 0 ? keptFreeWhileCold(capacity.cpuMillis, coldness) : 0;
    const used = add(runRegistry.usedOnServer(id), { ...NO_RESOURCES, cpuMillis });
    let free = subtract(capacity, used);
    for (const run of runRegistry.runsOn(id))
      if (this.#endsSoon(run)) free = add(free, resourcesOccupied(run.task.step.spec));
    return free;
  }

  #endsSoon({ task, since, slowdown }: ActiveRun): boolean {
    const { spec, job } = task.step;
    if (spec.longRunning || spec.estimateMs <= 0) return false;
    const { durations, now } = this.#options;
    const expectedMs = durations.forQueue(job.spec.queue).expectedMs(spec.estimateMs) * slowdown;
    return expectedMs - (now - since) <= SHORT_TASK_END_MS;
  }
}
