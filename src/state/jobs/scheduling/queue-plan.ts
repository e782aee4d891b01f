import { divideCores, USAGE_WINDOW_MS } from "./fair-share.ts";
import { MinHeap, type HeapItem } from "./min-heap.ts";

/**
 * Part of a job's remaining chain by which it has to be planned to start early. Without a margin the
 * jobs that take longer than expected make all that follow just late: over the replayed loads of
 * `npm run bench -- decisions` a margin of 0.3 gave a higher utility than 0, 0.15 and 0.5.
 */
const START_MARGIN = 0.3;
/**
 * A late job counts as within the share of its organisation if that share alone would get to it
 * within this time in ms.
 */
const LATE_WITHIN_SHARE_MS = 200;
/**
 * Factor on the value density of jobs that the former plan has on time, so that jobs with similar
 * densities do not replace each other in each round.
 */
const HYSTERESIS = 1.25;
/** Time in ms by which a late job's value density doubles. */
const AGING_MS = 10_000;

/** Class of a job in a plan, in the order of placement. */
export type PlanClass = "on-time" | "late" | "hopeless";

/** One occurrence of a job with waiting tasks, and its place in the plan. Work in core ms. */
export class PlannedJob implements HeapItem {
  organisation = "";
  priority = 1;
  /** Work of the waiting tasks that are ready. */
  readyWork = 0;
  /** Largest work of one of these tasks. */
  taskWork = 0;
  /** Cores that these tasks need to run all at once. */
  readyCores = 0;
  /** Work of steps that are not ready yet. */
  laterWork = 0;
  /** Value if the job ends on time. */
  value = 1;
  releasedAtMs = 0;
  /** Latest Unix time in ms at which the last waiting task can start for the job to be on time. */
  latestStartMs = 0;
  /** Expected time of the longest chain that remains, in ms. */
  remainingMs = 0;
  /** Unix time in ms at which callers give up. */
  giveUpAtMs = 0;
  /** False if the job would be late even if it started now. */
  canBeOnTime = true;
  /** True if tasks of the job run. */
  started = false;

  /** Class in the last plan. */
  planClass: PlanClass = "late";
  /** True if the share of its organisation is enough for the job. */
  withinShare = true;
  expectedEndMs = 0;
  /** Place among the late or hopeless jobs of its priority. */
  position = 0;
  /** Unix time in ms that orders the job among those of other pools; set where it is not on time. */
  orderMs = 0;
  heapKey = 0;

  get work(): number {
    return this.readyWork + this.laterWork;
  }
}

/** Capacity of a pool for tasks that are not long-running. */
export interface PlanCapacity {
  /** Cores of the servers that accept tasks, without those of long-running tasks. */
  readonly cores: number;
  /** Cores that are free now. */
  readonly freeCores: number;
  /** Unix time in ms. */
  readonly wallTimeMs: number;
}

/** Organisations in a pool. */
export abstract class PlanOrganisations {
  /** Weight of an organisation relative to others. */
  abstract weight(organisation: string): number;
  /** Cores that an organisation's tasks have recently occupied in the pool. */
  abstract recentCores(organisation: string): number;
}

/** Work that is planned before a job, on the whole pool or on the share of one organisation. */
class WorkAhead {
  readonly cores: number;
  readonly freeCores: number;
  readonly now: number;
  readonly admitted = new MinHeap<PlannedJob>();
  work: number;
  readyCores = 0;

  constructor(cores: number, freeCores: number, now: number, work = 0) {
    this.cores = cores;
    this.freeCores = freeCores;
    this.now = now;
    this.work = work;
  }

  /** Unix time in ms at which the last waiting task of a job can be expected to start. */
  lastStart(job: PlannedJob): number {
    if (this.readyCores + job.readyCores <= this.freeCores) return this.now;
    if (this.cores <= 0) return Infinity;
    return this.now + Math.max(0, this.work + job.readyWork - job.taskWork) / this.cores;
  }

  /** True if a job is on time after the work ahead, with a margin as a part of its remaining chain. */
  fits(job: PlannedJob, margin: number): boolean {
    return this.lastStart(job) <= job.latestStartMs - job.remainingMs * margin;
  }

  add(job: PlannedJob): void {
    this.work += job.work;
    this.readyCores += job.readyCores;
  }

  remove(job: PlannedJob): void {
    this.work -= job.work;
    this.readyCores -= job.readyCores;
  }

  /** Sets when a job is expected to end. */
  setExpectedEnd(job: PlannedJob): void {
    job.expectedEndMs = this.lastStart(job) + job.remainingMs;
  }
}

/** Order in which jobs would be placed if capacity were not short. */
export function compareByDeadline(a: PlannedJob, b: PlannedJob): number {
  return (
    a.priority - b.priority ||
    Number(b.canBeOnTime) - Number(a.canBeOnTime) ||
    a.latestStartMs - b.latestStartMs
  );
}

/**
 * True if the pool cannot start all jobs now and a job that can still be on time would be late if the
 * one with the earliest deadline always came first. Jobs that are late already, after a failure for
 * instance, don't make a pool short. `jobs` must be sorted by {@link compareByDeadline}.
 */
export function isShort(jobs: readonly PlannedJob[], capacity: PlanCapacity): boolean {
  const { freeCores, wallTimeMs } = capacity;
  let readyCores = 0;
  for (const job of jobs) readyCores += job.readyCores;
  if (readyCores <= freeCores) return false;
  // Read last, because it can be expensive to determine.
  const { cores } = capacity;
  const ahead = new WorkAhead(cores, freeCores, wallTimeMs);
  for (const job of jobs) {
    const startsNow = ahead.readyCores + job.readyCores <= freeCores;
    if (!startsNow && job.canBeOnTime && !ahead.fits(job, 0)) return true;
    ahead.add(job);
  }
  return false;
}

/**
 * Plans the jobs of a pool that is short of capacity, sorted by {@link compareByDeadline}, and sets
 * the class, the share and the position of each. `StepPlanner` places jobs within shares first, on time
 * and then late, then jobs beyond shares in the same way, then hopeless ones. Within a priority:
 *
 * 1. Jobs that would be on time if each organisation had only its share of the pool, then jobs that
 *    are on time with what these leave. Where the work up to a deadline does not fit, the job with
 *    the least value for its remaining work is moved to the late ones (Moore-Hodgson).
 * 2. Late jobs, those with the most value for their remaining work first, in turns by the shares of
 *    the organisations.
 * 3. Jobs that would end after their callers have given up, in the order of their release.
 */
export function planJobs(
  jobs: readonly PlannedJob[],
  capacity: PlanCapacity,
  organisations: PlanOrganisations,
): void {
  const { cores, freeCores, wallTimeMs } = capacity;
  const pool = new WorkAhead(cores, freeCores, wallTimeMs);
  const shares = sharesOf(jobs, capacity, organisations);
  for (let begin = 0; begin < jobs.length;) {
    const priority = jobs[begin]?.priority;
    let end = begin;
    while (end < jobs.length && jobs[end]?.priority === priority) end++;
    planPriority(jobs.slice(begin, end), pool, shares);
    begin = end;
  }
}

function sharesOf(
  jobs: readonly PlannedJob[],
  { cores, wallTimeMs }: PlanCapacity,
  organisations: PlanOrganisations,
): ReadonlyMap<string, WorkAhead> {
  const waiting = new Map<string, number>();
  for (const { organisation, readyCores } of jobs)
    waiting.set(organisation, (waiting.get(organisation) ?? 0) + readyCores);
  const names = [...waiting.keys()];
  const claims = names.map((name) => ({
    weight: organisations.weight(name),
    demand: (waiting.get(name) ?? 0) + organisations.recentCores(name),
  }));
  const shares = divideCores(claims, cores);
  return new Map(
    names.map((name, index) => {
      const share = shares[index] ?? 0;
      const recent = organisations.recentCores(name);
      // Recent use beyond the share is repaid, as if that work were still ahead.
      const excess = Math.max(0, recent - share) * USAGE_WINDOW_MS;
      const free = Math.max(0, share - recent);
      return [name, new WorkAhead(share, free, wallTimeMs, excess)];
    }),
  );
}

function planPriority(
  jobs: readonly PlannedJob[],
  pool: WorkAhead,
  shares: ReadonlyMap<string, WorkAhead>,
): void {
  const onTime = jobs.filter(({ canBeOnTime }) => canBeOnTime);
  for (const job of jobs) {
    job.withinShare = false;
    const favour = job.planClass === "on-time" ? HYSTERESIS : 1;
    job.heapKey = (favour * job.value) / Math.max(1, job.work);
  }
  for (const share of shares.values()) share.admitted.clear();
  pool.admitted.clear();
  for (const job of onTime) {
    const share = shares.get(job.organisation);
    if (share !== undefined) admit(job, share, false, setWithinShare);
  }
  for (const job of onTime) {
    if (!job.withinShare) continue;
    pool.setExpectedEnd(job);
    pool.add(job);
    job.planClass = "on-time";
  }
  for (const job of onTime) {
    if (job.withinShare) continue;
    // A job whose tasks run keeps its place, because what they have done would be wasted.
    const kept = job.started && job.planClass === "on-time";
    admit(job, pool, kept, setOnTime);
  }
  planLate(jobs, pool, shares);
}

/**
 * Admits a job, in the order of deadlines, if it is on time after the work ahead. Otherwise admitted
 * jobs of less value for their work give way, as long as their values add up to less than its own.
 * A job that is `kept` is admitted in any case.
 */
function admit(
  job: PlannedJob,
  ahead: WorkAhead,
  kept: boolean,
  setAdmitted: (job: PlannedJob, admitted: boolean, ahead: WorkAhead) => void,
): void {
  const removed: PlannedJob[] = [];
  let removedValue = 0;
  while (!ahead.fits(job, START_MARGIN)) {
    const cheapest = ahead.admitted.pop();
    if (cheapest === undefined) break;
    removed.push(cheapest);
    removedValue += cheapest.value;
    ahead.remove(cheapest);
    if (cheapest.heapKey >= job.heapKey || removedValue >= job.value) break;
  }
  const worthwhile =
    removed.length === 0 ||
    (removedValue < job.value && removed.every((r) => r.heapKey < job.heapKey));
  const fits = worthwhile && ahead.fits(job, START_MARGIN);
  for (const other of removed) {
    if (fits) {
      setAdmitted(other, false, ahead);
      continue;
    }
    ahead.add(other);
    ahead.admitted.push(other);
  }
  const admitted = fits || kept;
  setAdmitted(job, admitted, ahead);
  if (!admitted) return;
  ahead.add(job);
  if (!kept) ahead.admitted.push(job);
}

function setWithinShare(job: PlannedJob, admitted: boolean): void {
  job.withinShare = admitted;
}

function setOnTime(job: PlannedJob, admitted: boolean, pool: WorkAhead): void {
  job.planClass = admitted ? "on-time" : "late";
  if (admitted) pool.setExpectedEnd(job);
}

function planLate(
  jobs: readonly PlannedJob[],
  pool: WorkAhead,
  shares: ReadonlyMap<string, WorkAhead>,
): void {
  const { now } = pool;
  const late = jobs.filter((job) => !isOnTime(job));
  for (const job of late) {
    const waitedMs = Math.max(0, now - job.releasedAtMs);
    job.heapKey = -(job.value / Math.max(1, job.work)) * (1 + waitedMs / AGING_MS);
  }
  late.sort((a, b) => a.heapKey - b.heapKey);
  // Turns by share: the time at which the organisation's share would get to the job.
  for (const job of late) {
    const share = shares.get(job.organisation);
    if (share === undefined) continue;
    job.heapKey = share.cores > 0 ? share.work / share.cores : Infinity;
    job.withinShare = job.heapKey <= LATE_WITHIN_SHARE_MS;
    share.add(job);
  }
  late.sort((a, b) => a.heapKey - b.heapKey || a.releasedAtMs - b.releasedAtMs);
  let position = 0;
  const hopeless: PlannedJob[] = [];
  for (const job of late) {
    pool.setExpectedEnd(job);
    job.planClass = job.expectedEndMs <= job.giveUpAtMs ? "late" : "hopeless";
    job.position = position++;
    if (job.planClass === "hopeless") hopeless.push(job);
    else pool.add(job);
  }
  hopeless.sort((a, b) => a.releasedAtMs - b.releasedAtMs);
  for (const job of hopeless) {
    pool.setExpectedEnd(job);
    job.position = position++;
    pool.add(job);
  }
}

function isOnTime(job: PlannedJob): boolean {
  return job.canBeOnTime && job.planClass === "on-time";
}
