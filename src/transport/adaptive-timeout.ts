const LEAST_MS = 150;
/** A healthy answer is much faster than this multiple of the average. */
const AVERAGE_FACTOR = 6;
const AVERAGE_WEIGHT = 0.2;

/**
 * Chooses how long to wait for an answer. Answers that are lost one by one should be given up soon,
 * since the call is repeated; a service that has become slow must not be given up at all, so each
 * timeout in a row doubles the wait.
 */
export class AdaptiveTimeout {
  readonly #mostMs: number;
  #averageMs = 0;
  #timeouts = 0;

  /** `mostMs` is the longest wait in milliseconds. */
  constructor(mostMs: number) {
    this.#mostMs = mostMs;
  }

  /** Wait of the next call in milliseconds. */
  get currentMs(): number {
    const base = Math.max(LEAST_MS, this.#averageMs * AVERAGE_FACTOR);
    return Math.min(this.#mostMs, base * 2 ** this.#timeouts);
  }

  /** An answer came after the given time in milliseconds. */
  answered(tookMs: number): void {
    this.#timeouts = 0;
    this.#averageMs += (tookMs - this.#averageMs) * AVERAGE_WEIGHT;
  }

  /** No answer came in time. */
  timedOut(): void {
    this.#timeouts++;
  }
}
