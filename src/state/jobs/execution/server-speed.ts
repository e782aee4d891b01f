/** Weight of a new measurement in a server's average. */
const AVERAGE_WEIGHT = 0.3;
/** Weight for a server that is slow, so that it recovers after a few good measurements. */
const RECOVERY_WEIGHT = 0.6;
/** Time in ms after which a slow server gets a single trial task. */
const TRIAL_AFTER_MS = 3000;
/** Average ratio to the expected duration from which a backend server counts as slow. */
const SLOW_RATIO = 2.2;
/** Bound of ratios from the store, so that a server recovers after a few good measurements. */
const MAX_RESTORED_RATIO = SLOW_RATIO * 2;

/**
 * Speed of a backend server, measured by the ratio of actual to expected durations of runs that were
 * completed there, and of active runs that are far slower than expected. Detects servers that become
 * several times slower while they appear healthy.
 */
export class ServerSpeed {
  #ratio = 1;
  /** True if the last ended run was left out by {@link ignoreLongRun}. */
  #lastIgnored = false;
  /** Monotonic time in ms of the last measurement; undefined unless the server counts as slow. */
  #lastSlowAt: number | undefined;

  /** Average ratio of actual to expected durations. */
  get ratio(): number {
    return this.#ratio;
  }

  /** True while tasks should preferably run on other servers. */
  get slow(): boolean {
    return this.#ratio >= SLOW_RATIO;
  }

  /** Records the ratio of a completed run's duration to the expected one. */
  observe(ratio: number, now: number): void {
    this.#lastIgnored = false;
    const weight = this.slow ? RECOVERY_WEIGHT : AVERAGE_WEIGHT;
    this.#ratio += (ratio - this.#ratio) * weight;
    this.#updateLastSlowAt(now);
  }

  /**
   * Decides whether an ended run that belongs to the tail of its queue's durations is left out of the
   * speed. Of two in a row only the first is, because a server that slows down makes every run long.
   */
  ignoreLongRun(): boolean {
    if (this.slow || this.#lastIgnored) return false;
    this.#lastIgnored = true;
    return true;
  }

  /** Records a run that is far slower than expected. */
  observeSlowRun(ratio: number, now: number): void {
    this.#ratio = Math.max(this.#ratio, Math.min(ratio, SLOW_RATIO * 2));
    this.#updateLastSlowAt(now);
  }

  /** Sets the ratio that an earlier scheduler measured for the same boot of the server. */
  restore(ratio: number, now: number): void {
    this.#ratio = Math.max(1 / MAX_RESTORED_RATIO, Math.min(ratio, MAX_RESTORED_RATIO));
    this.#updateLastSlowAt(now);
  }

  /** True if a slow server may get a single trial task. */
  isTrialDue(now: number): boolean {
    return this.#lastSlowAt !== undefined && now - this.#lastSlowAt >= TRIAL_AFTER_MS;
  }

  #updateLastSlowAt(now: number): void {
    this.#lastSlowAt = this.slow ? now : undefined;
  }
}
