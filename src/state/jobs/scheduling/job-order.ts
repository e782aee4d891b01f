import type { JobSpec, StepSpec } from "../../../protocol/job-spec.ts";
import type { DurationModel, DurationModels } from "./duration-model.ts";
import type { Occurrence, StepRun } from "../records/job.ts";

/** Settings of a queue that determine the order of its steps. */
export interface QueueUrgency {
  /** 0 comes first. */
  readonly priority: number;
  /** A job is on time within this multiple of its longest chain, plus `targetLatencyMs`. */
  readonly stretch: number;
  readonly targetLatencyMs: number;
}

/** Urgency of jobs whose queue was removed before this process knew it. */
export const UNKNOWN_QUEUE_URGENCY: QueueUrgency = { priority: 1, stretch: 1, targetLatencyMs: 0 };

/** Tolerance, as a part of the remaining chain, for estimates that are often too high. */
const ESTIMATE_TOLERANCE = 0.25;

/** Rank of a step that has waiting tasks; lower ranks are placed first. */
export interface StepRank {
  readonly longRunning: boolean;
  readonly priority: number;
  /** False if the job can no longer meet its objective. */
  readonly canBeOnTime: boolean;
  /** Latest Unix time in ms at which the step can begin for the job to be on time. */
  readonly latestStartMs: number;
  /** Expected time in ms of the longest chain that begins with the step. */
  readonly remainingMs: number;
}

/**
 * Ranks a step. When the demand peak of a queue exceeds the capacity of its pool, jobs that can still
 * be on time are not delayed by jobs that can't. Among jobs that can, the one with the least time
 * left comes first. Long-running tasks come before all others, since every second that they do not
 * run is lost.
 */
export function rankStep(
  step: StepRun,
  occurrence: Occurrence,
  urgency: QueueUrgency,
  wallTimeMs: number,
  durations: DurationModels,
): StepRank {
  const { stretch, targetLatencyMs, priority } = urgency;
  const dueAt =
    occurrence.releasedAtMs + stretch * chainMs(occurrence, durations) + targetLatencyMs;
  const remainingMs = remainingChainMs(occurrence, step.position, durations);
  const latestStartMs = dueAt - remainingMs;
  return {
    longRunning: step.spec.longRunning,
    priority,
    canBeOnTime: latestStartMs + remainingMs * ESTIMATE_TOLERANCE >= wallTimeMs,
    latestStartMs,
    remainingMs,
  };
}

/** Negative if `a` is placed first. */
export function compareStepRanks(a: StepRank, b: StepRank): number {
  return (
    Number(b.longRunning) - Number(a.longRunning) ||
    a.priority - b.priority ||
    Number(b.canBeOnTime) - Number(a.canBeOnTime) ||
    a.latestStartMs - b.latestStartMs
  );
}

/** Expected times in ms of a job's chains of steps, cached for one epoch of the queue's model. */
interface ChainTimes {
  readonly model: DurationModel;
  readonly epoch: number;
  readonly longest: number;
  /** Longest chain that begins with each step, by position of the step. */
  readonly remaining: readonly number[];
}

const chainTimesCache = new WeakMap<JobSpec, ChainTimes>();

/** Chain times of an occurrence, cached because ranking reads them in every round. */
function chainTimesOf({ steps }: Occurrence, durations: DurationModels): ChainTimes | undefined {
  const [first] = steps;
  if (first === undefined) return undefined;
  const { spec } = first.job;
  const model = durations.forQueue(spec.queue);
  const known = chainTimesCache.get(spec);
  if (known?.model === model && known.epoch === model.epoch) return known;
  const expected = spec.steps.map(({ estimateMs }) =>
    estimateMs > 0 ? model.expectedMs(estimateMs) : 0,
  );
  const remaining = remainingChains(spec.steps, expected);
  // The maximum over all steps is the longest chain of the job, since a chain that begins with a step
  // that follows others is only a part of a longer one.
  const times = { model, epoch: model.epoch, longest: Math.max(0, ...remaining), remaining };
  chainTimesCache.set(spec, times);
  return times;
}

/** Expected time of the longest chain of steps, in milliseconds. */
export function chainMs(occurrence: Occurrence, durations: DurationModels): number {
  return chainTimesOf(occurrence, durations)?.longest ?? 0;
}

/** Expected time of the longest chain that begins with a step, in milliseconds. */
export function remainingChainMs(
  occurrence: Occurrence,
  position: number,
  durations: DurationModels,
): number {
  return chainTimesOf(occurrence, durations)?.remaining[position] ?? 0;
}

function remainingChains(
  steps: readonly StepSpec[],
  expectedMs: readonly number[],
): readonly number[] {
  const remaining = new Array<number>(steps.length).fill(0);
  for (const index of [...steps.keys()].reverse()) {
    let next = 0;
    for (const [position, { after }] of steps.entries())
      if (after.includes(index)) next = Math.max(next, remaining[position] ?? 0);
    remaining[index] = (expectedMs[index] ?? 0) + next;
  }
  return remaining;
}
