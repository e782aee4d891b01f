import type { StepRun, Task } from "../records/job.ts";
import type { ActiveRun, RunRegistry } from "../execution/run-registry.ts";

/** Availability budget of long-running steps without one: planned work ends one task at a time. */
const DEFAULT_BUDGET = 1;
/** Progress in percent at which a long-running task has started up. */
const AVAILABLE_PERCENT = 100;

/**
 * Age in ms of a list after which its server may be lost. Above 2 s, because a poll waits that long for
 * the end of a run.
 */
const MAX_LIST_AGE_MS = 3500;

/** True if a recent list shows the task of a run as available and no order is about to end it. */
export function isAvailable(run: ActiveRun | undefined, now: number): boolean {
  if (run?.phase !== "running" || run.endOrdered) return false;
  if (run.percent < AVAILABLE_PERCENT) return false;
  return now - run.listedAt <= MAX_LIST_AGE_MS;
}

/**
 * True if planned work may end all the given runs at once: no long-running step then has more
 * unavailable tasks than its availability budget, whatever made them unavailable. The known state of
 * a run is slightly outdated. A run that would be ended therefore uses the budget whatever its state,
 * and any other run counts as unavailable unless it is known to be available.
 */
export function mayInterrupt(
  runs: readonly ActiveRun[],
  registry: RunRegistry,
  now: number,
): boolean {
  const ending = new Map<StepRun, Set<Task>>();
  for (const { task } of runs) {
    if (!task.step.spec.longRunning) continue;
    ending.set(task.step, (ending.get(task.step) ?? new Set()).add(task));
  }
  for (const [step, tasks] of ending) {
    const budget = step.spec.availabilityBudget || DEFAULT_BUDGET;
    const others = step.tasks.filter((task) => !tasks.has(task));
    const unavailable = others.filter(
      (task) => !isAvailable(registry.forTask(task.name), now),
    ).length;
    if (unavailable + tasks.size > budget) return false;
  }
  return true;
}
