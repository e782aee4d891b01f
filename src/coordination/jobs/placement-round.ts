import type { Clock } from "../../ports/clock.ts";
import type { QueueConfig } from "../../protocol/fleet-config.ts";
import type { Resources } from "../../protocol/job-spec.ts";
import type { Job, Occurrence, StepRun, Task } from "../../state/jobs/job.ts";
import { compareRanks, rankStep, type StepRank } from "../../state/jobs/job-order.ts";
import { choosePlacement, type PlacementCandidate } from "../../state/jobs/placement.ts";
import { occupied, subtract, withinCap } from "../../state/jobs/resources.ts";
import type { ActiveRun, RunBook } from "../../state/jobs/run-book.ts";
import type { AdviceBook } from "./advice-book.ts";
import type { FleetConfigView } from "./config-view.ts";
import type { ServerDriver } from "./server-driver.ts";

/** Used for jobs whose queue is no longer configured. */
const REMOVED_QUEUE = { priority: 1, stretch: 1, targetLatencyMs: 0 } as const;

/** Time in ms that a task waits before it goes to a server that is slow or fails. */
const DOUBTFUL_AFTER_MS = 1500;

/** Options of {@link PlacementRound}. */
export interface PlacementRoundOptions {
  readonly clock: Clock;
  readonly config: FleetConfigView;
  readonly book: RunBook;
  readonly drivers: Iterable<ServerDriver>;
  readonly advice: AdviceBook;
  readonly place: (task: Task, driver: ServerDriver) => ActiveRun;
}

interface RankedStep {
  readonly step: StepRun;
  readonly rank: StepRank;
  readonly pool: string;
}

/** One pass over everything that waits: assigns tasks to backend servers by rank. */
export class PlacementRound {
  readonly #options: PlacementRoundOptions;
  readonly #now: number;
  readonly #byPool = new Map<string, ServerDriver[]>();
  /** Servers that are slow or fail, for tasks that have found no other place for some time. */
  readonly #doubtful = new Map<string, ServerDriver[]>();
  /** Demands that did not fit; equal tasks after them need not be tried. */
  readonly #refused = new Set<string>();

  constructor(options: PlacementRoundOptions) {
    this.#options = options;
    this.#now = options.clock.now();
    for (const driver of options.drivers) {
      if (!this.#open(driver)) continue;
      const { pool } = driver.registration;
      const group = this.#trusted(driver) ? this.#byPool : this.#doubtful;
      group.set(pool, [...(group.get(pool) ?? []), driver]);
    }
  }

  /** Assigns what fits and returns the new runs of each job. */
  run(jobs: Iterable<Job>): ReadonlyMap<Job, readonly ActiveRun[]> {
    const placed = new Map<Job, ActiveRun[]>();
    for (const { step, pool } of this.#ranked(jobs)) {
      const runs = step.spec.gang ? this.#placeGang(step, pool) : this.#placeTasks(step, pool);
      if (runs.length > 0) placed.set(step.job, [...(placed.get(step.job) ?? []), ...runs]);
    }
    return placed;
  }

  #ranked(jobs: Iterable<Job>): readonly RankedStep[] {
    const { clock, config } = this.#options;
    const wallTime = clock.wallTime();
    const steps: RankedStep[] = [];
    for (const job of jobs) {
      job.release(wallTime);
      const queue = config.queue(job.spec.queue);
      for (const step of job.readySteps()) {
        step.readyAt ??= this.#now;
        const occurrence = job.occurrences[step.occurrence];
        if (occurrence === undefined) continue;
        steps.push({ step, ...this.#rank(step, occurrence, queue, wallTime) });
      }
    }
    return steps.sort((a, b) => compareRanks(a.rank, b.rank));
  }

  #rank(step: StepRun, occurrence: Occurrence, queue: QueueConfig | undefined, wallTime: number) {
    const rank = rankStep(step, occurrence, queue ?? REMOVED_QUEUE, wallTime);
    return { rank, pool: queue?.pool ?? step.job.spec.pool };
  }

  #placeTasks(step: StepRun, pool: string): readonly ActiveRun[] {
    const runs: ActiveRun[] = [];
    for (const task of step.tasks) {
      if (!task.waiting || task.notBefore > this.#now) continue;
      const run = this.#placeTask(task, pool);
      if (run !== undefined) runs.push(run);
    }
    return runs;
  }

  /** All members or none: a member that waits for the others would waste its place. */
  #placeGang(step: StepRun, pool: string): readonly ActiveRun[] {
    const ready = step.tasks.every((task) => task.waiting && task.notBefore <= this.#now);
    if (!ready) return [];
    const run = Math.max(...step.tasks.map((task) => task.run));
    for (const task of step.tasks) task.run = run;
    const runs: ActiveRun[] = [];
    for (const task of step.tasks) {
      const placed = this.#placeTask(task, pool);
      if (placed === undefined) {
        for (const earlier of runs) this.#undo(earlier);
        return [];
      }
      runs.push(placed);
    }
    return runs;
  }

  #undo({ task }: ActiveRun): void {
    const run = this.#options.book.ofTask(task.name);
    if (run === undefined) return;
    this.#options.book.remove(run);
    task.run--;
    task.placement = undefined;
  }

  #placeTask(task: Task, pool: string): ActiveRun | undefined {
    const { spec, job } = task.step;
    const { organisation } = job.spec;
    if (organisation !== undefined && !this.#withinCap(organisation, spec.demand)) return undefined;
    const demand = occupied(spec);
    const advised = this.#options.config.queue(job.spec.queue)?.advice !== undefined;
    const key = refusalKey(task, pool, demand, advised);
    const chosen =
      this.#choose(task, demand, this.#byPool.get(pool) ?? [], key) ??
      (this.#patient(task)
        ? undefined
        : this.#choose(task, demand, this.#doubtful.get(pool) ?? [], `${key}|doubtful`));
    return chosen === undefined ? undefined : this.#options.place(task, chosen);
  }

  #choose(
    task: Task,
    demand: Resources,
    drivers: readonly ServerDriver[],
    key: string,
  ): ServerDriver | undefined {
    if (this.#refused.has(key)) return undefined;
    const allowed = this.#advised(task.step, drivers);
    const candidates = allowed.map((driver) => this.#candidate(driver, task));
    const chosen = choosePlacement(task.step.spec, demand, candidates);
    if (chosen === undefined) this.#refused.add(key);
    return drivers.find(({ id }) => id === chosen?.id);
  }

  /** Servers that the queue's placement policy allows; the advisor is asked about others. */
  #advised(step: StepRun, drivers: readonly ServerDriver[]): readonly ServerDriver[] {
    const { config, advice } = this.#options;
    const cost = config.queue(step.job.spec.queue)?.advice;
    if (cost === undefined) return drivers;
    const ids = drivers.map(({ id }) => id);
    advice.request(step, ids, cost);
    return drivers.filter(({ id }) => advice.ticket(step, id) !== undefined);
  }

  /** True while the task may rather wait than go to a doubtful server. */
  #patient({ step, releasedAt }: Task): boolean {
    return this.#now - Math.max(step.readyAt ?? this.#now, releasedAt) < DOUBTFUL_AFTER_MS;
  }

  #withinCap(organisation: string, demand: Resources): boolean {
    const { config, book } = this.#options;
    const settings = config.organisation(organisation);
    if (settings === undefined) return true;
    return withinCap(book.usedByOrganisation(organisation), demand, settings.cap);
  }

  #candidate(driver: ServerDriver, { step, failedOn }: Task): PlacementCandidate {
    const { book } = this.#options;
    const { id, rack, zone, labels, capacity } = driver.registration;
    let ofStep = 0;
    let ofStepOnRack = 0;
    for (const task of step.tasks) {
      const run = book.ofTask(task.name);
      if (run === undefined) continue;
      if (run.server === id) ofStep++;
      if (this.#rackOf(run.server) === rack) ofStepOnRack++;
    }
    const longTasks = book.onServer(id).filter((run) => run.task.step.spec.longRunning).length;
    const free = subtract(capacity, book.usedOnServer(id));
    const { penalty } = driver.health;
    const { maintenanceAhead } = driver;
    const { slow } = driver.speed;
    const failedHere = failedOn.has(id);
    return {
      id,
      rack,
      zone,
      labels,
      free,
      ofStep,
      ofStepOnRack,
      longTasks,
      penalty,
      failedHere,
      maintenanceAhead,
      slow,
    };
  }

  #rackOf(server: string): string | undefined {
    for (const drivers of this.#byPool.values()) {
      const driver = drivers.find(({ id }) => id === server);
      if (driver !== undefined) return driver.registration.rack;
    }
    return undefined;
  }

  #open(driver: ServerDriver): boolean {
    const { adopted, absent, reserved, reachable, closed, notBefore } = driver;
    if (!adopted || absent || reserved || !reachable || closed) return false;
    return !driver.registration.draining && notBefore <= this.#now;
  }

  /** False for servers that fail or crawl; now and then they get a single task as a trial. */
  #trusted({ id, health, speed }: ServerDriver): boolean {
    if (!speed.slow && !health.onProbation) return true;
    if (health.quarantined(this.#now) || (speed.slow && !speed.trialDue(this.#now))) return false;
    const runs = this.#options.book.onServer(id);
    return runs.every((run) => run.task.step.spec.longRunning);
  }
}

function refusalKey({ step }: Task, pool: string, demand: Resources, advised: boolean): string {
  const { spec, job, position, occurrence } = step;
  // Rules that depend on the step's other tasks can't be shared between steps.
  const own = spec.maxPerServer > 0 || advised ? `${job.spec.id}.${occurrence}.${position}` : "";
  const { cpuMillis, memoryMb, accelerators } = demand;
  return [pool, cpuMillis, memoryMb, accelerators, spec.requiredLabel, own].join("|");
}
