import type { Random } from "../ports/random.ts";

/** Limits of a retry delay in milliseconds. */
export interface BackoffLimits {
  readonly baseMs: number;
  readonly maxMs: number;
}

/**
 * Delay in milliseconds before the given retry (0 for the first), with full jitter: uniform between
 * zero and the exponentially growing bound, so that processes that failed together do not retry
 * together.
 */
export function fullJitterMs(random: Random, retry: number, limits: BackoffLimits): number {
  const bound = Math.min(limits.maxMs, limits.baseMs * 2 ** Math.min(retry, 30));
  return random.next() * bound;
}
