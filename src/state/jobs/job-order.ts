import type { JobSpec, StepSpec } from "../../protocol/job-spec.ts";
import type { DurationModels, DurationModel } from "./duration-model.ts";
import type { Occurrence, StepRun } from "./job.ts";

/** What the order of steps depends on. */
export interface QueueUrgency {
  /** 0 comes first. */
  readonly priority: number;
  readonly stretch: number;
  readonly targetLatencyMs: number;
}

/** Part of the remaining chain by which estimates are often too high. */
const ESTIMATE_TOLERANCE = 0.25;

/** Rank of a step that has waiting tasks; lower ranks are placed first. */
export interface StepRank {
  readonly longRunning: boolean;
  readonly priority: number;
  /** False if the job can't reach its objective any more. */
  readonly canBeOnTime: boolean;
  /** Unix time in ms by which the step has to begin for the job to be on time. */
  readonly latestStartMs: number;
}

/**
 * Ranks a step. Answers a turn of a queue that asks more than its pool holds: jobs that can still be
 * on time are not held up by jobs that can't, and among the former the one with the least time left
 * comes first. Long-running tasks come before all, since each second that they miss is lost.
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
  };
}

/** Negative if `a` is placed first. */
export function compareRanks(a: StepRank, b: StepRank): number {
  return (
    Number(b.longRunning) - Number(a.longRunning) ||
    a.priority - b.priority ||
    Number(b.canBeOnTime) - Number(a.canBeOnTime) ||
    a.latestStartMs - b.latestStartMs
  );
}

/** Times of a job's chains in milliseconds, by what was known of its queue at one time. */
interface ChainTimes {
  readonly model: DurationModel;
  readonly epoch: number;
  readonly longest: number;
  /** Longest chain that begins with each step. */
  readonly remaining: readonly number[];
}

const chainTimes = new WeakMap<JobSpec, ChainTimes>();

/** Times of the chains of an occurrence. Ranking asks for them in every round. */
function timesOf({ steps }: Occurrence, durations: DurationModels): ChainTimes | undefined {
  const [first] = steps;
  if (first === undefined) return undefined;
  const { spec } = first.job;
  const model = durations.forQueue(spec.queue);
  const known = chainTimes.get(spec);
  if (known?.model === model && known.epoch === model.epoch) return known;
  const expected = spec.steps.map(({ estimateMs }) =>
    estimateMs > 0 ? model.expectedMs(estimateMs) : 0,
  );
  const remaining = remainingChains(spec.steps, expected);
  // A chain that begins with a later step is part of a longer one or has no earlier steps.
  const times = { model, epoch: model.epoch, longest: Math.max(0, ...remaining), remaining };
  chainTimes.set(spec, times);
  return times;
}

/** Expected time of the longest chain of steps, in milliseconds. */
export function chainMs(occurrence: Occurrence, durations: DurationModels): number {
  return timesOf(occurrence, durations)?.longest ?? 0;
}

/** Expected time of the longest chain that begins with a step, in milliseconds. */
export function remainingChainMs(
  occurrence: Occurrence,
  position: number,
  durations: DurationModels,
): number {
  return timesOf(occurrence, durations)?.remaining[position] ?? 0;
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
