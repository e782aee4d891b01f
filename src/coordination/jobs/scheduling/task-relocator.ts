import type { Log } from "../../../ports/log.ts";
import { mayInterrupt } from "../../../state/jobs/fleet/availability.ts";
import type { ActiveRun } from "../../../state/jobs/execution/run-registry.ts";
import type { Job, StepRun, Task } from "../../../state/jobs/records/job.ts";
import { ENDING_SOON_MS } from "../../../state/jobs/scheduling/ending-soon.ts";
import { fits, NO_RESOURCES, subtract } from "../../../state/jobs/scheduling/resources.ts";
import type { Counters } from "../../ports.ts";
import type { ServerDriver } from "../execution/server-driver.ts";
import { withinOrganisationCap } from "./organisation-cap.ts";
import { RelocationPauses } from "./relocation-pauses.ts";
import {
  RelocationRoom,
  type RelocationRoomOptions,
  type RelocationTarget,
} from "./relocation-room.ts";

/** Time in ms that a run gets to stop, and its task to start again, before its reservation ends. */
const MAX_MOVE_MS = 3000;

/** Time in ms after another planned move in a step during which its tasks are not spread. */
const SPREAD_PAUSE_MS = 10_000;

/** Options of {@link TaskRelocator}. */
export interface TaskRelocatorOptions extends RelocationRoomOptions {
  readonly log: Log;
  readonly counters: Counters;
  readonly driver: (server: string) => ServerDriver | undefined;
  /** Returns the backend servers of a pool. */
  readonly driversInPool: (pool: string) => readonly ServerDriver[];
  readonly openJobs: () => Iterable<Job>;
  /** Stops a run, so that its task is placed again. */
  readonly stop: (run: ActiveRun) => void;
  /**
   * Monotonic time in ms until which no run is stopped, because runs that the previous scheduler's last
   * orders end may still be listed as running.
   */
  readonly startsAt: number;
}

/** What became of a run whose task should move to another backend server. */
export type RelocationResult =
  /** The run is being stopped, and capacity elsewhere is reserved for its task. */
  | "moving"
  /** Capacity elsewhere is reserved and will be free soon. The run goes on until then. */
  | "awaiting-capacity"
  /** The run must go on for now, because of the availability budget of its step. */
  | "not-now"
  /** The task could not start on any other server now. */
  | "no-room";

/** Why tasks move, for logs and counters. */
export type RelocationReason = "maintenance" | "evacuation" | "draining" | "spread";

/** Options of {@link TaskRelocator.relocate}. */
export interface RelocateOptions {
  readonly reason: RelocationReason;
  /** Largest number of the tasks that are on the move at the same time. @default unlimited */
  readonly maxMoving?: number;
  /** Servers that a task may move to. @default all of its pool */
  readonly isTarget?: (driver: ServerDriver) => boolean;
}

/** A move of a task for which capacity is reserved on its target. */
interface Relocation {
  readonly task: Task;
  /** The run that is stopped once the target has room. */
  readonly run: ActiveRun;
  /** Id of the backend server that the task moves to. */
  readonly target: string;
  readonly reason: RelocationReason;
  /** Monotonic time in ms at which the capacity was reserved. */
  readonly reservedAt: number;
  /** Monotonic time in ms at which the run's end was ordered; undefined before that. */
  endOrderedAt: number | undefined;
}

/** How a target for a task is looked for. */
interface TargetSearch {
  /** Room that is left in this pass, by pool. */
  readonly rooms: Map<string, RelocationRoom>;
  readonly isTarget?: (driver: ServerDriver) => boolean;
}

interface BeginOptions extends TargetSearch {
  readonly reason: RelocationReason;
}

/**
 * Moves long-running tasks between backend servers of their pool. A run is stopped only once another server
 * has free capacity for its task, and that capacity is reserved until the task has started there.
 *
 * Reservations end with the tenure: a new scheduler places tasks that were stopped by their rank.
 */
export class TaskRelocator {
  readonly #options: TaskRelocatorOptions;
  readonly #relocations = new Map<Task, Relocation>();
  readonly #pauses = new RelocationPauses();
  /** Monotonic time in ms of the last move in a step that did not spread its tasks. */
  readonly #movedAt = new WeakMap<StepRun, number>();

  constructor(options: TaskRelocatorOptions) {
    this.#options = options;
  }

  /** Begins to move the tasks of runs within one pool. Returns the result of each run. */
  relocate(
    runs: readonly ActiveRun[],
    { reason, maxMoving = Infinity, isTarget = () => true }: RelocateOptions,
  ): readonly RelocationResult[] {
    const rooms = new Map<string, RelocationRoom>();
    let moving = runs.filter((run) => this.#progressOf(run) !== undefined).length;
    return runs.map((run) => {
      const progress = this.#progressOf(run);
      if (progress !== undefined) return progress;
      if (moving >= maxMoving || !this.#mayStop(run)) return "not-now";
      const result = this.#begin(run, { rooms, isTarget, reason });
      if (result !== "no-room") moving++;
      return result;
    });
  }

  /**
   * Stops runs that would end soon in any case, whether or not another server has room for their tasks.
   * Capacity is reserved for those that have room elsewhere.
   */
  relocateAtOnce(runs: readonly ActiveRun[], reason: RelocationReason): void {
    const rooms = new Map<string, RelocationRoom>();
    for (const run of runs) {
      if (this.#progressOf(run) === "moving") continue;
      const relocation = this.#reserveIfPossible(run, rooms, reason);
      if (relocation === undefined) this.#options.stop(run);
      else this.#stop(relocation);
    }
  }

  /** Reserves capacity for the tasks of runs that an order to their instance is about to end. */
  endOrdered(runs: readonly ActiveRun[], reason: RelocationReason): void {
    const rooms = new Map<string, RelocationRoom>();
    for (const run of runs) {
      if (!run.task.step.spec.longRunning || this.#progressOf(run) === "moving") continue;
      const relocation = this.#reserveIfPossible(run, rooms, reason);
      if (relocation !== undefined) this.#leave(relocation);
    }
  }

  /** Ends the moves of runs that an order to their instance did not end after all. */
  endRefused(runs: readonly ActiveRun[]): void {
    for (const run of runs) {
      const relocation = this.#relocations.get(run.task);
      if (relocation?.run === run && run.phase === "running") this.#end(relocation);
    }
  }

  /** True if a server has room for a task, now or soon, whether or not it accepts tasks. */
  hasRoom(driver: ServerDriver, task: Task): boolean {
    return new RelocationRoom([driver], this.#options).take(task) !== undefined;
  }

  /** Stops runs whose reserved capacity has become free, and ends moves that are over or have failed. */
  update(): void {
    for (const relocation of [...this.#relocations.values()]) {
      if (relocation.endOrderedAt === undefined) this.#updateReserved(relocation);
      else this.#updateLeaving(relocation, relocation.endOrderedAt);
    }
  }

  /** Progress of a run whose task is on the move; undefined if it is not. */
  #progressOf({ task, phase }: ActiveRun): "moving" | "awaiting-capacity" | undefined {
    const relocation = this.#relocations.get(task);
    if (phase === "stopping" || relocation?.endOrderedAt !== undefined) return "moving";
    return relocation === undefined ? undefined : "awaiting-capacity";
  }

  #begin(run: ActiveRun, { reason, ...search }: BeginOptions): RelocationResult {
    const { clock } = this.#options;
    const { task } = run;
    const { organisation } = task.job.spec;
    if (reason === "spread" && this.#movedLately(task.step)) return "not-now";
    if (task.step.spec.gang || this.#pauses.isPaused(task, clock.now())) return "no-room";
    if (!withinOrganisationCap(organisation, NO_RESOURCES, this.#options)) return "no-room";
    const target = this.#findTarget(run, search);
    if (target === undefined) return "no-room";
    const relocation = this.#reserve(run, target, reason);
    if (!target.free) return "awaiting-capacity";
    this.#stop(relocation);
    return "moving";
  }

  /** True if a wave or another kind of planned work is likely to move further tasks of a step. */
  #movedLately(step: StepRun): boolean {
    const movedAt = this.#movedAt.get(step) ?? -Infinity;
    return this.#options.clock.now() - movedAt < SPREAD_PAUSE_MS;
  }

  #reserveIfPossible(
    run: ActiveRun,
    rooms: Map<string, RelocationRoom>,
    reason: RelocationReason,
  ): Relocation | undefined {
    const known = this.#relocations.get(run.task);
    if (known !== undefined || run.task.step.spec.gang) return known;
    const target = this.#findTarget(run, { rooms });
    return target === undefined ? undefined : this.#reserve(run, target, reason);
  }

  /** True if the availability budget of its step allows that a run is stopped now. */
  #mayStop(run: ActiveRun): boolean {
    const { clock, runRegistry, startsAt } = this.#options;
    const now = clock.now();
    return run.phase === "running" && now >= startsAt && mayInterrupt([run], runRegistry, now);
  }

  #findTarget(
    { task, server }: ActiveRun,
    { rooms, isTarget = () => true }: TargetSearch,
  ): RelocationTarget | undefined {
    const pool = this.#options.config.poolOf(task.job.spec);
    let room = rooms.get(pool);
    if (room === undefined) rooms.set(pool, (room = this.#roomIn(pool)));
    return room.take(task, (driver) => driver.id !== server && isTarget(driver));
  }

  /** Room on the healthy servers of a pool, without what the tasks that wait already will use. */
  #roomIn(pool: string): RelocationRoom {
    const { clock, config, driversInPool, openJobs } = this.#options;
    const now = clock.now();
    const drivers = driversInPool(pool).filter(
      (driver) => driver.acceptsTasks(now) && !driver.speed.slow && !driver.health.onProbation,
    );
    const room = new RelocationRoom(drivers, this.#options);
    room.takeWaiting([...openJobs()].filter(({ spec }) => config.poolOf(spec) === pool));
    return room;
  }

  #reserve(run: ActiveRun, { driver }: RelocationTarget, reason: RelocationReason): Relocation {
    const { clock, runRegistry } = this.#options;
    const { task } = run;
    runRegistry.reserve(task, driver.id);
    const reservedAt = clock.now();
    const relocation = {
      task,
      run,
      target: driver.id,
      reason,
      reservedAt,
      endOrderedAt: undefined,
    };
    this.#relocations.set(task, relocation);
    return relocation;
  }

  #stop(relocation: Relocation): void {
    this.#leave(relocation);
    this.#options.stop(relocation.run);
  }

  #leave(relocation: Relocation): void {
    const { clock, log, counters } = this.#options;
    const { task, run, target, reason } = relocation;
    log.info({ task: task.name, from: run.server, to: target, reason }, "task moves");
    counters.event(`task_move_${reason}`);
    relocation.endOrderedAt = clock.now();
    if (reason !== "spread") this.#movedAt.set(task.step, clock.now());
  }

  #updateReserved(relocation: Relocation): void {
    const { clock, runRegistry, driver } = this.#options;
    const { task, run, target, reservedAt } = relocation;
    const now = clock.now();
    const server = driver(target);
    const runsOn = runRegistry.forTask(task.name) === run && run.phase === "running";
    const usable = runsOn && server?.acceptsTasks(now) === true;
    if (usable && this.#isFree(server) && this.#mayStop(run)) this.#stop(relocation);
    else if (!usable || now - reservedAt > ENDING_SOON_MS) {
      if (usable) this.#options.counters.event("task_move_capacity_not_free");
      this.#end(relocation);
    }
  }

  /** True if nothing occupies the capacity that is reserved on a server. */
  #isFree({ id, registration }: ServerDriver): boolean {
    const used = this.#options.runRegistry.usedOnServer(id);
    return fits(NO_RESOURCES, subtract(registration.capacity, used));
  }

  #updateLeaving(relocation: Relocation, endOrderedAt: number): void {
    const { clock, runRegistry } = this.#options;
    const { task, run, target } = relocation;
    const current = runRegistry.forTask(task.name);
    const now = clock.now();
    if (current !== undefined && current !== run) {
      this.#moved(relocation, current.server === target, now - endOrderedAt);
    } else if (task.done || task.job.final) {
      this.#end(relocation);
    } else if (current?.phase === "running") {
      // The order that ends the run has not taken effect.
      if (now - endOrderedAt > MAX_MOVE_MS) this.#end(relocation);
    } else if (now - endOrderedAt > MAX_MOVE_MS || runRegistry.reservedServer(task) === undefined) {
      this.#moved(relocation, false, now - endOrderedAt);
    }
  }

  /** Ends a move whose run has left its server. `tookMs`: time in ms since its end was ordered. */
  #moved(relocation: Relocation, toTarget: boolean, tookMs: number): void {
    const { clock, log, counters } = this.#options;
    const { task, target } = relocation;
    this.#end(relocation);
    counters.duration("task_move", Math.round(tookMs));
    counters.event(toTarget ? "task_move_done" : "task_move_failed");
    if (toTarget) {
      this.#pauses.succeeded(task);
      return;
    }
    log.warn(
      { task: task.name, target, tookMs: Math.round(tookMs) },
      "task did not start on its reserved server",
    );
    this.#pauses.failed(task, clock.now());
  }

  #end({ task }: Relocation): void {
    this.#relocations.delete(task);
    this.#options.runRegistry.cancelReservation(task);
  }
}
