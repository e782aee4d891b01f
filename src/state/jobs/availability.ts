import type { StepRun, Task } from "./job.ts";
import type { ActiveRun, RunRegistry } from "./run-registry.ts";

/** Budget of long-running steps that state none: planned work takes one task at a time. */
const DEFAULT_BUDGET = 1;
/** Progress in percent at which a long-running task is at work. */
const AT_WORK_PERCENT = 100;

/** Age in ms of a list beyond which its server may be gone; a look waits 2 s for an end. */
const MAX_LIST_AGE_MS = 3500;

/** True if the task of a run is at work, as listed not long ago, and is not about to end. */
export function isAvailable(run: ActiveRun | undefined, now: number): boolean {
  if (run?.phase !== "running" || run.endOrdered) return false;
  if (run.percent < AT_WORK_PERCENT) return false;
  return now - run.listedAt <= MAX_LIST_AGE_MS;
}

/**
 * True if planned work may end all the given runs at once: no long-running step loses more tasks
 * than its availability budget, counting those that are not at work for any other cause. What is
 * known of a run is some moments old, so a run that would be ended counts as at work, and any other
 * one as away unless it is known to be at work.
 */
export function mayInterrupt(runs: readonly ActiveRun[], book: RunRegistry, now: number): boolean {
  const ending = new Map<StepRun, Set<Task>>();
  for (const { task } of runs) {
    if (!task.step.spec.longRunning) continue;
    ending.set(task.step, (ending.get(task.step) ?? new Set()).add(task));
  }
  for (const [step, tasks] of ending) {
    const budget = step.spec.availabilityBudget || DEFAULT_BUDGET;
    const others = step.tasks.filter((task) => !tasks.has(task));
    const away = others.filter((task) => !isAvailable(book.forTask(task.name), now)).length;
    if (away + tasks.size > budget) return false;
  }
  return true;
}
