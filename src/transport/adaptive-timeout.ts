const MIN_TIMEOUT_MS = 150;
/** A healthy service responds much faster than this multiple of its average response time. */
const AVERAGE_MULTIPLIER = 6;
const SMOOTHING_FACTOR = 0.2;

/**
 * Adapts a timeout to the response times of a service. A single lost response should time out
 * early, because the call is retried. A service that has become slow must still be able to respond,
 * so each consecutive timeout doubles the next one.
 */
export class AdaptiveTimeout {
  readonly #maxMs: number;
  #averageMs = 0;
  #consecutiveTimeouts = 0;

  /** `maxMs` is the upper bound of the timeout in milliseconds. */
  constructor(maxMs: number) {
    this.#maxMs = maxMs;
  }

  /** Timeout of the next call in milliseconds. */
  get currentMs(): number {
    const base = Math.max(MIN_TIMEOUT_MS, this.#averageMs * AVERAGE_MULTIPLIER);
    return Math.min(this.#maxMs, base * 2 ** this.#consecutiveTimeouts);
  }

  /** Records a response that arrived after `responseMs` milliseconds. */
  recordResponse(responseMs: number): void {
    this.#consecutiveTimeouts = 0;
    this.#averageMs += (responseMs - this.#averageMs) * SMOOTHING_FACTOR;
  }

  /** Records a call that timed out. */
  recordTimeout(): void {
    this.#consecutiveTimeouts++;
  }
}
