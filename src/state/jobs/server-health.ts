/** Failures in a row, from two jobs or more, after which a backend server is taken as faulty. */
const FAULTY_AFTER_FAILURES = 3;
const FAULTY_AFTER_JOBS = 2;
/** First time without new tasks, in ms; it doubles with each further failure. */
const QUARANTINE_MS = 2000;
const MAX_QUARANTINE_MS = 16_000;

/**
 * Tells backend servers that fail what they start from jobs that fail wherever they run. Answers
 * servers that fail fast and would otherwise attract and spoil the work of a whole pool: after some
 * failures in a row of different jobs a server gets nothing, then one task at a time until one is
 * done.
 */
export class ServerHealth {
  #failures = 0;
  #quarantinedUntil = 0;
  readonly #jobs = new Set<string>();

  /** Failures in a row. */
  get consecutiveFailures(): number {
    return this.#failures;
  }

  /** True while the server may take one task at a time only. */
  get onProbation(): boolean {
    return this.#failures >= FAULTY_AFTER_FAILURES && this.#jobs.size >= FAULTY_AFTER_JOBS;
  }

  /** True while the server takes no new tasks. */
  quarantined(now: number): boolean {
    return now < this.#quarantinedUntil;
  }

  /** A task ended as done. */
  succeeded(): void {
    this.#failures = 0;
    this.#jobs.clear();
    this.#quarantinedUntil = 0;
  }

  /** A run failed, or the server refused it although it is not full. */
  failed(job: string, now: number): void {
    this.#failures++;
    this.#jobs.add(job);
    if (!this.onProbation) return;
    const doublings = this.#failures - FAULTY_AFTER_FAILURES;
    this.#quarantinedUntil = now + Math.min(MAX_QUARANTINE_MS, QUARANTINE_MS * 2 ** doublings);
  }
}
