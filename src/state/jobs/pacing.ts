/** How fast tasks that fill spare capacity may work beside tasks that serve requests. */
import type { ActiveRun } from "./run-registry.ts";

const FULL_PERCENT = 100;
/** Part of the target above which fillers get slower, before the target itself is missed. */
const CAUTION = 0.85;
/** Part of the target below which fillers may get faster. */
const RELIEF = 0.6;
/** Fillers are halved at a time; below this percentage they stop. */
const LEAST_PERCENT = 12;
const RISE_PERCENT = 20;
/** Time in ms between raises, so that the effect of one is seen before the next. */
const RISE_INTERVAL_MS = 1500;

/** Speed of the fillers on one backend server. */
export interface FillerPace {
  readonly percent: number;
  /** Monotonic time in ms of the last change. */
  readonly changedAt: number;
}

/** Speed with which fillers begin. */
export const FULL_PACE: FillerPace = { percent: FULL_PERCENT, changedAt: -Infinity };

/** Largest tail latency over its target among serving runs; 0 if none is measured. */
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
 * Chooses the next speed of the fillers on a backend server. Answers disturbance that differs by
 * image and changes within seconds: speed is halved while a serving task is near its target, at once
 * to nothing while it is over, and comes back in steps.
 */
export function nextPace(pace: FillerPace, ratio: number, now: number): FillerPace {
  if (ratio > 1) return pace.percent === 0 ? pace : { percent: 0, changedAt: now };
  if (ratio > CAUTION) {
    const halved = pace.percent / 2 < LEAST_PERCENT ? 0 : Math.floor(pace.percent / 2);
    return halved === pace.percent ? pace : { percent: halved, changedAt: now };
  }
  const rise = ratio < RELIEF && pace.percent < FULL_PERCENT;
  if (!rise || now - pace.changedAt < RISE_INTERVAL_MS) return pace;
  return { percent: Math.min(FULL_PERCENT, pace.percent + RISE_PERCENT), changedAt: now };
}
