import type { StepSpec } from "../../../protocol/job-spec.ts";
import type { Job, Occurrence, StepRun } from "../records/job.ts";
import type { DurationModel, DurationModels } from "./duration-model.ts";
import { RecentUsage } from "./fair-share.ts";
import { chainMs, compareStepRanks, type QueueUrgency, type StepRank } from "./job-order.ts";
import { expectedWork, JobValues } from "./job-value.ts";
import {
  compareByDeadline,
  isShort,
  PlannedJob,
  planJobs,
  type PlanCapacity,
  PlanOrganisations,
} from "./queue-plan.ts";

/** Callers give up this number of objectives after the release of a job. */
const GIVE_UP_OBJECTIVES = 3;
const MILLIS_PER_CORE = 1000;

/** A step with waiting tasks. */
export interface RankedStep {
  readonly step: StepRun;
  readonly rank: StepRank;
  readonly pool: string;
  readonly urgency: QueueUrgency;
}

/** State of one pool that plans depend on. */
export abstract class PlannedPool {
  /** Capacity for tasks that are not long-running. */
  abstract capacity(): PlanCapacity;
  /** Cores that the tasks of each organisation occupy; see {@link shareholder}. */
  abstract occupied(): ReadonlyMap<string, number>;
}

/** The pools and organisations of the fleet. */
export abstract class PlannedFleet {
  abstract pool(name: string): PlannedPool;
  /** Weight of an organisation; undefined if it is not configured. */
  abstract weight(organisation: string): number | undefined;
}

/** A planned job and what its figures were computed from. */
interface KnownJob {
  readonly planned: PlannedJob;
  readonly model: DurationModel;
  epoch: number;
  /** Expected work in core ms of one task of each step. */
  taskWork: readonly number[];
  objectiveMs: number;
  /** Number of the last plan with the job. */
  plan: number;
}

/** Plan of one pool, kept between rounds. */
interface PoolPlan {
  readonly usage: RecentUsage;
  readonly jobs: PlannedJob[];
  short: boolean;
}

/** Name under which a job has a share: its organisation, or its queue if that is open to all. */
export function shareholder({ spec }: Job): string {
  return spec.organisation ?? `queue:${spec.queue}`;
}

/**
 * Orders the waiting steps of all pools. While a pool can start all its work in time the order is
 * that of their ranks; while it is short of capacity the order is that of {@link planJobs}.
 */
export class StepPlanner {
  readonly #durations: DurationModels;
  readonly #values = new JobValues();
  readonly #known = new WeakMap<Occurrence, KnownJob>();
  readonly #pools = new Map<string, PoolPlan>();
  /** Number of plans so far. */
  #plans = 0;

  constructor(durations: DurationModels) {
    this.#durations = durations;
  }

  /** True if the pool was short of capacity in the last plan. */
  isShort(pool: string): boolean {
    return this.#pools.get(pool)?.short ?? false;
  }

  /** The job's place in the last plan; undefined if there is none. */
  planned({ job, occurrence }: StepRun): PlannedJob | undefined {
    const known = job.occurrences[occurrence];
    return known === undefined ? undefined : this.#known.get(known)?.planned;
  }

  /** Sorts the steps in the order in which they are to be placed. `now` is a monotonic time in ms. */
  sort(steps: RankedStep[], fleet: PlannedFleet, now: number): readonly RankedStep[] {
    this.#plans++;
    for (const plan of this.#pools.values()) {
      plan.jobs.length = 0;
      plan.short = false;
    }
    const crowded = crowdedPools(steps, fleet);
    if (crowded.size > 0)
      for (const ranked of steps) if (crowded.has(ranked.pool)) this.#addStep(ranked);
    let anyShort = false;
    for (const [name, pool] of crowded) {
      const plan = this.#poolPlan(name);
      this.#plan(plan, fleet, pool, now);
      anyShort ||= plan.short;
    }
    if (!anyShort) return steps.sort((a, b) => compareStepRanks(a.rank, b.rank));
    return this.#sortByPlan(steps);
  }

  #addStep({ step, rank, pool, urgency }: RankedStep): void {
    if (step.spec.longRunning) return;
    const occurrence = step.job.occurrences[step.occurrence];
    if (occurrence === undefined) return;
    const known = this.#knownJob(occurrence, step.job, urgency);
    const { planned } = known;
    if (known.plan !== this.#plans) {
      known.plan = this.#plans;
      this.#beginJob(planned, occurrence, known, rank);
      this.#poolPlan(pool).jobs.push(planned);
    }
    addReadyStep(planned, step, rank, known.taskWork[step.position] ?? 0);
  }

  #beginJob(
    planned: PlannedJob,
    { releasedAtMs, steps }: Occurrence,
    { objectiveMs, taskWork }: KnownJob,
    rank: StepRank,
  ): void {
    planned.priority = rank.priority;
    planned.releasedAtMs = releasedAtMs;
    planned.giveUpAtMs = releasedAtMs + GIVE_UP_OBJECTIVES * objectiveMs;
    planned.latestStartMs = Infinity;
    planned.remainingMs = 0;
    planned.canBeOnTime = true;
    planned.started = false;
    planned.readyWork = 0;
    planned.readyCores = 0;
    planned.taskWork = 0;
    planned.laterWork = laterWork(steps, taskWork);
  }

  #knownJob(occurrence: Occurrence, job: Job, urgency: QueueUrgency): KnownJob {
    const model = this.#durations.forQueue(job.spec.queue);
    let known = this.#known.get(occurrence);
    if (known?.model !== model) {
      const planned = new PlannedJob();
      planned.organisation = shareholder(job);
      planned.value = this.#values.recordJob(job.spec.queue, expectedWork(job.spec, model));
      known = { planned, model, epoch: -1, taskWork: [], objectiveMs: 0, plan: 0 };
      this.#known.set(occurrence, known);
    }
    if (known.epoch !== model.epoch) {
      known.epoch = model.epoch;
      const chain = chainMs(occurrence, this.#durations);
      known.taskWork = job.spec.steps.map((step) => expectedTaskWork(step, model));
      known.objectiveMs = urgency.stretch * chain + urgency.targetLatencyMs;
    }
    return known;
  }

  #poolPlan(name: string): PoolPlan {
    let plan = this.#pools.get(name);
    if (plan === undefined)
      this.#pools.set(name, (plan = { usage: new RecentUsage(), jobs: [], short: false }));
    return plan;
  }

  #plan(plan: PoolPlan, fleet: PlannedFleet, pool: PlannedPool, now: number): void {
    const { jobs, usage } = plan;
    if (jobs.length === 0) return;
    const capacity = pool.capacity();
    jobs.sort(compareByDeadline);
    plan.short = isShort(jobs, capacity);
    if (!plan.short) {
      for (const job of jobs) job.planClass = job.canBeOnTime ? "on-time" : "late";
      return;
    }
    const occupied = pool.occupied();
    usage.update(occupied, now);
    planJobs(jobs, capacity, new PoolOrganisations(jobs, fleet, usage, occupied));
    setOrderTimes(jobs);
  }

  #sortByPlan(steps: RankedStep[]): readonly RankedStep[] {
    const keyed = steps.map((ranked) => this.#planKeys(ranked));
    keyed.sort(comparePlanKeys);
    return keyed.map(({ ranked }) => ranked);
  }

  #planKeys(ranked: RankedStep): PlanKeys {
    const { step, rank, pool } = ranked;
    const { latestStartMs, canBeOnTime } = rank;
    const planned = step.spec.longRunning ? undefined : this.planned(step);
    if (planned === undefined || !this.isShort(pool))
      return { ranked, level: canBeOnTime ? 0 : 3, order: latestStartMs };
    const { planClass, withinShare, orderMs } = planned;
    if (planClass === "hopeless") return { ranked, level: 4, order: orderMs };
    if (planClass === "late") return { ranked, level: withinShare ? 1 : 3, order: orderMs };
    return { ranked, level: withinShare ? 0 : 2, order: latestStartMs };
  }
}

/**
 * Gives the jobs that are not on time their latest starts in the order of their positions, so that they
 * compare with the steps of other pools.
 */
function setOrderTimes(jobs: readonly PlannedJob[]): void {
  const delayed = jobs.filter(({ planClass }) => planClass !== "on-time");
  delayed.sort((a, b) => a.position - b.position);
  const times = delayed.map(({ latestStartMs }) => latestStartMs).sort((a, b) => a - b);
  for (const [index, job] of delayed.entries()) job.orderMs = times[index] ?? job.latestStartMs;
}

/** Keys of a step in the order of a plan. */
interface PlanKeys {
  readonly ranked: RankedStep;
  /** Within shares 0 on time and 1 late, beyond shares 2 on time and 3 late, 4 hopeless. */
  readonly level: number;
  readonly order: number;
}

function comparePlanKeys(a: PlanKeys, b: PlanKeys): number {
  const [one, other] = [a.ranked.rank, b.ranked.rank];
  return (
    Number(other.longRunning) - Number(one.longRunning) ||
    one.priority - other.priority ||
    a.level - b.level ||
    a.order - b.order ||
    one.latestStartMs - other.latestStartMs
  );
}

/** Weights and recent use of the organisations that have waiting jobs in a pool. */
class PoolOrganisations extends PlanOrganisations {
  readonly #fleet: PlannedFleet;
  readonly #usage: RecentUsage;
  readonly #occupied: ReadonlyMap<string, number>;
  readonly #openWeight: number;

  constructor(
    jobs: readonly PlannedJob[],
    fleet: PlannedFleet,
    usage: RecentUsage,
    occupied: ReadonlyMap<string, number>,
  ) {
    super();
    this.#fleet = fleet;
    this.#usage = usage;
    this.#occupied = occupied;
    const names = new Set(jobs.map(({ organisation }) => organisation));
    const weights = [...names].flatMap((name) => fleet.weight(name) ?? []);
    const sum = weights.reduce((total, weight) => total + weight, 0);
    this.#openWeight = sum > 0 ? sum / weights.length : 1;
  }

  /** Queues open to all have the mean weight of the organisations that they compete with. */
  weight(organisation: string): number {
    return this.#fleet.weight(organisation) ?? this.#openWeight;
  }

  recentCores(organisation: string): number {
    return Math.max(this.#occupied.get(organisation) ?? 0, this.#usage.of(organisation));
  }
}

/** Pools whose waiting tasks do not all fit now. Only these need a plan. */
function crowdedPools(
  steps: readonly RankedStep[],
  fleet: PlannedFleet,
): ReadonlyMap<string, PlannedPool> {
  const waiting = new Map<string, number>();
  for (const { step, pool } of steps) {
    if (step.spec.longRunning) continue;
    const cores = taskCores(step.spec) * step.waitingTasks;
    waiting.set(pool, (waiting.get(pool) ?? 0) + cores);
  }
  const crowded = new Map<string, PlannedPool>();
  for (const [name, cores] of waiting) {
    const pool = fleet.pool(name);
    if (cores > pool.capacity().freeCores) crowded.set(name, pool);
  }
  return crowded;
}

function addReadyStep(
  planned: PlannedJob,
  { spec, openTasks, waitingTasks }: StepRun,
  rank: StepRank,
  taskWork: number,
): void {
  planned.started ||= openTasks > waitingTasks;
  planned.readyCores += taskCores(spec) * waitingTasks;
  planned.readyWork += taskWork * waitingTasks;
  planned.taskWork = Math.max(planned.taskWork, taskWork);
  planned.latestStartMs = Math.min(planned.latestStartMs, rank.latestStartMs);
  planned.remainingMs = Math.max(planned.remainingMs, rank.remainingMs);
  planned.canBeOnTime &&= rank.canBeOnTime;
}

/** Work in core ms of the steps that have to wait for others. */
function laterWork(steps: readonly StepRun[], taskWork: readonly number[]): number {
  let work = 0;
  for (const { spec, tasks, position } of steps) {
    if (isReady(spec, steps)) continue;
    work += tasks.length * (taskWork[position] ?? 0);
  }
  return work;
}

function isReady({ after }: StepSpec, steps: readonly StepRun[]): boolean {
  for (const position of after) if (steps[position]?.done !== true) return false;
  return true;
}

function taskCores({ filler, demand }: StepSpec): number {
  return filler ? 0 : demand.cpuMillis / MILLIS_PER_CORE;
}

function expectedTaskWork(spec: StepSpec, model: DurationModel): number {
  if (spec.longRunning || spec.estimateMs <= 0) return 0;
  return taskCores(spec) * model.expectedMs(spec.estimateMs);
}
