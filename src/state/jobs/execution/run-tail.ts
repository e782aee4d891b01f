/** Distinguishes runs that belong to the tail of their queue's durations from slow servers. */
import type { ActiveRun } from "./run-registry.ts";
import { projectedMs, type ExpectedDuration } from "./run-speed.ts";

/**
 * Probability below which slow runs on one server do not count as chance. Three of three runs on a
 * server reach it where three of a hundred tasks take seven times as long.
 */
const MAX_CHANCE = 0.02;
/** Percent of progress whose usual time in the tail a run may take without any further progress. */
const MAX_STALLED_PERCENT = 3;

/** Counts of the runs on one server that have measured progress. */
export interface ServerRuns {
  readonly measured: number;
  readonly slow: number;
}

/** Counts the runs on a server, and those that are slow by their own expectation. */
export function countServerRuns(
  runs: readonly ActiveRun[],
  expected: (run: ActiveRun) => ExpectedDuration,
): ServerRuns {
  let measured = 0;
  let slow = 0;
  for (const run of runs) {
    const { longRunning, filler, estimateMs } = run.task.step.spec;
    if (longRunning || filler || estimateMs <= 0 || run.phase !== "running") continue;
    const projected = projectedMs(run);
    if (projected === undefined) continue;
    const { ms, slowRatio } = expected(run);
    measured++;
    if (projected >= ms * slowRatio) slow++;
  }
  return { measured, slow };
}

/** True if a run may take this multiple of its expected duration because of its task alone. */
export function isWithinTail(ratio: number, { tail }: ExpectedDuration): boolean {
  return ratio <= tail.limit;
}

/**
 * True if a run still progresses as fast as the slowest tasks of its queue do. A run that hangs halfway
 * would otherwise be found only when its projected duration leaves the tail.
 */
export function isAdvancing({ lastProgress, advancedAt }: ActiveRun, expected: ExpectedDuration) {
  if (lastProgress === undefined || advancedAt === undefined) return false;
  const maxStalledMs = (expected.ms * expected.tail.limit * MAX_STALLED_PERCENT) / 100;
  return lastProgress.clockMs - advancedAt <= maxStalledMs;
}

/**
 * True if so many slow runs at once are plausible on a server of usual speed. On a slow server nearly
 * all runs are slow, while the tail of a queue affects each run independently of the others.
 */
export function isPlausibleByChance(
  { measured, slow }: ServerRuns,
  { tail, slowRatio }: ExpectedDuration,
): boolean {
  const share = tail.shareOfRunningFrom(slowRatio);
  return slow <= 1 || probabilityOfAtLeast(slow, measured, share) >= MAX_CHANCE;
}

/** Probability of at least `least` among `count` independent events of the given probability. */
function probabilityOfAtLeast(least: number, count: number, probability: number): number {
  if (probability <= 0) return least <= 0 ? 1 : 0;
  if (probability >= 1) return 1;
  let term = (1 - probability) ** count;
  let below = 0;
  for (let events = 0; events < least; events++) {
    below += term;
    term *= ((count - events) / (events + 1)) * (probability / (1 - probability));
  }
  return Math.max(0, 1 - below);
}
