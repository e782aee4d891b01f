import type { StepSpec } from "../../protocol/job-spec.ts";
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
  const remainingMs = remainingChainMs(occurrence, step.position);
  const latestStartMs = dueAt - remainingMs;
  return {
    longRunning: step.spec.longRunning,
    priority,
    reachable: latestStartMs + remainingMs * ESTIMATE_TOLERANCE >= wallTimeMs,
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

/** Times of a job's chains in milliseconds; they depend on its declared steps only. */
interface ChainTimes {
  readonly longest: number;
  /** Longest chain that begins with each step. */
  readonly remaining: readonly number[];
}

const chainTimes = new WeakMap<readonly StepSpec[], ChainTimes>();

/** Times of the chains of an occurrence. Ranking asks for them in every round. */
function timesOf({ steps }: Occurrence): ChainTimes {
  const [first] = steps;
  if (first === undefined) return { longest: 0, remaining: [] };
  const declared = first.job.spec.steps;
  const known = chainTimes.get(declared);
  if (known !== undefined) return known;
  const remaining = remainingChains(declared);
  const times = { longest: longestChain(declared), remaining };
  chainTimes.set(declared, times);
  return times;
}

/** Estimated time of the longest chain of steps, in milliseconds. */
export function chainMs(occurrence: Occurrence): number {
  return timesOf(occurrence).longest;
}

/** Estimated time of the longest chain that begins with a step, in milliseconds. */
export function remainingChainMs(occurrence: Occurrence, position: number): number {
  return timesOf(occurrence).remaining[position] ?? 0;
}

function longestChain(steps: readonly StepSpec[]): number {
  const ends: number[] = [];
  for (const { after, estimateMs } of steps) {
    const begin = Math.max(0, ...after.map((position) => ends[position] ?? 0));
    ends.push(begin + estimateMs);
  }
  return Math.max(0, ...ends);
}

function remainingChains(steps: readonly StepSpec[]): readonly number[] {
  const remaining = new Array<number>(steps.length).fill(0);
  for (const [index, { estimateMs }] of [...steps.entries()].reverse()) {
    let next = 0;
    for (const [position, { after }] of steps.entries())
      if (after.includes(index)) next = Math.max(next, remaining[position] ?? 0);
    remaining[index] = estimateMs + next;
  }
  return remaining;
}
