import type { Task } from "../../../state/jobs/records/job.ts";

/** Pause in ms after the first move of a task that failed; doubled with each further one. */
const FIRST_PAUSE_MS = 10_000;
const MAX_PAUSE_MS = 160_000;

interface Pause {
  readonly failures: number;
  /** Monotonic time in ms. */
  readonly until: number;
}

/**
 * Pauses between the moves of tasks that did not start where capacity was reserved for them, so that a
 * task is not stopped again every few seconds.
 */
export class RelocationPauses {
  readonly #pauses = new WeakMap<Task, Pause>();

  /** True while a task must not be stopped to be moved. `now`: monotonic time in ms. */
  isPaused(task: Task, now: number): boolean {
    return now < (this.#pauses.get(task)?.until ?? -Infinity);
  }

  /** Records that a task started where capacity was reserved for it. */
  succeeded(task: Task): void {
    this.#pauses.delete(task);
  }

  /** Records that a task was stopped and did not start where capacity was reserved for it. */
  failed(task: Task, now: number): void {
    const failures = (this.#pauses.get(task)?.failures ?? 0) + 1;
    const pauseMs = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (failures - 1));
    this.#pauses.set(task, { failures, until: now + pauseMs });
  }
}
