import type { StepRun, Task } from "../../state/jobs/job.ts";
import { choosePlacement, type PlacementCandidate } from "../../state/jobs/placement.ts";
import { add, occupied, subtract } from "../../state/jobs/resources.ts";
import type { RunRegistry } from "../../state/jobs/run-registry.ts";
import type { Resources } from "../../protocol/job-spec.ts";
import type { ServerDriver } from "./server-driver.ts";

/** What is free on one backend server in the course of a round. */
class ServerRoom implements PlacementCandidate {
  readonly driver: ServerDriver;
  readonly id: string;
  readonly rack: string;
  readonly zone: string;
  readonly labels: readonly string[];
  readonly slow: boolean;
  readonly maintenanceAhead: boolean;
  readonly recentFailures: number;
  free: Resources;
  longTasks: number;
  tasksOfStep = 0;
  tasksOfStepOnRack = 0;
  failedHere = false;

  constructor(driver: ServerDriver, book: RunRegistry) {
    const { id, rack, zone, labels, capacity } = driver.registration;
    this.driver = driver;
    this.id = id;
    this.rack = rack;
    this.zone = zone;
    this.labels = labels;
    this.slow = driver.speed.slow;
    this.maintenanceAhead = driver.maintenanceAhead;
    this.recentFailures = driver.health.consecutiveFailures;
    this.free = subtract(capacity, book.usedOnServer(id));
    this.longTasks = 0;
    for (const run of book.onServer(id)) if (run.task.step.spec.longRunning) this.longTasks++;
  }

  take({ spec }: StepRun): void {
    this.free = subtract(this.free, occupied(spec));
    if (spec.longRunning) this.longTasks++;
  }

  giveBack({ spec }: StepRun): void {
    this.free = add(this.free, occupied(spec));
    if (spec.longRunning) this.longTasks--;
  }
}

/**
 * Backend servers among which tasks are placed during one round. What is free is read once and kept
 * up to date, because a round at the peak of a turn places hundreds of tasks on hundreds of servers.
 */
export class CandidateServers {
  readonly #book: RunRegistry;
  readonly #rooms: readonly ServerRoom[];
  readonly #byId: ReadonlyMap<string, ServerRoom>;
  #step: StepRun | undefined;

  constructor(drivers: readonly ServerDriver[], book: RunRegistry) {
    this.#book = book;
    this.#rooms = drivers.map((driver) => new ServerRoom(driver, book));
    this.#byId = new Map(this.#rooms.map((room) => [room.id, room]));
  }

  /** Ids of the backend servers. */
  get ids(): readonly string[] {
    return this.#rooms.map(({ id }) => id);
  }

  /** Chooses the backend server for a task among the allowed ones; undefined if none has room. */
  choose(
    task: Task,
    demand: Resources,
    allowed?: (server: string) => boolean,
  ): ServerDriver | undefined {
    this.#countStep(task.step);
    if (task.failedOn.size > 0)
      for (const room of this.#rooms) room.failedHere = task.failedOn.has(room.id);
    const candidates =
      allowed === undefined ? this.#rooms : this.#rooms.filter(({ id }) => allowed(id));
    const chosen = choosePlacement(task.step.spec, demand, candidates);
    if (task.failedOn.size > 0) for (const room of this.#rooms) room.failedHere = false;
    return chosen?.driver;
  }

  /** Accounts for a task of a step that was placed on a backend server. */
  placed(server: string, step: StepRun): void {
    this.#byId.get(server)?.take(step);
    this.#step = undefined;
  }

  /** Accounts for a placement that was taken back. */
  placementUndone(server: string, step: StepRun): void {
    this.#byId.get(server)?.giveBack(step);
    this.#step = undefined;
  }

  /** Counts the tasks of a step that run on each backend server and rack. */
  #countStep(step: StepRun): void {
    if (this.#step === step) return;
    this.#step = step;
    const { longRunning, maxPerServer, sameRack } = step.spec;
    if (!longRunning && maxPerServer === 0 && !sameRack) return;
    const onServer = new Map<string, number>();
    for (const task of step.tasks) {
      const server = this.#book.forTask(task.name)?.server;
      if (server !== undefined) onServer.set(server, (onServer.get(server) ?? 0) + 1);
    }
    const onRack = new Map<string, number>();
    for (const room of this.#rooms) {
      room.tasksOfStep = onServer.get(room.id) ?? 0;
      onRack.set(room.rack, (onRack.get(room.rack) ?? 0) + room.tasksOfStep);
    }
    for (const room of this.#rooms) room.tasksOfStepOnRack = onRack.get(room.rack) ?? 0;
  }
}
