import type { Resources } from "../../../protocol/job-spec.ts";
import type { Task } from "../records/job.ts";
import { add, NO_RESOURCES, resourcesOccupied, subtract } from "../scheduling/resources.ts";

/** Phase of a run, as far as the scheduler knows. */
export type RunPhase =
  /** The placement is being written to the store; the start was not ordered yet. */
  | "recording"
  /** The start order was sent and no reply has arrived yet. */
  | "starting"
  /** The start order was not answered, so its outcome is unknown. */
  | "unconfirmed"
  /** Ordered by a previous scheduler; the backend server has not been polled yet. */
  | "inherited"
  | "running"
  /** A stop was ordered. The run occupies its backend server until its end is listed. */
  | "stopping";

/** Progress of a run at one point in time on the clock of its backend server. */
export interface ProgressPoint {
  readonly clockMs: number;
  readonly percent: number;
}

/** A run that is, or may be, active. */
export interface ActiveRun {
  readonly task: Task;
  readonly run: number;
  /** Id of the backend server. */
  readonly server: string;
  /** Boot of the backend server that the run is on, if it was started, as Unix time in ms. */
  bootedAt: number;
  /** True once a list of the boot `bootedAt` has shown the run. Until then a later boot may have started it. */
  confirmed: boolean;
  /**
   * Monotonic time in ms until which a confirmed run that was inherited may have a longer lease than former
   * schedulers granted; 0 if it has none.
   */
  readonly leaseDoubtedUntil: number;
  /** True if it runs on the rack of its data, or its data are not tied to a rack. */
  readonly nearData: boolean;
  phase: RunPhase;
  /**
   * True while an order to its instance is pending that will end the run. Lists may show the run as
   * available until then.
   */
  endOrdered: boolean;
  /** Monotonic time in ms of the last change of the phase. */
  since: number;
  /** Progress in percent, as last listed. */
  percent: number;
  /** Monotonic time in ms at which the list with percent and load was requested. */
  listedAt: number;
  /** First known progress: the start, or the first list that a new scheduler read. */
  firstProgress: ProgressPoint | undefined;
  /** Progress as last listed. */
  lastProgress: ProgressPoint | undefined;
  /** Multiple of its usual duration that the run takes because its server was cold; 1 if it was not. */
  slowdown: number;
  /** Time on the server's clock of the last list with more progress than before. */
  advancedAt?: number;
  /** Speed in percent of full speed at which the run was ordered to work. */
  pace: number;
  /** Tail latency in ms, or thousandths of a core, as last listed. */
  load: number;
}

/** Runs on one backend server, and what is occupied or reserved there. */
class ServerRuns {
  readonly runs = new Map<string, ActiveRun>();
  /** Tasks for which capacity is reserved. */
  readonly reservedFor = new Set<Task>();
  used = NO_RESOURCES;
  longTasks = 0;
}

/**
 * All active runs, with the resource totals that limits are checked against. Capacity that is reserved for
 * a task counts as used on its server. It counts for its organisation while the task has no run.
 */
export class RunRegistry {
  readonly #byTask = new Map<string, ActiveRun>();
  /** Backend servers with capacity that is reserved, by task. */
  readonly #reservations = new Map<Task, string>();
  readonly #byServer = new Map<string, ServerRuns>();
  readonly #usedByOrganisation = new Map<string, Resources>();

  get size(): number {
    return this.#byTask.size;
  }

  /** Adds a run. Its task must not have another run here, and needs no reserved capacity any more. */
  add(run: ActiveRun): void {
    this.cancelReservation(run.task);
    this.#byTask.set(run.task.name, run);
    const onServer = this.#runsOf(run.server);
    onServer.runs.set(run.task.name, run);
    if (run.task.step.spec.longRunning) onServer.longTasks++;
    this.#updateServer(run.task, onServer, add);
    this.#updateOrganisation(run.task, add);
  }

  /** Removes a run that is certainly not active any more. */
  remove(run: ActiveRun): void {
    if (this.#byTask.get(run.task.name) !== run) return;
    this.#byTask.delete(run.task.name);
    const onServer = this.#byServer.get(run.server);
    if (onServer === undefined) return;
    onServer.runs.delete(run.task.name);
    if (run.task.step.spec.longRunning) onServer.longTasks--;
    this.#updateServer(run.task, onServer, subtract);
    if (!this.#reservations.has(run.task)) this.#updateOrganisation(run.task, subtract);
  }

  /** Reserves the capacity that a task needs on a backend server, in place of an earlier reservation. */
  reserve(task: Task, server: string): void {
    this.cancelReservation(task);
    this.#reservations.set(task, server);
    const onServer = this.#runsOf(server);
    onServer.reservedFor.add(task);
    this.#updateServer(task, onServer, add);
    if (!this.#byTask.has(task.name)) this.#updateOrganisation(task, add);
  }

  /** Frees the capacity that is reserved for a task, if any. */
  cancelReservation(task: Task): void {
    const server = this.#reservations.get(task);
    if (server === undefined) return;
    this.#reservations.delete(task);
    const onServer = this.#runsOf(server);
    onServer.reservedFor.delete(task);
    this.#updateServer(task, onServer, subtract);
    if (!this.#byTask.has(task.name)) this.#updateOrganisation(task, subtract);
  }

  /** Id of the backend server on which capacity is reserved for a task; undefined if there is none. */
  reservedServer(task: Task): string | undefined {
    return this.#reservations.get(task);
  }

  /** Backend servers on which a task runs or has capacity reserved. */
  serversOf(task: Task): ReadonlySet<string> {
    const servers = new Set<string>();
    const run = this.#byTask.get(task.name);
    if (run !== undefined) servers.add(run.server);
    const reserved = this.#reservations.get(task);
    if (reserved !== undefined) servers.add(reserved);
    return servers;
  }

  /** Number of tasks for which capacity is reserved on a backend server. */
  reservationsOn(server: string): number {
    return this.#byServer.get(server)?.reservedFor.size ?? 0;
  }

  forTask(name: string): ActiveRun | undefined {
    return this.#byTask.get(name);
  }

  /** Runs on a backend server, as a copy that later changes don't affect. */
  onServer(server: string): readonly ActiveRun[] {
    return [...this.runsOn(server)];
  }

  /** Runs on a backend server, without a copy: no run may be added or removed while it is read. */
  runsOn(server: string): Iterable<ActiveRun> {
    return this.#byServer.get(server)?.runs.values() ?? [];
  }

  /** Number of runs on a backend server. */
  countOn(server: string): number {
    return this.#byServer.get(server)?.runs.size ?? 0;
  }

  /** Number of runs of long-running tasks on a backend server. */
  longTasksOn(server: string): number {
    return this.#byServer.get(server)?.longTasks ?? 0;
  }

  all(): Iterable<ActiveRun> {
    return this.#byTask.values();
  }

  /** What runs occupy on a backend server, and what is reserved there. */
  usedOnServer(server: string): Resources {
    return this.#byServer.get(server)?.used ?? NO_RESOURCES;
  }

  /** Declared demand of an organisation's tasks that run, or whose capacity is reserved, on any server. */
  usedByOrganisation(organisation: string): Resources {
    return this.#usedByOrganisation.get(organisation) ?? NO_RESOURCES;
  }

  #runsOf(server: string): ServerRuns {
    let onServer = this.#byServer.get(server);
    if (onServer === undefined) this.#byServer.set(server, (onServer = new ServerRuns()));
    return onServer;
  }

  #updateServer({ step }: Task, onServer: ServerRuns, combine: Combine): void {
    onServer.used = combine(onServer.used, resourcesOccupied(step.spec));
  }

  #updateOrganisation({ step, job }: Task, combine: Combine): void {
    const { organisation } = job.spec;
    if (organisation === undefined) return;
    const used = combine(this.usedByOrganisation(organisation), step.spec.demand);
    this.#usedByOrganisation.set(organisation, used);
  }
}

type Combine = (a: Resources, b: Resources) => Resources;
