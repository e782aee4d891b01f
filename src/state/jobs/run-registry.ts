import type { Resources } from "../../protocol/job-spec.ts";
import type { Task } from "./job.ts";
import { add, NO_RESOURCES, occupied, subtract } from "./resources.ts";

/** What is known of a run. */
export type RunPhase =
  /** Its placement is being written to the store; nothing was ordered. */
  | "recording"
  /** The start order is on its way. */
  | "starting"
  /** The start order was not answered. */
  | "unconfirmed"
  /** Ordered by a former scheduler; its backend server has not been asked yet. */
  | "inherited"
  | "running"
  /** A stop was ordered. It occupies its backend server until its end is listed. */
  | "stopping";

/** Progress of a run at one time on the clock of its backend server. */
export interface ProgressPoint {
  readonly clockMs: number;
  readonly percent: number;
}

/** A run that is, or may be, under way. */
export interface ActiveRun {
  readonly task: Task;
  readonly run: number;
  /** Id of the backend server. */
  readonly server: string;
  readonly bootedAt: number;
  /** It runs on the rack of its data, or its data lie nowhere in particular. */
  readonly nearData: boolean;
  phase: RunPhase;
  /** An order to its instance is under way that will end it; lists may show it at work until then. */
  endOrdered: boolean;
  /** Monotonic time in ms of the last change of the phase. */
  since: number;
  /** Progress in percent, as last listed. */
  percent: number;
  /** Monotonic time in ms at which percent and load were asked for. */
  listedAt: number;
  /** First known progress: the start, or the first list that a new scheduler read. */
  firstProgress: ProgressPoint | undefined;
  /** Progress as last listed. */
  lastProgress: ProgressPoint | undefined;
  /** Share of its speed in percent that it was ordered to work at. */
  pace: number;
  /** Tail latency in ms or thousandths of a core, as last listed. */
  load: number;
}

/** Every run under way, with the sums that limits are checked against. */
export class RunRegistry {
  readonly #byTask = new Map<string, ActiveRun>();
  readonly #byServer = new Map<string, Map<string, ActiveRun>>();
  readonly #usedByServer = new Map<string, Resources>();
  readonly #usedByOrganisation = new Map<string, Resources>();

  get size(): number {
    return this.#byTask.size;
  }

  /** Adds a run. Its task must have none. */
  add(run: ActiveRun): void {
    this.#byTask.set(run.task.name, run);
    const onServer = this.#byServer.get(run.server) ?? new Map<string, ActiveRun>();
    onServer.set(run.task.name, run);
    this.#byServer.set(run.server, onServer);
    this.#charge(run, add);
  }

  /** Removes a run that is certainly not under way. */
  remove(run: ActiveRun): void {
    if (this.#byTask.get(run.task.name) !== run) return;
    this.#byTask.delete(run.task.name);
    this.#byServer.get(run.server)?.delete(run.task.name);
    this.#charge(run, subtract);
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

  /** What an organisation has running on all backend servers, by declared demand. */
  usedByOrganisation(organisation: string): Resources {
    return this.#usedByOrganisation.get(organisation) ?? NO_RESOURCES;
  }

  #charge(run: ActiveRun, sum: (a: Resources, b: Resources) => Resources): void {
    const { spec } = run.task.step;
    const { organisation } = run.task.job.spec;
    this.#usedByServer.set(run.server, sum(this.usedOnServer(run.server), occupied(spec)));
    if (organisation === undefined) return;
    const used = sum(this.usedByOrganisation(organisation), spec.demand);
    this.#usedByOrganisation.set(organisation, used);
  }
}
