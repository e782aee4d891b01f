/** Weight of the newest observation. */
const SMOOTHING = 0.2;
/** A server is overloaded when its run times exceed this multiple of the queue's estimate. */
const OVERLOAD_RATIO = 2;
/** Caps a sample so that one long task does not count as overload; several in a row do. */
const MAX_SAMPLE = 4;
const DECREASE_FACTOR = 0.8;
/** Lowest limit as a fraction of the slots. Run times vary too much to justify a lower one. */
const MIN_FRACTION = 0.25;
/**
 * Observations between decreases, so that tasks started under the old limit do not cause another.
 */
const SETTLE_OBSERVATIONS = 8;

/** Concurrency limit of one backend server: additive increase, multiplicative decrease. */
export class AdaptiveLimit {
  readonly #slots: number;
  #limit: number;
  #ratio = 1;
  #sinceDecrease = 0;

  constructor({ slots }: { readonly slots: number }) {
    this.#slots = slots;
    this.#limit = slots;
  }

  /** Maximum number of concurrent tasks, at least 1. */
  get current(): number {
    return Math.max(1, Math.floor(this.#limit));
  }

  /** Records the run time of a finished task and the run time expected for its queue and team. */
  observe(runMs: number, expectedMs: number): void {
    const sample = Math.min(runMs / Math.max(1, expectedMs), MAX_SAMPLE);
    this.#ratio += SMOOTHING * (sample - this.#ratio);
    this.#sinceDecrease++;
    if (this.#ratio <= OVERLOAD_RATIO) {
      this.#limit = Math.min(this.#slots, this.#limit + 1 / this.#limit);
    } else if (this.#sinceDecrease >= SETTLE_OBSERVATIONS) {
      this.#limit = Math.max(this.#slots * MIN_FRACTION, this.#limit * DECREASE_FACTOR);
      this.#sinceDecrease = 0;
    }
  }
}
