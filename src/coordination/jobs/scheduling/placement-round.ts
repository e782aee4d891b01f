import type { Clock } from "../../../ports/clock.ts";
import type { AdvisorTiming, JobQueueConfig } from "../../../protocol/fleet-config.ts";
import type { Resources } from "../../../protocol/job-spec.ts";
import type { DurationModels } from "../../../state/jobs/scheduling/duration-model.ts";
import type { Job, Occurrence, StepRun, Task } from "../../../state/jobs/records/job.ts";
import { rankStep, UNKNOWN_QUEUE_URGENCY } from "../../../state/jobs/scheduling/job-order.ts";
import type { RetryBudgets } from "../../../state/jobs/scheduling/retry-policy.ts";
import type { RankedStep, StepPlanner } from "../../../state/jobs/scheduling/step-planner.ts";
import type { WaitReason, WaitReasons } from "../../../state/jobs/scheduling/wait-reasons.ts";
import { resourcesOccupied } from "../../../state/jobs/scheduling/resources.ts";
import type { ActiveRun, RunRegistry } from "../../../state/jobs/execution/run-registry.ts";
import { withinOrganisationCap } from "./organisation-cap.ts";
import type { PlacementTicketCache } from "./placement-ticket-cache.ts";
import type { FleetConfigView } from "../config-view.ts";
import type { ServerDriver } from "../execution/server-driver.ts";
import type { CandidateServers } from "./candidate-servers.ts";
import { PoolCandidates } from "./pool-candidates.ts";
import { RoundFleet } from "./round-fleet.ts";

/** Time in ms that a task waits for a healthy server before a slow or failing one is accepted. */
const DEGRADED_WAIT_MS = 1500;

/** Options of {@link PlacementRound}. */
export interface PlacementRoundOptions {
  readonly clock: Clock;
  readonly config: FleetConfigView;
  readonly runRegistry: RunRegistry;
  readonly durations: DurationModels;
  readonly planner: StepPlanner;
  readonly retries: RetryBudgets;
  readonly reasons: WaitReasons;
  /** Returns the backend servers of a pool. */
  readonly driversOf: (pool: string) => readonly ServerDriver[];
  /** Cores of a pool once it has the size that its demand requires; 0 if unknown. */
  readonly expectedCores: (pool: string) => number;
  /** Choices in a pool after which its servers are indexed; see {@link CandidateServers}. */
  readonly indexAfterChoices?: number;
  readonly ticketCache: PlacementTicketCache;
  /** Returns false while no more start orders may be sent. */
  readonly mayStart: () => boolean;
  readonly place: (task: Task, driver: ServerDriver) => ActiveRun;
  /** Undoes a placement. */
  readonly undoPlacement: (run: ActiveRun) => void;
}

/** One pass over all waiting tasks, which assigns them to backend servers in order of rank. */
export class PlacementRound {
  readonly #options: PlacementRoundOptions;
  readonly #now: number;
  /** Servers by pool, collected when the first task of the pool is placed. */
  readonly #pools = new Map<string, PoolCandidates>();
  /** Keys of demands that did not fit. Later tasks with the same key are skipped. */
  readonly #refused = new Set<string>();
  /** Retries beyond the budgets of their queues, which are placed after all first attempts. */
  readonly #deferredRetries: { readonly task: Task; readonly pool: string }[] = [];
  /** Steps with tasks that wait for the first poll of a server. */
  readonly #awaitingFirstPoll = new Set<StepRun>();

  constructor(options: PlacementRoundOptions) {
    this.#options = options;
    this.#now = options.clock.now();
  }

  /** Assigns the tasks that fit and returns the new runs of each job. */
  run(jobs: Iterable<Job>): ReadonlyMap<Job, readonly ActiveRun[]> {
    const placed = new Map<Job, ActiveRun[]>();
    const add = (step: StepRun, runs: ActiveRun[]): void => {
      if (runs.length === 0) return;
      const earlier = placed.get(step.job);
      if (earlier === undefined) placed.set(step.job, runs);
      else earlier.push(...runs);
    };
    const steps = this.#rankedSteps(jobs);
    for (const { step, pool } of steps) {
      if (!this.#options.mayStart()) break;
      add(step, step.spec.gang ? this.#placeGang(step, pool) : this.#placeTasks(step, pool));
    }
    for (const { task, pool } of this.#deferredRetries) {
      if (!this.#options.mayStart()) break;
      const run = this.#placeTask(task, pool);
      if (run !== undefined) add(task.step, [run]);
    }
    this.#recordReasons(steps);
    return placed;
  }

  #recordReasons(steps: readonly RankedStep[]): void {
    const { reasons } = this.#options;
    for (const { step, pool } of steps) {
      if (step.hasWaitingTasks) reasons.waits(step, this.#waitReason(step, pool));
      else reasons.placed(step);
    }
  }

  #waitReason(step: StepRun, pool: string): WaitReason {
    const { planner, mayStart } = this.#options;
    if (!step.tasks.some((task) => task.waiting && task.notBefore <= this.#now))
      return "retry-pause";
    if (!mayStart()) return "no-starts";
    if (this.#awaitingFirstPoll.has(step)) return "first-poll";
    if (!this.#withinCap(step)) return "cap";
    const beyondShare = planner.isShort(pool) && planner.planned(step)?.withinShare === false;
    return beyondShare ? "share" : "no-room";
  }

  #rankedSteps(jobs: Iterable<Job>): readonly RankedStep[] {
    const { clock, config, planner, runRegistry } = this.#options;
    const wallTime = clock.wallTime();
    const steps: RankedStep[] = [];
    for (const job of jobs) {
      job.release(wallTime);
      const queue = config.queueOf(job.spec);
      for (const step of job.readySteps()) {
        step.readyAt ??= this.#now;
        const occurrence = job.occurrences[step.occurrence];
        if (occurrence === undefined) continue;
        steps.push({ step, ...this.#rank(step, occurrence, queue, wallTime) });
      }
    }
    const fleet = new RoundFleet({
      ...{ config, runRegistry, wallTimeMs: wallTime },
      servers: this.#options.driversOf,
      expectedCores: this.#options.expectedCores,
      acceptsTasks: (driver) => driver.acceptsTasks(this.#now),
    });
    return planner.sort(steps, fleet, this.#now);
  }

  #rank(
    step: StepRun,
    occurrence: Occurrence,
    queue: JobQueueConfig | undefined,
    wallTime: number,
  ) {
    const urgency = queue ?? UNKNOWN_QUEUE_URGENCY;
    const rank = rankStep(step, occurrence, urgency, wallTime, this.#options.durations);
    return { rank, urgency, pool: queue?.pool ?? step.job.spec.pool };
  }

  #placeTasks(step: StepRun, pool: string): ActiveRun[] {
    const runs: ActiveRun[] = [];
    const { retries } = this.#options;
    const { queue } = step.job.spec;
    for (const task of step.tasks) {
      if (!task.waiting || task.notBefore > this.#now) continue;
      if (!this.#options.mayStart()) break;
      const retry = task.failures > 0 && !step.spec.longRunning;
      if (retry && !retries.mayRetry(queue)) {
        this.#deferredRetries.push({ task, pool });
        continue;
      }
      const run = this.#placeTask(task, pool);
      if (run === undefined) continue;
      runs.push(run);
      if (retry) retries.retryStarted(queue);
      else retries.firstAttemptStarted(queue);
    }
    return runs;
  }

  /** Places all members of a gang or none: a member that waits for others wastes its capacity. */
  #placeGang(step: StepRun, pool: string): ActiveRun[] {
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
    const run = this.#options.runRegistry.forTask(task.name);
    if (run === undefined) return;
    this.#options.undoPlacement(run);
    for (const servers of this.#pools.values()) servers.release(server, task.step);
  }

  #placeTask(task: Task, pool: string): ActiveRun | undefined {
    const reserved = this.#options.runRegistry.reservedServer(task);
    if (reserved !== undefined) return this.#placeReserved(task, pool, reserved);
    if (!this.#withinCap(task.step)) return undefined;
    if (this.#serversOf(pool).isConcentrated(task)) return this.#placeApart(task, pool);
    const healthy = this.#placeAmong(task, pool, "healthy");
    if (healthy !== undefined || this.#shouldWait(task)) return healthy;
    return this.#placeAmong(task, pool, "degraded");
  }

  /**
   * Places a task on the server on which capacity is reserved for it, or on any if that one can't take it.
   * The capacity stays reserved while a ticket for the server is missing.
   */
  #placeReserved(task: Task, pool: string, server: string): ActiveRun | undefined {
    const { config, runRegistry } = this.#options;
    const { step } = task;
    const servers = this.#serversOf(pool);
    const usable = servers.healthy.ids.includes(server) || servers.degraded.ids.includes(server);
    const advised = config.queueOf(step.job.spec)?.advice;
    if (usable && this.#ticketFilter(step, [server], advised)?.(server) === false) return undefined;
    runRegistry.cancelReservation(task);
    servers.release(server, step);
    if (!this.#withinCap(step)) return undefined;
    const demand = resourcesOccupied(step.spec);
    const onServer = (id: string): boolean => id === server;
    for (const candidates of [servers.healthy, servers.degraded]) {
      const chosen = candidates.choose(task, demand, onServer);
      if (chosen !== undefined) return this.#placeOn(task, chosen, candidates);
    }
    return this.#placeTask(task, pool);
  }

  #placeOn(task: Task, driver: ServerDriver, candidates: CandidateServers): ActiveRun {
    const run = this.#options.place(task, driver);
    candidates.allocate(driver.id, task.step);
    return run;
  }

  /** Places a task whose step has enough tasks on the healthy servers that have room. */
  #placeApart(task: Task, pool: string): ActiveRun | undefined {
    const servers = this.#serversOf(pool);
    if (servers.mayJoin(task)) {
      this.#awaitingFirstPoll.add(task.step);
      return undefined;
    }
    return this.#placeAmong(task, pool, "surplus") ?? this.#placeAmong(task, pool, "healthy");
  }

  #placeAmong(
    task: Task,
    pool: string,
    kind: "healthy" | "degraded" | "surplus",
  ): ActiveRun | undefined {
    const servers = this.#serversOf(pool)[kind];
    const { step } = task;
    const advised = this.#options.config.queueOf(step.job.spec)?.advice;
    const demand = resourcesOccupied(step.spec);
    const key = `${kind}|${refusalKey(task, pool, demand, advised !== undefined)}`;
    if (this.#refused.has(key)) return undefined;
    const chosen = servers.choose(task, demand, this.#ticketFilter(step, servers.ids, advised));
    if (chosen !== undefined) return this.#placeOn(task, chosen, servers);
    this.#refused.add(key);
    return undefined;
  }

  /**
   * Returns a filter for the servers that have a valid ticket, and requests tickets for the others;
   * undefined if the queue does not use the placement advisor.
   */
  #ticketFilter(
    step: StepRun,
    servers: readonly string[],
    timing: AdvisorTiming | undefined,
  ): ((server: string) => boolean) | undefined {
    if (timing === undefined) return undefined;
    const { ticketCache } = this.#options;
    ticketCache.requestTickets(step, servers, timing);
    return (server) => ticketCache.ticket(step, server) !== undefined;
  }

  /** True while the task should wait for a healthy server instead of using a degraded one. */
  #shouldWait({ step, lastRunEndedAt }: Task): boolean {
    return this.#now - Math.max(step.readyAt ?? this.#now, lastRunEndedAt) < DEGRADED_WAIT_MS;
  }

  #withinCap({ spec, job }: StepRun): boolean {
    return withinOrganisationCap(job.spec.organisation, spec.demand, this.#options);
  }

  #serversOf(pool: string): PoolCandidates {
    const known = this.#pools.get(pool);
    if (known !== undefined) return known;
    const { runRegistry, driversOf, indexAfterChoices } = this.#options;
    const now = this.#now;
    const servers = new PoolCandidates({
      ...{ drivers: driversOf(pool), runRegistry, now, indexAfterChoices },
    });
    this.#pools.set(pool, servers);
    return servers;
  }
}

function refusalKey({ step }: Task, pool: string, demand: Resources, advised: boolean): string {
  const { spec, job, position, occurrence } = step;
  // Limits of tasks per server and advisor tickets apply to one step, so such steps get own keys.
  const own = spec.maxPerServer > 0 || advised ? `${job.spec.id}.${occurrence}.${position}` : "";
  const { cpuMillis, memoryMb, accelerators } = demand;
  return [pool, cpuMillis, memoryMb, accelerators, spec.requiredLabel, own].join("|");
}
