import type { StepRun } from "./job.ts";
import type { ActiveRun, RunBook } from "./run-book.ts";

/** Budget of long-running steps that state none: planned work takes one task at a time. */
const DEFAULT_BUDGET = 1;
/** Progress in percent at which a long-running task is at work. */
const AT_WORK_PERCENT = 100;

/** Age in ms of a list beyond which its server may be gone; a look waits 2 s for an end. */
const MAX_LIST_AGE_MS = 3500;

/** True if the task of a run is at work, as listed not long ago. */
export function atWork(run: ActiveRun | undefined, now: number): boolean {
  if (run?.phase !== "running" || run.percent < AT_WORK_PERCENT) return false;
  return now - run.listedAt <= MAX_LIST_AGE_MS;
}

/** Tasks of a long-running step that are not at work. */
export function tasksAway(step: StepRun, book: RunBook, now: number): number {
  return step.tasks.filter((task) => !atWork(book.ofTask(task.name), now)).length;
}

/**
 * True if planned work may end all the given runs at once: no long-running step loses more tasks
 * than its availability budget, counting those that are not at work for any other cause. Tasks on a
 * server that has not answered for some seconds count as away.
 */
export function mayInterrupt(runs: readonly ActiveRun[], book: RunBook, now: number): boolean {
  const ending = new Map<StepRun, number>();
  for (const run of runs) {
    const { step } = run.task;
    if (!step.spec.longRunning || !atWork(run, now)) continue;
    ending.set(step, (ending.get(step) ?? 0) + 1);
  }
  for (const [step, count] of ending) {
    const budget = step.spec.availabilityBudget || DEFAULT_BUDGET;
    if (tasksAway(step, book, now) + count > budget) return false;
  }
  return true;
}
