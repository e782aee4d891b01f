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
  /** Boot of the backend server, as Unix time in ms. */
  readonly bootedAt: number;
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
  /** Speed in percent of full speed at which the run was ordered to work. */
  pace: number;
  /** Tail latency in ms, or thousandths of a core, as last listed. */
  load: number;
}

/** All active runs, with the resource totals that limits are checked against. */
export class RunRegistry {
  readonly #byTask = new Map<string, ActiveRun>();
  readonly #byServer = new Map<string, Map<string, ActiveRun>>();
  readonly #usedByServer = new Map<string, Resources>();
  readonly #usedByOrganisation = new Map<string, Resources>();

  get size(): number {
    return this.#byTask.size;
  }

  /** Adds a run. Its task must not have another run here. */
  add(run: ActiveRun): void {
    this.#byTask.set(run.task.name, run);
    const onServer = this.#byServer.get(run.server) ?? new Map<string, ActiveRun>();
    onServer.set(run.task.name, run);
    this.#byServer.set(run.server, onServer);
    this.#updateUsage(run, add);
  }

  /** Removes a run that is certainly not active any more. */
  remove(run: ActiveRun): void {
    if (this.#byTask.get(run.task.name) !== run) return;
    this.#byTask.delete(run.task.name);
    this.#byServer.get(run.server)?.delete(run.task.name);
    this.#updateUsage(run, subtract);
  }

  forTask(name: string): ActiveRun | undefined {
    return this.#byTask.get(name);
  }

  onServer(server: string): readonly ActiveRun[] {
    return [...(this.#byServer.get(server)?.values() ?? [])];
  }

  all(): Iterable<ActiveRun> {
    return this.#byTask.values();
  }

  usedOnServer(server: string): Resources {
    return this.#usedByServer.get(server) ?? NO_RESOURCES;
  }

  /** Declared demand of an organisation's runs on all backend servers. */
  usedByOrganisation(organisation: string): Resources {
    return this.#usedByOrganisation.get(organisation) ?? NO_RESOURCES;
  }

  #updateUsage(run: ActiveRun, combine: (a: Resources, b: Resources) => Resources): void {
    const { spec } = run.task.step;
    const { organisation } = run.task.job.spec;
    this.#usedByServer.set(
      run.server,
      combine(this.usedOnServer(run.server), resourcesOccupied(spec)),
    );
    if (organisation === undefined) return;
    const used = combine(this.usedByOrganisation(organisation), spec.demand);
    this.#usedByOrganisation.set(organisation, used);
  }
}
