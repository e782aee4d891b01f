const WINDOW_MS = 10_000;
const BUCKET_MS = 1000;
/** Maximum retries as a fraction of the requests in a window. */
const RETRY_RATIO = 0.1;
/** Retries allowed in any window, so that an entry instance with little traffic can still retry. */
const MIN_RETRIES = 3;

interface Bucket {
  readonly start: number;
  requests: number;
  retries: number;
}

/**
 * Limits retries to a tenth of the requests of the last 10 seconds, so that retries do not amplify
 * an overload.
 */
export class RetryBudget {
  #buckets: Bucket[] = [];

  recordRequest(now: number): void {
    this.#bucket(now).requests++;
  }

  /** Consumes one retry. Returns false if the budget is exhausted. */
  tryTake(now: number): boolean {
    const bucket = this.#bucket(now);
    const requests = this.#buckets.reduce((sum, b) => sum + b.requests, 0);
    const retries = this.#buckets.reduce((sum, b) => sum + b.retries, 0);
    if (retries >= Math.max(MIN_RETRIES, requests * RETRY_RATIO)) return false;
    bucket.retries++;
    return true;
  }

  #bucket(now: number): Bucket {
    this.#buckets = this.#buckets.filter((bucket) => bucket.start > now - WINDOW_MS);
    const start = now - (now % BUCKET_MS);
    const last = this.#buckets.at(-1);
    if (last?.start === start) return last;
    const bucket = { start, requests: 0, retries: 0 };
    this.#buckets.push(bucket);
    return bucket;
  }
}
