import type { Clock } from "../../ports/clock.ts";
import type { AdviceCost, QueueConfig } from "../../protocol/fleet-config.ts";
import type { Resources } from "../../protocol/job-spec.ts";
import type { DurationModels } from "../../state/jobs/duration-model.ts";
import type { Job, Occurrence, StepRun, Task } from "../../state/jobs/job.ts";
import { compareRanks, rankStep, type StepRank } from "../../state/jobs/job-order.ts";
import { occupied, withinCap } from "../../state/jobs/resources.ts";
import type { ActiveRun, RunRegistry } from "../../state/jobs/run-registry.ts";
import type { PlacementTicketCache } from "./placement-ticket-cache.ts";
import type { FleetConfigView } from "./config-view.ts";
import type { ServerDriver } from "./server-driver.ts";
import { CandidateServers } from "./candidate-servers.ts";

/** Used for jobs whose queue is no longer configured. */
const REMOVED_QUEUE = { priority: 1, stretch: 1, targetLatencyMs: 0 } as const;

/** Time in ms that a task waits before it goes to a server that is slow or fails. */
const DOUBTFUL_AFTER_MS = 1500;

/** Options of {@link PlacementRound}. */
export interface PlacementRoundOptions {
  readonly clock: Clock;
  readonly config: FleetConfigView;
  readonly book: RunRegistry;
  readonly durations: DurationModels;
  readonly drivers: Iterable<ServerDriver>;
  readonly advice: PlacementTicketCache;
  /** False while no further start may be sent. */
  readonly mayStart: () => boolean;
  readonly place: (task: Task, driver: ServerDriver) => ActiveRun;
  /** Takes back an assignment. */
  readonly unplace: (run: ActiveRun) => void;
}

interface RankedStep {
  readonly step: StepRun;
  readonly rank: StepRank;
  readonly pool: string;
}

/** Backend servers of a pool that take tasks. */
interface PoolRooms {
  readonly trusted: CandidateServers;
  /** Those that are slow or fail, for tasks that have found no other place for some time. */
  readonly doubtful: CandidateServers;
}

/** One pass over everything that waits: assigns tasks to backend servers by rank. */
export class PlacementRound {
  readonly #options: PlacementRoundOptions;
  readonly #now: number;
  /** Servers by pool, read when the first task of a pool is placed. */
  readonly #pools = new Map<string, PoolRooms>();
  #driversByPool: ReadonlyMap<string, readonly ServerDriver[]> | undefined;
  /** Demands that did not fit; equal tasks after them need not be tried. */
  readonly #refused = new Set<string>();

  constructor(options: PlacementRoundOptions) {
    this.#options = options;
    this.#now = options.clock.now();
  }

  /** Assigns what fits and returns the new runs of each job. */
  run(jobs: Iterable<Job>): ReadonlyMap<Job, readonly ActiveRun[]> {
    const placed = new Map<Job, ActiveRun[]>();
    for (const { step, pool } of this.#ranked(jobs)) {
      if (!this.#options.mayStart()) break;
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
    const rank = rankStep(
      step,
      occurrence,
      queue ?? REMOVED_QUEUE,
      wallTime,
      this.#options.durations,
    );
    return { rank, pool: queue?.pool ?? step.job.spec.pool };
  }

  #placeTasks(step: StepRun, pool: string): readonly ActiveRun[] {
    const runs: ActiveRun[] = [];
    for (const task of step.tasks) {
      if (!task.waiting || task.notBefore > this.#now) continue;
      if (!this.#options.mayStart()) break;
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

  #undo({ task, server }: ActiveRun): void {
    const run = this.#options.book.forTask(task.name);
    if (run === undefined) return;
    this.#options.unplace(run);
    for (const { trusted, doubtful } of this.#pools.values()) {
      trusted.placementUndone(server, task.step);
      doubtful.placementUndone(server, task.step);
    }
  }

  #placeTask(task: Task, pool: string): ActiveRun | undefined {
    const { spec, job } = task.step;
    const { organisation } = job.spec;
    if (organisation !== undefined && !this.#withinCap(organisation, spec.demand)) return undefined;
    const trusted = this.#placeAmong(task, pool, "trusted");
    if (trusted !== undefined || this.#patient(task)) return trusted;
    return this.#placeAmong(task, pool, "doubtful");
  }

  #placeAmong(task: Task, pool: string, kind: keyof PoolRooms): ActiveRun | undefined {
    const rooms = this.#roomsOf(pool)[kind];
    const { step } = task;
    const advised = this.#options.config.queue(step.job.spec.queue)?.advice;
    const demand = occupied(step.spec);
    const key = `${kind}|${refusalKey(task, pool, demand, advised !== undefined)}`;
    if (this.#refused.has(key)) return undefined;
    const chosen = rooms.choose(task, demand, this.#allowed(step, rooms, advised));
    if (chosen === undefined) {
      this.#refused.add(key);
      return undefined;
    }
    const run = this.#options.place(task, chosen);
    rooms.placed(chosen.id, step);
    return run;
  }

  /** Servers that the queue's placement policy allows; the advisor is asked about others. */
  #allowed(
    step: StepRun,
    rooms: CandidateServers,
    cost: AdviceCost | undefined,
  ): ((server: string) => boolean) | undefined {
    if (cost === undefined) return undefined;
    const { advice } = this.#options;
    advice.request(step, rooms.ids, cost);
    return (server) => advice.ticket(step, server) !== undefined;
  }

  /** True while the task may rather wait than go to a doubtful server. */
  #patient({ step, lastRunEndedAt: releasedAt }: Task): boolean {
    return this.#now - Math.max(step.readyAt ?? this.#now, releasedAt) < DOUBTFUL_AFTER_MS;
  }

  #withinCap(organisation: string, demand: Resources): boolean {
    const { config, book } = this.#options;
    const settings = config.organisation(organisation);
    if (settings === undefined) return true;
    return withinCap(book.usedByOrganisation(organisation), demand, settings.cap);
  }

  #roomsOf(pool: string): PoolRooms {
    const known = this.#pools.get(pool);
    if (known !== undefined) return known;
    const { book, drivers } = this.#options;
    this.#driversByPool ??= byPool(drivers);
    const open = (this.#driversByPool.get(pool) ?? []).filter((driver) => this.#open(driver));
    const rooms = {
      trusted: new CandidateServers(
        open.filter((driver) => this.#isTrusted(driver)),
        book,
      ),
      doubtful: new CandidateServers(
        open.filter((driver) => !this.#isTrusted(driver)),
        book,
      ),
    };
    this.#pools.set(pool, rooms);
    return rooms;
  }

  #open(driver: ServerDriver): boolean {
    const { adopted, absent, reserved, reachable, closed, notBefore } = driver;
    if (!adopted || absent || reserved || !reachable || closed) return false;
    return !driver.registration.draining && notBefore <= this.#now;
  }

  /** False for servers that fail or crawl; now and then they get a single task as a trial. */
  #isTrusted({ id, health, speed }: ServerDriver): boolean {
    if (!speed.slow && !health.onProbation) return true;
    if (health.quarantined(this.#now) || (speed.slow && !speed.trialDue(this.#now))) return false;
    const runs = this.#options.book.onServer(id);
    return runs.every((run) => run.task.step.spec.longRunning);
  }
}

function byPool(drivers: Iterable<ServerDriver>): ReadonlyMap<string, readonly ServerDriver[]> {
  const pools = new Map<string, ServerDriver[]>();
  for (const driver of drivers) {
    const { pool } = driver.registration;
    const group = pools.get(pool);
    if (group === undefined) pools.set(pool, [driver]);
    else group.push(driver);
  }
  return pools;
}

function refusalKey({ step }: Task, pool: string, demand: Resources, advised: boolean): string {
  const { spec, job, position, occurrence } = step;
  // Rules that depend on the step's other tasks can't be shared between steps.
  const own = spec.maxPerServer > 0 || advised ? `${job.spec.id}.${occurrence}.${position}` : "";
  const { cpuMillis, memoryMb, accelerators } = demand;
  return [pool, cpuMillis, memoryMb, accelerators, spec.requiredLabel, own].join("|");
}
