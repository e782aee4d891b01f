import type { Occurrence, StepRun } from "./job.ts";

/** What the order of steps depends on. */
export interface QueueUrgency {
  /** 0 comes first. */
  readonly priority: number;
  readonly stretch: number;
  readonly targetLatencyMs: number;
}

/** Rank of a step that has waiting tasks; lower ranks are placed first. */
export interface StepRank {
  readonly longRunning: boolean;
  readonly priority: number;
  /** False if the job can't reach its objective any more. */
  readonly reachable: boolean;
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
): StepRank {
  const { stretch, targetLatencyMs, priority } = urgency;
  const dueAt = occurrence.releasedAtMs + stretch * chainMs(occurrence) + targetLatencyMs;
  const latestStartMs = dueAt - remainingChainMs(occurrence, step.position);
  return {
    longRunning: step.spec.longRunning,
    priority,
    reachable: latestStartMs >= wallTimeMs,
    latestStartMs,
  };
}

/** Negative if `a` is placed first. */
export function compareRanks(a: StepRank, b: StepRank): number {
  return (
    Number(b.longRunning) - Number(a.longRunning) ||
    a.priority - b.priority ||
    Number(b.reachable) - Number(a.reachable) ||
    a.latestStartMs - b.latestStartMs
  );
}

/** Estimated time of the longest chain of steps, in milliseconds. */
export function chainMs({ steps }: Occurrence): number {
  const ends: number[] = [];
  for (const { spec } of steps) {
    const begin = Math.max(0, ...spec.after.map((position) => ends[position] ?? 0));
    ends.push(begin + spec.estimateMs);
  }
  return Math.max(0, ...ends);
}

/** Estimated time of the longest chain that begins with a step, in milliseconds. */
export function remainingChainMs(occurrence: Occurrence, position: number): number {
  const { steps } = occurrence;
  const remaining = new Array<number>(steps.length).fill(0);
  for (let index = steps.length - 1; index >= position; index--) {
    const step = steps[index];
    if (step === undefined) continue;
    let after = 0;
    for (let next = index + 1; next < steps.length; next++) {
      if (steps[next]?.spec.after.includes(index) === true)
        after = Math.max(after, remaining[next] ?? 0);
    }
    remaining[index] = step.spec.estimateMs + after;
  }
  return remaining[position] ?? 0;
}
