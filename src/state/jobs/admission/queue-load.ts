/**
 * Estimates when a job that arrives now would end. The estimate is a lower bound: tasks fill the pool
 * without gaps, the pool has its full size, durations are the least that observations support, and
 * work of higher priority that arrives later is not counted. So what is rejected by it is certainly
 * too late, while a queue somewhat above its capacity still takes every job.
 */
import type { JobQueueConfig } from "../../../protocol/fleet-config.ts";
import type { Resources } from "../../../protocol/job-spec.ts";
import type { OrganisationLoad, QueueLoad } from "../../../protocol/queue-loads.ts";
import { add, NO_RESOURCES, subtract } from "../scheduling/resources.ts";
import type { DurationModels } from "../scheduling/duration-model.ts";
import { fullSize, type FleetWork } from "./full-size.ts";
import type { OutstandingWork } from "./outstanding-work.ts";

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
  const own = work.filter((item) => item.queue === queue.name);
  const sizes = own.flatMap(({ declared }) => declared ?? []);
  if (sizes.length === 0) return undefined;
  const chainMs = mean(sizes.map((size) => size.chainMs));
  const expectedMs = durations.forQueue(queue.name).expectedMs(chainMs);
  const durationFactor = Math.max(1, expectedMs / chainMs);
  const typical = objectives(queue, chainMs * durationFactor);
  const size = fullSize(queue.pool, fleet, typical.limitMs);
  const capacity = subtract(size, sum(work.map(({ held }) => held)));
  const latestStartMs = wallTimeMs + typical.latestStartMs;
  const first = work.filter(
    (item) =>
      item.priority < queue.priority ||
      (item.priority === queue.priority && item.latestStartMs <= latestStartMs),
  );
  const onTime = first.filter((item) => item.onTime || item.priority < queue.priority);
  const onTimeMs = drainMs(sum(onTime.map((item) => item.work)), capacity);
  const backlogMs = drainMs(sum(first.map((item) => item.work)), capacity);
  const startMs = onTimeMs <= typical.latestStartMs ? onTimeMs : backlogMs;
  return {
    ...{ queue: queue.name, onTimeMs, backlogMs, durationFactor },
    ...{ endMs: startMs + typical.chainMs, limitMs: typical.limitMs },
    typicalCoreMs: mean(sizes.map(({ coreMs }) => coreMs)),
    organisations: organisationLoads(own, capacity, weight),
  };
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
  own: readonly OutstandingWork[],
  capacity: Resources,
  weight: (organisation: string) => number,
): OrganisationLoad[] {
  const byName = new Map<string, Resources>();
  for (const { organisation, work } of own) {
    if (organisation === undefined) continue;
    byName.set(organisation, add(byName.get(organisation) ?? NO_RESOURCES, work));
  }
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

function sum(amounts: readonly Resources[]): Resources {
  return amounts.reduce(add, NO_RESOURCES);
}

function mean(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0) / values.length;
}
