/** Limits the speed of filler tasks, which use spare capacity, next to tasks that serve requests. */
import type { ActiveRun } from "./run-registry.ts";

const FULL_PERCENT = 100;
/** Ratio to the latency target above which fillers slow down, before the target is missed. */
const SLOWDOWN_RATIO = 0.85;
/** Ratio to the latency target below which fillers may speed up. */
const SPEEDUP_RATIO = 0.6;
/** A slowdown halves the speed of fillers; below this percentage they stop. */
const MIN_PERCENT = 12;
const INCREASE_PERCENT = 20;
/** Time in ms between increases, so that the effect of one is measured before the next. */
const INCREASE_INTERVAL_MS = 1500;

/** Speed of the fillers on one backend server. */
export interface FillerPace {
  readonly percent: number;
  /** Monotonic time in ms of the last change. */
  readonly changedAt: number;
}

/** Initial speed of fillers. */
export const FULL_PACE: FillerPace = { percent: FULL_PERCENT, changedAt: -Infinity };

/** Largest ratio of tail latency to its target among serving runs; 0 if none is measured. */
export function worstLatencyRatio(runs: readonly ActiveRun[]): number {
  let worst = 0;
  for (const { task, load, percent, phase } of runs) {
    const { targetLatencyMs, filler } = task.step.spec;
    if (filler || targetLatencyMs <= 0 || phase !== "running" || percent < FULL_PERCENT) continue;
    worst = Math.max(worst, load / targetLatencyMs);
  }
  return worst;
}

/**
 * Chooses the next speed of the fillers on a backend server. How much fillers slow down serving tasks
 * differs by image and changes within seconds. The speed is halved while a serving task is close to
 * its latency target, set to 0 once the task exceeds the target, and raised again in steps.
 */
export function nextPace(pace: FillerPace, ratio: number, now: number): FillerPace {
  if (ratio > 1) return pace.percent === 0 ? pace : { percent: 0, changedAt: now };
  if (ratio > SLOWDOWN_RATIO) {
    const halved = pace.percent / 2 < MIN_PERCENT ? 0 : Math.floor(pace.percent / 2);
    return halved === pace.percent ? pace : { percent: halved, changedAt: now };
  }
  const mayIncrease = ratio < SPEEDUP_RATIO && pace.percent < FULL_PERCENT;
  if (!mayIncrease || now - pace.changedAt < INCREASE_INTERVAL_MS) return pace;
  return { percent: Math.min(FULL_PERCENT, pace.percent + INCREASE_PERCENT), changedAt: now };
}
