/** Pause in ms before the first retry of a failed task; each further failure doubles it. */
const FIRST_PAUSE_MS = 100;
const MAX_PAUSE_MS = 2000;

/** Retries that each first attempt of a queue allows, so that a fifth of all starts are retries. */
const RETRIES_PER_FIRST_ATTEMPT = 0.25;
/** Retries that a queue may save up, for failures that come together. */
const MAX_SAVED_RETRIES = 10;

/** Pause in ms before a task that has failed `failures` times is started again. */
export function retryPauseMs(failures: number): number {
  return Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** Math.max(0, failures - 1));
}

/**
 * Limits the retries of each queue to a fifth of its starts. Retries beyond that are not refused, but
 * wait until the first attempts of a round are placed, so that failing tasks do not take the capacity
 * from those that would succeed.
 */
export class RetryBudgets {
  readonly #saved = new Map<string, number>();

  /** Records the start of a first attempt. */
  firstAttemptStarted(queue: string): void {
    const saved = this.#savedRetries(queue) + RETRIES_PER_FIRST_ATTEMPT;
    this.#saved.set(queue, Math.min(MAX_SAVED_RETRIES, saved));
  }

  /** Records the start of a retry. */
  retryStarted(queue: string): void {
    this.#saved.set(queue, Math.max(0, this.#savedRetries(queue) - 1));
  }

  /** True if a retry of the queue may be placed before first attempts that wait. */
  mayRetry(queue: string): boolean {
    return this.#savedRetries(queue) >= 1;
  }

  #savedRetries(queue: string): number {
    return this.#saved.get(queue) ?? MAX_SAVED_RETRIES;
  }
}
