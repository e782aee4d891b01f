import { isAvailable } from "../fleet/availability.ts";
import type { DurationModels } from "../scheduling/duration-model.ts";
import type { ActiveRun } from "./run-registry.ts";
import { timeUntilOverdue } from "./run-speed.ts";

/** Longest time in ms that a poll waits for a run to end; a shorter wait means more calls. */
export const POLL_WAIT_MS = 2000;
/** Longest wait in ms while a run is in doubt or overdue, or a long-running task starts up. */
const PROGRESS_POLL_WAIT_MS = 400;
/** Longest wait in ms while fillers may slow down serving tasks. */
const PACING_POLL_WAIT_MS = 700;

/**
 * Longest wait in ms of the next poll of a backend server with the given runs. A waiting poll returns
 * early only when a run ends, so the wait is shorter while other changes matter.
 */
export function pollWaitMs(
  runs: Iterable<ActiveRun>,
  now: number,
  durations: DurationModels,
): number {
  let wait = POLL_WAIT_MS;
  for (const run of runs) {
    // No run shortens the wait further.
    if (wait <= PROGRESS_POLL_WAIT_MS) break;
    const { longRunning, filler } = run.task.step.spec;
    // A run that the server never started has no end that a poll could wait for.
    if (run.phase === "unconfirmed" || run.phase === "stopping") wait = PROGRESS_POLL_WAIT_MS;
    if (filler) wait = Math.min(wait, PACING_POLL_WAIT_MS);
    if (longRunning && !filler && !isAvailable(run, now))
      wait = Math.min(wait, PROGRESS_POLL_WAIT_MS);
    const overdueIn = timeUntilOverdue(run, now, durations);
    if (overdueIn !== undefined) wait = Math.min(wait, Math.max(PROGRESS_POLL_WAIT_MS, overdueIn));
  }
  return wait;
}
