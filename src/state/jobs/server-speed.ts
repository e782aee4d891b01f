/** Part of a new reading in a server's average. */
const AVERAGE_WEIGHT = 0.3;
/** The same for a server that was slow, so that few good readings clear it. */
const RECOVERY_WEIGHT = 0.6;
/** Time in ms after which a slow server gets a single task as a trial. */
const TRIAL_AFTER_MS = 3000;
/** Duration over the expected one from which a backend server counts as slow. */
const SLOW_RATIO = 2.2;

/**
 * Speed of a backend server, from the durations of what ended there over what was to be expected.
 * Answers servers that become several times slower while they look healthy.
 */
export class ServerSpeed {
  #ratio = 1;
  /** Monotonic time in ms of the last reading that found it slow. */
  #slowSince: number | undefined;

  /** Average of duration over the expected one. */
  get ratio(): number {
    return this.#ratio;
  }

  /** True while tasks should rather go elsewhere. */
  get slow(): boolean {
    return this.#ratio >= SLOW_RATIO;
  }

  /** Takes note of a duration over the expected one. */
  observe(ratio: number, now: number): void {
    const weight = this.slow ? RECOVERY_WEIGHT : AVERAGE_WEIGHT;
    this.#ratio += (ratio - this.#ratio) * weight;
    this.#mark(now);
  }

  /** A run there is found to be far slower than expected. */
  observeSlowRun(ratio: number, now: number): void {
    this.#ratio = Math.max(this.#ratio, Math.min(ratio, SLOW_RATIO * 2));
    this.#mark(now);
  }

  /** True if a slow server may be given a single task as a trial. */
  trialDue(now: number): boolean {
    return this.#slowSince !== undefined && now - this.#slowSince >= TRIAL_AFTER_MS;
  }

  #mark(now: number): void {
    this.#slowSince = this.slow ? now : undefined;
  }
}
