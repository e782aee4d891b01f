import type { StepRun, Task } from "../../../state/jobs/records/job.ts";
import {
  choosePlacement,
  type PlacementCandidate,
} from "../../../state/jobs/scheduling/placement.ts";
import { add, resourcesOccupied, subtract } from "../../../state/jobs/scheduling/resources.ts";
import type { RunRegistry } from "../../../state/jobs/execution/run-registry.ts";
import type { Resources } from "../../../protocol/job-spec.ts";
import type { ServerDriver } from "../execution/server-driver.ts";

/** One backend server and its free capacity during a placement round. */
class CandidateServer implements PlacementCandidate {
  readonly driver: ServerDriver;
  readonly id: string;
  readonly rack: string;
  readonly zone: string;
  readonly labels: readonly string[];
  readonly slow: boolean;
  readonly maintenancePending: boolean;
  readonly consecutiveFailures: number;
  free: Resources;
  longTasks: number;
  tasksOfStep = 0;
  tasksOfStepOnRack = 0;
  failedHere = false;

  constructor(driver: ServerDriver, runRegistry: RunRegistry) {
    const { id, rack, zone, labels, capacity } = driver.registration;
    this.driver = driver;
    this.id = id;
    this.rack = rack;
    this.zone = zone;
    this.labels = labels;
    this.slow = driver.speed.slow;
    this.maintenancePending = driver.maintenancePending;
    this.consecutiveFailures = driver.health.consecutiveFailures;
    this.free = subtract(capacity, runRegistry.usedOnServer(id));
    this.longTasks = 0;
    for (const run of runRegistry.onServer(id))
      if (run.task.step.spec.longRunning) this.longTasks++;
  }

  allocate({ spec }: StepRun): void {
    this.free = subtract(this.free, resourcesOccupied(spec));
    if (spec.longRunning) this.longTasks++;
  }

  release({ spec }: StepRun): void {
    this.free = add(this.free, resourcesOccupied(spec));
    if (spec.longRunning) this.longTasks--;
  }
}

/**
 * Backend servers that tasks are placed on during one round. Free capacity is computed once and then
 * updated, because a round at a demand peak places hundreds of tasks on hundreds of servers.
 */
export class CandidateServers {
  readonly #runRegistry: RunRegistry;
  readonly #servers: readonly CandidateServer[];
  readonly #byId: ReadonlyMap<string, CandidateServer>;
  #countedStep: StepRun | undefined;

  constructor(drivers: readonly ServerDriver[], runRegistry: RunRegistry) {
    this.#runRegistry = runRegistry;
    this.#servers = drivers.map((driver) => new CandidateServer(driver, runRegistry));
    this.#byId = new Map(this.#servers.map((server) => [server.id, server]));
  }

  /** Ids of the backend servers. */
  get ids(): readonly string[] {
    return this.#servers.map(({ id }) => id);
  }

  /** Chooses an allowed backend server for a task; undefined if none has enough free capacity. */
  choose(
    task: Task,
    demand: Resources,
    allowed?: (server: string) => boolean,
  ): ServerDriver | undefined {
    this.#countTasksOf(task.step);
    if (task.failedOn.size > 0)
      for (const server of this.#servers) server.failedHere = task.failedOn.has(server.id);
    const candidates =
      allowed === undefined ? this.#servers : this.#servers.filter(({ id }) => allowed(id));
    const chosen = choosePlacement(task.step.spec, demand, candidates);
    if (task.failedOn.size > 0) for (const server of this.#servers) server.failedHere = false;
    return chosen?.driver;
  }

  /** Subtracts the demand of a task that was placed on a backend server. */
  allocate(server: string, step: StepRun): void {
    this.#byId.get(server)?.allocate(step);
    this.#countedStep = undefined;
  }

  /** Adds the demand of a task back after its placement was undone. */
  release(server: string, step: StepRun): void {
    this.#byId.get(server)?.release(step);
    this.#countedStep = undefined;
  }

  /** Counts the tasks of a step on each backend server and rack. */
  #countTasksOf(step: StepRun): void {
    if (this.#countedStep === step) return;
    this.#countedStep = step;
    const { longRunning, maxPerServer, sameRack } = step.spec;
    if (!longRunning && maxPerServer === 0 && !sameRack) return;
    const onServer = new Map<string, number>();
    for (const task of step.tasks) {
      const server = this.#runRegistry.forTask(task.name)?.server;
      if (server !== undefined) onServer.set(server, (onServer.get(server) ?? 0) + 1);
    }
    const onRack = new Map<string, number>();
    for (const server of this.#servers) {
      server.tasksOfStep = onServer.get(server.id) ?? 0;
      onRack.set(server.rack, (onRack.get(server.rack) ?? 0) + server.tasksOfStep);
    }
    for (const server of this.#servers) server.tasksOfStepOnRack = onRack.get(server.rack) ?? 0;
  }
}
