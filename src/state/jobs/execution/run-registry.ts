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

/** Runs on one backend server and what they occupy there. */
class ServerRuns {
  readonly runs = new Map<string, ActiveRun>();
  used = NO_RESOURCES;
  longTasks = 0;
}

/** All active runs, with the resource totals that limits are checked against. */
export class RunRegistry {
  readonly #byTask = new Map<string, ActiveRun>();
  readonly #byServer = new Map<string, ServerRuns>();
  readonly #usedByOrganisation = new Map<string, Resources>();

  get size(): number {
    return this.#byTask.size;
  }

  /** Adds a run. Its task must not have another run here. */
  add(run: ActiveRun): void {
    this.#byTask.set(run.task.name, run);
    let onServer = this.#byServer.get(run.server);
    if (onServer === undefined) this.#byServer.set(run.server, (onServer = new ServerRuns()));
    onServer.runs.set(run.task.name, run);
    if (run.task.step.spec.longRunning) onServer.longTasks++;
    this.#updateUsage(run, onServer, add);
  }

  /** Removes a run that is certainly not active any more. */
  remove(run: ActiveRun): void {
    if (this.#byTask.get(run.task.name) !== run) return;
    this.#byTask.delete(run.task.name);
    const onServer = this.#byServer.get(run.server);
    if (onServer === undefined) return;
    onServer.runs.delete(run.task.name);
    if (run.task.step.spec.longRunning) onServer.longTasks--;
    this.#updateUsage(run, onServer, subtract);
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

  usedOnServer(server: string): Resources {
    return this.#byServer.get(server)?.used ?? NO_RESOURCES;
  }

  /** Declared demand of an organisation's runs on all backend servers. */
  usedByOrganisation(organisation: string): Resources {
    return this.#usedByOrganisation.get(organisation) ?? NO_RESOURCES;
  }

  #updateUsage(
    run: ActiveRun,
    onServer: ServerRuns,
    combine: (a: Resources, b: Resources) => Resources,
  ): void {
    const { spec } = run.task.step;
    const { organisation } = run.task.job.spec;
    onServer.used = combine(onServer.used, resourcesOccupied(spec));
    if (organisation === undefined) return;
    const used = combine(this.usedByOrganisation(organisation), spec.demand);
    this.#usedByOrganisation.set(organisation, used);
  }
}
