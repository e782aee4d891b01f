/** Detects slow runs and whether their backend server is the cause. */
import type { DurationModel, DurationModels } from "../scheduling/duration-model.ts";
import type { DurationTail } from "../scheduling/duration-tail.ts";
import type { StepRun } from "../records/job.ts";
import type { ActiveRun, RunRegistry } from "./run-registry.ts";

/** A run is overdue, and its progress is checked, after this multiple of its expected duration. */
const OVERDUE_RATIO = 1.4;
/** Expected durations below this time in ms are too short for a run to count as overdue. */
const MIN_EXPECTED_MS = 200;
/** Part of the expected duration that a restart has to save, since it discards work. */
const MIN_GAIN = 0.5;
/** Ratio to the siblings' duration from which a run counts as slow; siblings differ a little. */
const SLOW_RATIO = 2.2;
/** Ratio to the siblings' duration that differences between siblings never explain. */
const STUCK_RATIO = 5;
/** Standard deviations of a queue's log durations from which a run counts as slow, and as stuck. */
const SLOW_DEVIATIONS = 2;
const STUCK_DEVIATIONS = 3;
/** Standard deviations within which most runs of a queue stay; a server is compared with this. */
const USUAL_DEVIATIONS = 1;
/** Average duration ratio of a server from which it is the cause of a slow run. */
export const SUSPICIOUS_RATIO = 1.6;
/** Number of siblings with a known duration that a comparison needs. */
const MIN_SIBLINGS = 2;
/** Progress in percent from which the duration of a running sibling is projected. */
const MIN_SIBLING_PERCENT = 10;

/** The duration that a run is compared with. */
export interface ExpectedDuration {
  /** Expected duration in milliseconds. */
  readonly ms: number;
  /** Duration in milliseconds that most runs do not exceed; the speed of a server is relative to it. */
  readonly usualMaxMs: number;
  /** Ratio to the expected duration from which the run counts as slow. */
  readonly slowRatio: number;
  /** Ratio to the expected duration from which the run counts as stuck. */
  readonly stuckRatio: number;
  /** Ratios to such an expectation that runs of the queue ended with. */
  readonly tail: DurationTail;
}

/** Duration in ms projected from a run's progress; undefined before progress was measured. */
export function projectedMs({ firstProgress, lastProgress }: ActiveRun): number | undefined {
  if (firstProgress === undefined || lastProgress === undefined) return undefined;
  const elapsedMs = lastProgress.clockMs - firstProgress.clockMs;
  if (elapsedMs <= 0) return undefined;
  // Counts at least 1 %: a run without progress hangs or has not begun its work.
  const percent = Math.max(lastProgress.percent - firstProgress.percent, 1);
  return (elapsedMs * 100) / percent;
}

/**
 * Returns the expected duration of a run, from its siblings on other backend servers or else from the
 * usual durations of its queue. A server that becomes slow is still detected when declared durations
 * are wrong by any factor.
 */
export function expectedDuration(
  run: ActiveRun,
  registry: RunRegistry,
  durations: DurationModels,
): ExpectedDuration {
  const siblings = siblingMedianMs(run, registry);
  const { spec, job } = run.task.step;
  const model = durations.forQueue(job.spec.queue);
  if (siblings !== undefined)
    return {
      ...{ ms: siblings * run.slowdown, usualMaxMs: siblings },
      ...{ slowRatio: SLOW_RATIO, stuckRatio: STUCK_RATIO },
      tail: model.siblingTail,
    };
  return {
    tail: model.tail,
    ms: model.expectedMs(spec.estimateMs) * run.slowdown,
    usualMaxMs: usualMaxMs(model, spec.estimateMs),
    slowRatio: Math.max(SLOW_RATIO, Math.exp(SLOW_DEVIATIONS * model.spread)),
    stuckRatio: Math.max(STUCK_RATIO, Math.exp(STUCK_DEVIATIONS * model.spread)),
  };
}

/** Duration in ms that most runs of a queue with this declared duration do not exceed. */
function usualMaxMs(model: DurationModel, estimateMs: number): number {
  return model.expectedMs(estimateMs) * Math.exp(USUAL_DEVIATIONS * model.spread);
}

/**
 * Median duration in ms of a run's siblings on other servers that have the same data locality;
 * undefined if too few are known.
 */
function siblingMedianMs(run: ActiveRun, registry: RunRegistry): number | undefined {
  const { step } = run.task;
  const known = step.durations
    .filter(({ server, nearData }) => server !== run.server && nearData === run.nearData)
    .map(({ tookMs }) => tookMs);
  for (const task of step.tasks) {
    const sibling = registry.forTask(task.name);
    if (sibling?.phase !== "running" || sibling.server === run.server) continue;
    // Its duration says how cold its server is.
    if (sibling.slowdown > 1) continue;
    if (sibling.nearData !== run.nearData || sibling.percent < MIN_SIBLING_PERCENT) continue;
    const projected = projectedMs(sibling);
    if (projected !== undefined) known.push(projected);
  }
  return known.length < MIN_SIBLINGS ? undefined : median(known);
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

/** Time in ms until {@link isOverdue}; undefined for runs that never become overdue. */
export function timeUntilOverdue(
  run: ActiveRun,
  now: number,
  durations: DurationModels,
): number | undefined {
  const { longRunning, filler } = run.task.step.spec;
  const ms = expectedStepMs(run.task.step, durations);
  if (longRunning || filler || ms < MIN_EXPECTED_MS) return undefined;
  return run.since + ms * run.slowdown * OVERDUE_RATIO - now;
}

/** True if the run has taken so long that its progress should be checked. */
export function isOverdue(run: ActiveRun, now: number, durations: DurationModels): boolean {
  if (run.phase !== "running") return false;
  const left = timeUntilOverdue(run, now, durations);
  return left !== undefined && left < 0;
}

/** Expected duration of a step's tasks in milliseconds; 0 if no duration was declared. */
function expectedStepMs(
  { spec, job, durations: ended }: StepRun,
  durations: DurationModels,
): number {
  if (spec.estimateMs <= 0) return 0;
  const expected = durations.forQueue(job.spec.queue).expectedMs(spec.estimateMs);
  const first = ended[0];
  // Once a sibling has ended, the other runs are checked soon afterwards.
  return first === undefined ? expected : Math.min(expected, first.tookMs * SUSPICIOUS_RATIO);
}

/**
 * True if a run would end sooner after a restart on another backend server. `resumable` is the share
 * of its work that a checkpoint keeps.
 */
export function shouldRestart(
  run: ActiveRun,
  expected: ExpectedDuration,
  resumable: number,
): boolean {
  const projected = projectedMs(run);
  if (projected === undefined || projected < expected.ms * expected.slowRatio) return false;
  const remainingMs = projected * (1 - run.percent / 100);
  return remainingMs - expected.ms * (1 - resumable) > expected.ms * MIN_GAIN;
}

/**
 * True if the server rather than the task causes the slowness: runs of several jobs are slow there,
 * completed runs took long there, or the run makes hardly any progress. A slow run alone is no proof,
 * since single tasks may take far longer than their siblings.
 */
export function isServerAtFault(
  run: ActiveRun,
  expected: ExpectedDuration,
  averageRatio: number,
  slowJobs: number,
): boolean {
  if (averageRatio >= SUSPICIOUS_RATIO || slowJobs > 1) return true;
  return (projectedMs(run) ?? 0) >= expected.ms * expected.stuckRatio;
}

/** Number of jobs that have a slow run among the given runs. */
export function countSlowJobs(
  runs: readonly ActiveRun[],
  expected: (run: ActiveRun) => ExpectedDuration,
): number {
  const jobs = new Set<string>();
  for (const run of runs) {
    const { longRunning, filler, estimateMs } = run.task.step.spec;
    if (longRunning || filler || estimateMs <= 0 || run.phase !== "running") continue;
    const projected = projectedMs(run);
    if (projected === undefined) continue;
    const { ms, slowRatio } = expected(run);
    if (projected >= ms * slowRatio) jobs.add(run.task.job.spec.id);
  }
  return jobs.size;
}
