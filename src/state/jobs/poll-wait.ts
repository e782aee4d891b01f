import { isAvailable } from "./availability.ts";
import type { DurationModels } from "./duration-model.ts";
import type { ActiveRun } from "./run-registry.ts";
import { timeUntilOverdue } from "./run-speed.ts";

/** Longest wait for an end in ms; each look at a backend server costs a call. */
export const POLL_WAIT_MS = 2000;
/** The same while a long-running task starts up or a run is overdue. */
const PROGRESS_POLL_WAIT_MS = 400;
/** The same while fillers may disturb serving tasks. */
const PACING_POLL_WAIT_MS = 700;

/**
 * Longest wait in ms of the next look at a backend server with the given runs. Only ends are
 * announced while a look waits, so other changes that matter have to be looked for.
 */
export function pollWaitMs(
  runs: readonly ActiveRun[],
  now: number,
  durations: DurationModels,
): number {
  const paced = runs.some((run) => run.task.step.spec.filler);
  let wait = paced ? PACING_POLL_WAIT_MS : POLL_WAIT_MS;
  for (const run of runs) {
    const { longRunning, filler } = run.task.step.spec;
    if (longRunning && !filler && !isAvailable(run, now))
      wait = Math.min(wait, PROGRESS_POLL_WAIT_MS);
    const overdueIn = timeUntilOverdue(run, now, durations);
    if (overdueIn !== undefined) wait = Math.min(wait, Math.max(PROGRESS_POLL_WAIT_MS, overdueIn));
  }
  return wait;
}
