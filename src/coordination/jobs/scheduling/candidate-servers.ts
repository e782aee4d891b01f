import type { StepRun, Task } from "../../../state/jobs/records/job.ts";
import {
  choosePlacement,
  exceedsShare,
  type PlacementCandidate,
} from "../../../state/jobs/scheduling/placement.ts";
import { FreeCapacityIndex } from "../../../state/jobs/scheduling/free-capacity-index.ts";
import {
  add,
  NO_RESOURCES,
  resourcesOccupied,
  subtract,
} from "../../../state/jobs/scheduling/resources.ts";
import { keptFreeWhileCold } from "../../../state/jobs/execution/cold-start.ts";
import type { RunRegistry } from "../../../state/jobs/execution/run-registry.ts";
import type { Resources } from "../../../protocol/job-spec.ts";
import type { ServerDriver } from "../execution/server-driver.ts";

/**
 * Choices in one round after which the servers are indexed. Sorting costs as much as some scans, and
 * most rounds place only a few tasks in each pool.
 */
const INDEX_AFTER_CHOICES = 8;

/** One backend server and its free capacity during a placement round. */
class CandidateServer implements PlacementCandidate {
  readonly driver: ServerDriver;
  readonly id: string;
  readonly rack: string;
  readonly zone: string;
  readonly labels: readonly string[];
  readonly slow: boolean;
  readonly coldness: number;
  readonly maintenancePending: boolean;
  readonly consecutiveFailures: number;
  free: Resources;
  longTasks: number;
  tasksOfStep = 0;
  tasksOfStepOnRack = 0;
  failedHere = false;
  #limited = false;

  constructor(driver: ServerDriver, runRegistry: RunRegistry, endingSoon: Resources) {
    const { id, rack, zone, labels, capacity } = driver.registration;
    this.driver = driver;
    this.id = id;
    this.rack = rack;
    this.zone = zone;
    this.labels = labels;
    this.slow = driver.speed.slow;
    this.coldness = driver.coldness;
    this.maintenancePending = driver.maintenancePending;
    this.consecutiveFailures = driver.health.consecutiveFailures;
    this.free = add(subtract(capacity, runRegistry.usedOnServer(id)), endingSoon);
    this.longTasks = runRegistry.longTasksOn(id) + runRegistry.reservationsOn(id);
    if (this.coldness > 0 && runRegistry.countOn(id) > 0) this.#limitWhileCold();
  }

  allocate({ spec }: StepRun): void {
    this.free = subtract(this.free, resourcesOccupied(spec));
    if (spec.longRunning) this.longTasks++;
    if (this.coldness > 0) this.#limitWhileCold();
  }

  /** An empty cold server takes any task that fits, so that large tasks need not wait for its end. */
  #limitWhileCold(): void {
    if (this.#limited) return;
    this.#limited = true;
    const cpuMillis = keptFreeWhileCold(this.driver.registration.capacity.cpuMillis, this.coldness);
    this.free = subtract(this.free, { cpuMillis, memoryMb: 0, accelerators: 0 });
  }

  release({ spec }: StepRun): void {
    this.free = add(this.free, resourcesOccupied(spec));
    if (spec.longRunning) this.longTasks--;
  }
}

/** Options of {@link CandidateServers}. */
export interface CandidateServersOptions {
  /** Choices after which the servers are indexed. @default 8 */
  readonly indexAfterChoices?: number | undefined;
  /** Capacity in use on a backend server that counts as free. @default none */
  readonly endingSoon?: ((server: string) => Resources) | undefined;
}

/**
 * Backend servers that tasks are placed on during one round. Free capacity is computed once and then
 * updated, because a round at a demand peak places hundreds of tasks on hundreds of servers.
 */
export class CandidateServers {
  readonly #runRegistry: RunRegistry;
  readonly #servers: readonly CandidateServer[];
  readonly #indexAfterChoices: number;
  #countedStep: StepRun | undefined;
  /** Number of choices so far. */
  #choices = 0;
  #index: FreeCapacityIndex<CandidateServer> | undefined;

  constructor(
    drivers: readonly ServerDriver[],
    runRegistry: RunRegistry,
    { indexAfterChoices, endingSoon }: CandidateServersOptions = {},
  ) {
    this.#runRegistry = runRegistry;
    this.#indexAfterChoices = indexAfterChoices ?? INDEX_AFTER_CHOICES;
    this.#servers = drivers.map((driver) => {
      const ending = endingSoon?.(driver.id) ?? NO_RESOURCES;
      return new CandidateServer(driver, runRegistry, ending);
    });
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
    const usesIndex = allowed === undefined && task.failedOn.size === 0;
    if (usesIndex && FreeCapacityIndex.supports(task.step.spec)) {
      const index = this.#indexIfWorthwhile();
      if (index !== undefined) return index.choose(task.step.spec, demand)?.driver;
    }
    if (task.failedOn.size > 0)
      for (const server of this.#servers) server.failedHere = task.failedOn.has(server.id);
    const candidates =
      allowed === undefined ? this.#servers : this.#servers.filter(({ id }) => allowed(id));
    const chosen = choosePlacement(task.step.spec, demand, candidates);
    if (task.failedOn.size > 0) for (const server of this.#servers) server.failedHere = false;
    return chosen?.driver;
  }

  /** True if a backend server runs its share of the tasks of a long-running step already. */
  exceedsShare(step: StepRun, server: string): boolean {
    this.#countTasksOf(step);
    const { tasksOfStep = 0 } = this.#servers.find(({ id }) => id === server) ?? {};
    return exceedsShare(step.spec, tasksOfStep);
  }

  /** Subtracts the demand of a task that was placed on a backend server. */
  allocate(server: string, step: StepRun): void {
    this.#change(server, (candidate) => {
      candidate.allocate(step);
    });
    this.#countedStep = undefined;
  }

  /** Adds the demand of a task back after its placement was undone. */
  release(server: string, step: StepRun): void {
    this.#change(server, (candidate) => {
      candidate.release(step);
    });
    this.#countedStep = undefined;
  }

  #indexIfWorthwhile(): FreeCapacityIndex<CandidateServer> | undefined {
    if (this.#choices++ < this.#indexAfterChoices) return undefined;
    return (this.#index ??= new FreeCapacityIndex(this.#servers));
  }

  #change(server: string, change: (candidate: CandidateServer) => void): void {
    const candidate = this.#servers.find(({ id }) => id === server);
    if (candidate === undefined) return;
    if (this.#index === undefined) change(candidate);
    else
      this.#index.update(candidate, () => {
        change(candidate);
      });
  }

  /** Counts the tasks of a step on each backend server and rack. */
  #countTasksOf(step: StepRun): void {
    if (this.#countedStep === step) return;
    this.#countedStep = step;
    const { longRunning, maxPerServer, sameRack } = step.spec;
    if (!longRunning && maxPerServer === 0 && !sameRack) return;
    const onServer = new Map<string, number>();
    for (const task of step.tasks)
      for (const server of this.#runRegistry.serversOf(task))
        onServer.set(server, (onServer.get(server) ?? 0) + 1);
    const onRack = new Map<string, number>();
    for (const server of this.#servers) {
      server.tasksOfStep = onServer.get(server.id) ?? 0;
      onRack.set(server.rack, (onRack.get(server.rack) ?? 0) + server.tasksOfStep);
    }
    for (const server of this.#servers) server.tasksOfStepOnRack = onRack.get(server.rack) ?? 0;
  }
}
