import type { StepRun } from "./job.ts";
import type { ActiveRun, RunBook } from "./run-book.ts";

/** Budget of long-running steps that state none: planned work takes one task at a time. */
const DEFAULT_BUDGET = 1;
/** Progress in percent at which a long-running task is at work. */
const AT_WORK_PERCENT = 100;

/** True if the task of a run is at work, as last listed. */
export function atWork(run: ActiveRun | undefined): boolean {
  return run?.phase === "running" && run.percent >= AT_WORK_PERCENT;
}

/** Tasks of a long-running step that are not at work. */
export function tasksAway(step: StepRun, book: RunBook): number {
  return step.tasks.filter((task) => !atWork(book.ofTask(task.name))).length;
}

/**
 * True if planned work may end all the given runs at once: no long-running step loses more tasks
 * than its availability budget, counting those that are not at work for any other cause.
 */
export function mayInterrupt(runs: readonly ActiveRun[], book: RunBook): boolean {
  const ending = new Map<StepRun, number>();
  for (const run of runs) {
    const { step } = run.task;
    if (!step.spec.longRunning || !atWork(run)) continue;
    ending.set(step, (ending.get(step) ?? 0) + 1);
  }
  for (const [step, count] of ending) {
    const budget = step.spec.availabilityBudget || DEFAULT_BUDGET;
    if (tasksAway(step, book) + count > budget) return false;
  }
  return true;
}
