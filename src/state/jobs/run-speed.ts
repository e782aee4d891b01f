import type { ActiveRun } from "./run-book.ts";

/** Part of a new reading in a server's average. */
const AVERAGE_WEIGHT = 0.3;
/** The same for a server that was slow, so that few good readings clear it. */
const RECOVERY_WEIGHT = 0.6;
/** Time in ms after which a slow server gets a single task as a trial. */
const TRIAL_AFTER_MS = 3000;
/** Duration over estimate from which a backend server counts as slow; estimates are rough. */
const SLOW_RATIO = 2.2;
/** Duration over estimate of what ended on a server that makes a slow run there its fault. */
const SUSPICIOUS_RATIO = 1.6;
/** Projected duration over estimate beyond any error of an estimate. */
const STUCK_RATIO = 5;
/** A run may be looked at when it has taken this multiple of its estimate. */
const OVERDUE_RATIO = 1.4;
/** Estimates below this time in ms are too short to judge by. */
const MIN_ESTIMATE_MS = 200;
/** A restart has to save this part of the estimate, since it throws work away. */
const MIN_GAIN = 0.5;

/**
 * Speed of a backend server, from the durations of what ended there over their estimates. Answers
 * servers that become several times slower while they look healthy.
 */
export class ServerSpeed {
  #ratio = 1;
  /** Monotonic time in ms of the last reading that found it slow. */
  #slowSince: number | undefined;

  /** Average of duration over estimate. */
  get ratio(): number {
    return this.#ratio;
  }

  /** True while tasks should rather go elsewhere. */
  get slow(): boolean {
    return this.#ratio >= SLOW_RATIO;
  }

  /** Takes note of a duration over its estimate. */
  observe(ratio: number, now: number): void {
    const weight = this.slow ? RECOVERY_WEIGHT : AVERAGE_WEIGHT;
    this.#ratio += (ratio - this.#ratio) * weight;
    this.#mark(now);
  }

  /** A run there is found to be far slower than estimated. */
  observeSlowRun(ratio: number, now: number): void {
    this.#ratio = Math.max(this.#ratio, Math.min(ratio, SLOW_RATIO * 2));
    this.#mark(now);
  }

  /** True if a slow server may be given a single task as a trial. */
  trialDue(now: number): boolean {
    return this.#slowSince !== undefined && now - this.#slowSince >= TRIAL_AFTER_MS;
  }

  #mark(now: number): void {
    this.#slowSince = this.slow ? now : undefined;
  }
}

/** Time in ms until {@link overdue}; undefined for runs that never are. */
export function timeUntilOverdue(run: ActiveRun, now: number): number | undefined {
  const { estimateMs, longRunning, filler } = run.task.step.spec;
  if (longRunning || filler || estimateMs < MIN_ESTIMATE_MS) return undefined;
  return run.since + estimateMs * OVERDUE_RATIO - now;
}

/** True if the run has taken so long that its progress should be looked at. */
export function overdue(run: ActiveRun, now: number): boolean {
  const { estimateMs, longRunning, filler } = run.task.step.spec;
  if (longRunning || filler || run.phase !== "running" || estimateMs < MIN_ESTIMATE_MS)
    return false;
  return now - run.since > estimateMs * OVERDUE_RATIO;
}

/** Duration over estimate that a run's progress points to; undefined before there is any. */
export function projectedRatio(run: ActiveRun): number {
  const elapsedMs = run.listedAt - run.since;
  const { estimateMs } = run.task.step.spec;
  if (estimateMs <= 0) return 1;
  // Without any progress the run hangs, or its work has not begun.
  const share = Math.max(run.percent, 1) / 100;
  return elapsedMs / share / estimateMs;
}

/**
 * True if a run would end sooner if it were started anew on another backend server. `resumable`
 * is the share of its work that a checkpoint keeps.
 */
export function worthRestarting(run: ActiveRun, resumable: number): boolean {
  const ratio = projectedRatio(run);
  if (ratio < SLOW_RATIO) return false;
  const elapsed = (run.listedAt - run.since) / run.task.step.spec.estimateMs;
  const remaining = ratio - elapsed;
  return remaining - (1 - resumable) > MIN_GAIN;
}

/**
 * True if slowness is the server's and not the task's: runs of several jobs crawl there, what ended
 * there took long, or the run hardly moves. Estimates of single tasks may be far too low.
 */
export function serverToBlame(
  run: ActiveRun,
  onServer: readonly ActiveRun[],
  speed: ServerSpeed,
): boolean {
  if (speed.ratio >= SUSPICIOUS_RATIO || projectedRatio(run) >= STUCK_RATIO) return true;
  const jobs = new Set<string>();
  for (const other of onServer) {
    const { estimateMs, longRunning } = other.task.step.spec;
    if (longRunning || other.phase !== "running" || estimateMs < MIN_ESTIMATE_MS) continue;
    if (projectedRatio(other) >= SLOW_RATIO) jobs.add(other.task.job.spec.id);
  }
  return jobs.size > 1;
}
