/** Whether a run is slow, and whether that is its backend server's fault. */
import type { DurationModels, DurationModel } from "./duration-model.ts";
import type { StepRun } from "./job.ts";
import type { ActiveRun, RunRegistry } from "./run-registry.ts";

/** A run may be looked at when it has taken this multiple of its expected duration. */
const OVERDUE_RATIO = 1.4;
/** Durations below this time in ms are too short to judge by. */
const MIN_EXPECTED_MS = 200;
/** A restart has to save this part of the expected duration, since it throws work away. */
const MIN_GAIN = 0.5;
/** Duration over that of its siblings from which a run counts as slow; siblings differ a little. */
const SLOW_RATIO = 2.2;
/** The same beyond any difference between siblings. */
const STUCK_RATIO = 5;
/** Standard deviations of a queue's durations beyond which a run counts as slow, and as stuck. */
const SLOW_DEVIATIONS = 2;
const STUCK_DEVIATIONS = 3;
/** A server is compared by what most runs of a queue do not exceed, in standard deviations. */
const USUAL_DEVIATIONS = 1;
/** Average from which a run that is slow on a server is the server's fault. */
const SUSPICIOUS_RATIO = 1.6;
/** Siblings that have to be known before a run is compared with them. */
const MIN_SIBLINGS = 2;
/** Progress in percent from which the duration of a sibling that still runs is projected. */
const MIN_SIBLING_PERCENT = 10;

/** What a run's duration is compared with. */
export interface ExpectedDuration {
  /** Expected duration in milliseconds. */
  readonly ms: number;
  /** Duration over the expected one from which the run counts as slow. */
  readonly slowRatio: number;
  /** The same beyond any doubt. */
  readonly stuckRatio: number;
}

/** Duration in ms that a run's progress points to; undefined before there is any measurement. */
export function projectedMs({ firstProgress, lastProgress }: ActiveRun): number | undefined {
  if (firstProgress === undefined || lastProgress === undefined) return undefined;
  const elapsedMs = lastProgress.clockMs - firstProgress.clockMs;
  if (elapsedMs <= 0) return undefined;
  // Without any progress the run hangs, or its work has not begun.
  const percent = Math.max(lastProgress.percent - firstProgress.percent, 1);
  return (elapsedMs * 100) / percent;
}

/**
 * What a run is compared with: its siblings on other backend servers, or else the usual durations of
 * its queue. Answers declarations that are off by any factor, while a server that becomes slow still
 * stands out against the others.
 */
export function expectedDuration(
  run: ActiveRun,
  book: RunRegistry,
  durations: DurationModels,
): ExpectedDuration {
  const siblings = siblingMedianMs(run, book);
  if (siblings !== undefined)
    return { ms: siblings, slowRatio: SLOW_RATIO, stuckRatio: STUCK_RATIO };
  const { spec, job } = run.task.step;
  const model = durations.forQueue(job.spec.queue);
  return {
    ms: model.expectedMs(spec.estimateMs),
    slowRatio: Math.max(SLOW_RATIO, Math.exp(SLOW_DEVIATIONS * model.spread)),
    stuckRatio: Math.max(STUCK_RATIO, Math.exp(STUCK_DEVIATIONS * model.spread)),
  };
}

/** Duration over what can be expected of a sound server, for a run that has ended as done. */
export function completedDurationRatio(
  run: ActiveRun,
  tookMs: number,
  book: RunRegistry,
  durations: DurationModels,
) {
  const siblings = siblingMedianMs(run, book);
  if (siblings !== undefined) return tookMs / siblings;
  const { spec, job } = run.task.step;
  return tookMs / usualMs(durations.forQueue(job.spec.queue), spec.estimateMs);
}

function usualMs(model: DurationModel, estimateMs: number): number {
  return model.expectedMs(estimateMs) * Math.exp(USUAL_DEVIATIONS * model.spread);
}

/** Median duration of a run's siblings on other servers that are as near to their data. */
function siblingMedianMs(run: ActiveRun, book: RunRegistry): number | undefined {
  const { step } = run.task;
  const known = step.durations
    .filter(({ server, nearData }) => server !== run.server && nearData === run.nearData)
    .map(({ tookMs }) => tookMs);
  for (const task of step.tasks) {
    const sibling = book.forTask(task.name);
    if (sibling?.phase !== "running" || sibling.server === run.server) continue;
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

/** Time in ms until {@link isOverdue}; undefined for runs that never are. */
export function timeUntilOverdue(
  run: ActiveRun,
  now: number,
  durations: DurationModels,
): number | undefined {
  const { longRunning, filler } = run.task.step.spec;
  const ms = expectedStepMs(run.task.step, durations);
  if (longRunning || filler || ms < MIN_EXPECTED_MS) return undefined;
  return run.since + ms * OVERDUE_RATIO - now;
}

/** True if the run has taken so long that its progress should be looked at. */
export function isOverdue(run: ActiveRun, now: number, durations: DurationModels): boolean {
  if (run.phase !== "running") return false;
  const left = timeUntilOverdue(run, now, durations);
  return left !== undefined && left < 0;
}

/** Expected duration of a step's tasks in milliseconds; 0 if nothing was declared. */
function expectedStepMs(
  { spec, job, durations: ended }: StepRun,
  durations: DurationModels,
): number {
  if (spec.estimateMs <= 0) return 0;
  const expected = durations.forQueue(job.spec.queue).expectedMs(spec.estimateMs);
  const [first] = ended;
  // Once a sibling has ended, the others are looked at not much later.
  return first === undefined ? expected : Math.min(expected, first.tookMs * SUSPICIOUS_RATIO);
}

/**
 * True if a run would end sooner if it were started anew on another backend server. `resumable`
 * is the share of its work that a checkpoint keeps.
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
 * True if slowness is the server's and not the task's: runs of several jobs crawl there, what ended
 * there took long, or the run hardly moves. Single tasks may take far longer than their siblings.
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

/** Number of jobs of which a run crawls among the given ones. */
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
