/** Consecutive failures, and jobs they come from, after which a backend server counts as faulty. */
const FAULTY_AFTER_FAILURES = 3;
const FAULTY_AFTER_JOBS = 2;
/** First quarantine time in ms; it doubles with each further failure. */
const QUARANTINE_MS = 2000;
const MAX_QUARANTINE_MS = 16_000;
/** Bound of failures from the store; more make no difference to the quarantine. */
const MAX_RESTORED_FAILURES = 10;

/**
 * Distinguishes faulty backend servers from jobs that fail on every server. A server that fails fast
 * would otherwise attract the tasks of a whole pool and fail them. After several consecutive failures
 * of different jobs a server gets no tasks for a while, then one task at a time until one is done.
 */
export class ServerHealth {
  #failures = 0;
  #quarantinedUntil = 0;
  readonly #jobs = new Set<string>();
  /** True if an earlier scheduler found failures of several jobs. */
  #inheritedProbation = false;

  get consecutiveFailures(): number {
    return this.#failures;
  }

  /** True while the server may take only one task at a time. */
  get onProbation(): boolean {
    if (this.#failures < FAULTY_AFTER_FAILURES) return false;
    return this.#inheritedProbation || this.#jobs.size >= FAULTY_AFTER_JOBS;
  }

  /** Monotonic time in ms at which the last quarantine ends. */
  get quarantinedUntil(): number {
    return this.#quarantinedUntil;
  }

  /** Continues a probation that an earlier scheduler began for the same boot of the server. */
  restoreProbation(failures: number, quarantineMs: number, now: number): void {
    this.#failures = Math.min(MAX_RESTORED_FAILURES, Math.max(FAULTY_AFTER_FAILURES, failures));
    this.#inheritedProbation = true;
    this.#quarantinedUntil = now + Math.max(0, Math.min(MAX_QUARANTINE_MS, quarantineMs));
  }

  /** True while the server takes no new tasks. */
  quarantined(now: number): boolean {
    return now < this.#quarantinedUntil;
  }

  /** Records that a task ended as done. */
  succeeded(): void {
    this.#failures = 0;
    this.#jobs.clear();
    this.#inheritedProbation = false;
    this.#quarantinedUntil = 0;
  }

  /** Records that a run failed or that the server refused it although it is not full. */
  failed(job: string, now: number): void {
    this.#failures++;
    this.#jobs.add(job);
    if (!this.onProbation) return;
    const doublings = this.#failures - FAULTY_AFTER_FAILURES;
    this.#quarantinedUntil = now + Math.min(MAX_QUARANTINE_MS, QUARANTINE_MS * 2 ** doublings);
  }
}
