import type { Resources } from "../../../protocol/job-spec.ts";
import type { ActiveRun, RunRegistry } from "../execution/run-registry.ts";
import type { DurationModels } from "./duration-model.ts";
import { accumulate, emptySum, resourcesOccupied } from "./resources.ts";

/** Time in ms within which a short task is expected to end if its capacity counts as free soon. */
export const ENDING_SOON_MS = 3000;

/**
 * What the short tasks on a backend server occupy that are expected to end soon. A task that has run past
 * its expected end does not count, since its end can't be predicted. `now`: monotonic time in ms.
 */
export function capacityEndingSoon(
  server: string,
  runRegistry: RunRegistry,
  durations: DurationModels,
  now: number,
): Resources {
  const sum = emptySum();
  for (const run of runRegistry.runsOn(server))
    if (endsSoon(run, durations, now)) accumulate(sum, resourcesOccupied(run.task.step.spec));
  return sum;
}

function endsSoon(
  { task, since, slowdown }: ActiveRun,
  durations: DurationModels,
  now: number,
): boolean {
  const { spec, job } = task.step;
  if (spec.longRunning || spec.estimateMs <= 0) return false;
  const expectedMs = durations.forQueue(job.spec.queue).expectedMs(spec.estimateMs) * slowdown;
  const leftMs = expectedMs - (now - since);
  return leftMs > 0 && leftMs <= ENDING_SOON_MS;
}
