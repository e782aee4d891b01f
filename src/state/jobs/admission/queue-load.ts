/**
 * Estimates when a job that arrives now would end. The estimate is a lower bound: tasks fill the pool
 * without gaps, the pool has its full size, durations are the least that observations support, and
 * work of higher priority that arrives later is not counted. It is a lower bound only for the work as
 * it is known now: work that is cancelled or rejected elsewhere later can make a job end earlier. A
 * queue somewhat above its capacity still takes every job.
 */
import type { JobQueueConfig } from "../../../protocol/fleet-config.ts";
import type { Resources } from "../../../protocol/job-spec.ts";
import type { OrganisationLoad, QueueLoad } from "../../../protocol/queue-loads.ts";
import { accumulate, emptySum, subtract, type ResourceSum } from "../scheduling/resources.ts";
import type { DurationModels } from "../scheduling/duration-model.ts";
import { fullSize, totalWork, type FleetWork } from "./full-size.ts";
import type { DeclaredSize, OutstandingWork } from "./outstanding-work.ts";

/** Callers give up after this number of objectives. */
export const GIVE_UP_OBJECTIVES = 3;
/** Organisations with less work than the largest of this number are left out of a report. */
const MAX_ORGANISATIONS = 64;

/** Load of a queue, without the decision whether to reject. */
export type MeasuredLoad = Omit<QueueLoad, "rejecting">;

/** Options of {@link measureQueueLoad}. */
export interface QueueLoadOptions {
  readonly queue: JobQueueConfig;
  readonly fleet: FleetWork;
  readonly durations: DurationModels;
  /** Weight of an organisation. */
  readonly weight: (organisation: string) => number;
  readonly wallTimeMs: number;
}

/** Measures a queue; undefined if it has no job of known size, so that there is no typical job. */
export function measureQueueLoad(options: QueueLoadOptions): MeasuredLoad | undefined {
  const { queue, fleet, durations, weight, wallTimeMs } = options;
  const work = fleet.workByPool.get(queue.pool) ?? [];
  const size = typicalSize(queue.name, work);
  if (size === undefined) return undefined;
  const { chainMs, coreMs } = size;
  const expectedMs = durations.forQueue(queue.name).expectedMs(chainMs);
  const durationFactor = Math.max(1, expectedMs / chainMs);
  const typical = objectives(queue, chainMs * durationFactor);
  const capacity = subtract(fullSize(queue.pool, fleet, typical.limitMs), totalWork(work).held);
  const ahead = sumWork(work, queue, wallTimeMs + typical.latestStartMs);
  const onTimeMs = drainMs(ahead.onTime, capacity);
  const backlogMs = drainMs(ahead.all, capacity);
  const startMs = onTimeMs <= typical.latestStartMs ? onTimeMs : backlogMs;
  return {
    ...{ queue: queue.name, onTimeMs, backlogMs, durationFactor },
    ...{ endMs: startMs + typical.chainMs, limitMs: typical.limitMs, typicalCoreMs: coreMs },
    organisations: organisationLoads(ahead.byOrganisation, capacity, weight),
  };
}

/** Mean size of a queue's jobs; undefined if the size of none is known. */
function typicalSize(queue: string, work: readonly OutstandingWork[]): DeclaredSize | undefined {
  let count = 0;
  let chainMs = 0;
  let coreMs = 0;
  for (const item of work) {
    if (item.queue !== queue || item.declared === undefined) continue;
    count++;
    chainMs += item.declared.chainMs;
    coreMs += item.declared.coreMs;
  }
  return count === 0 ? undefined : { chainMs: chainMs / count, coreMs: coreMs / count };
}

interface WorkSums {
  /** Work that goes before a job that can start until the given time. */
  readonly all: Resources;
  /** Its part that goes first also while that job can be on time. */
  readonly onTime: Resources;
  /** All work of the queue itself. */
  readonly byOrganisation: ReadonlyMap<string, Resources>;
}

/** Sums the work of a pool in one pass, as seen from a job that has to start until `latestStartMs`. */
function sumWork(
  work: readonly OutstandingWork[],
  { name, priority }: JobQueueConfig,
  latestStartMs: number,
): WorkSums {
  const all = emptySum();
  const onTime = emptySum();
  const byOrganisation = new Map<string, ResourceSum>();
  for (const item of work) {
    const higher = item.priority < priority;
    if (higher || (item.priority === priority && item.latestStartMs <= latestStartMs)) {
      accumulate(all, item.work);
      if (higher || item.onTime) accumulate(onTime, item.work);
    }
    if (item.queue !== name || item.organisation === undefined) continue;
    let own = byOrganisation.get(item.organisation);
    if (own === undefined) byOrganisation.set(item.organisation, (own = emptySum()));
    accumulate(own, item.work);
  }
  return { all, onTime, byOrganisation };
}

/** Objectives of a job, in ms after its arrival. */
export interface JobObjectives {
  /** Expected duration of the longest chain. */
  readonly chainMs: number;
  /** Latest start of the first step for the job to be on time. */
  readonly latestStartMs: number;
  /** End by which the caller has not given up yet. */
  readonly limitMs: number;
}

/** Objectives of a job in a queue whose longest chain takes `chainMs`. */
export function objectives(
  { stretch, targetLatencyMs }: Pick<JobQueueConfig, "stretch" | "targetLatencyMs">,
  chainMs: number,
): JobObjectives {
  const objectiveMs = stretch * chainMs + targetLatencyMs;
  const latestStartMs = Math.max(0, objectiveMs - chainMs);
  return { chainMs, latestStartMs, limitMs: GIVE_UP_OBJECTIVES * objectiveMs };
}

/** Time in ms in which a capacity does the given work at the best. Unknown capacities don't limit. */
export function drainMs(work: Resources, capacity: Resources): number {
  const times = (["cpuMillis", "memoryMb", "accelerators"] as const).map((resource) =>
    capacity[resource] > 0 ? work[resource] / capacity[resource] : 0,
  );
  return Math.max(...times);
}

function organisationLoads(
  byName: ReadonlyMap<string, Resources>,
  capacity: Resources,
  weight: (organisation: string) => number,
): OrganisationLoad[] {
  const weights = [...byName.keys()].reduce((total, name) => total + weight(name), 0);
  const backlogs = [...byName].map(([name, work]) => ({ name, ms: drainMs(work, capacity) }));
  const totalMs = backlogs.reduce((total, { ms }) => total + ms, 0);
  return backlogs
    .sort((a, b) => b.ms - a.ms)
    .slice(0, MAX_ORGANISATIONS)
    .map(({ name, ms }) => {
      const share = weights > 0 ? weight(name) / weights : 1;
      return { name, backlogMs: ms, share, beyondShare: ms > share * totalMs };
    });
}
