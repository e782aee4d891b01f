import type { Random } from "../../../ports/random.ts";
import type { Overload } from "./admission-decision.ts";

const MIN_WAIT_MS = 1000;
/** Callers of a long backlog try again within this time, since the backlog may shrink faster. */
const MAX_WAIT_MS = 60_000;
/** Bounds of the factor for the work of a job compared with a job of typical size. */
const MIN_WORK_FACTOR = 0.5;
const MAX_WORK_FACTOR = 4;
/** Callers return spread over this part of the wait, but at least over {@link MIN_SPREAD_MS}. */
const SPREAD = 0.5;
/** Whole seconds need some seconds of spread for callers not to return together. */
const MIN_SPREAD_MS = 3000;

/**
 * Time in whole seconds after which the caller of a rejected job should submit it again: when the
 * excess of the backlog is done, later for jobs that need more work, and spread at random.
 */
export function retryAfterS({ excessMs, relativeWork }: Overload, random: Random): number {
  const factor = Math.min(MAX_WORK_FACTOR, Math.max(MIN_WORK_FACTOR, relativeWork));
  const waitMs = Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, excessMs) * factor);
  const spreadMs = Math.max(MIN_SPREAD_MS, waitMs * SPREAD);
  return Math.max(1, Math.ceil((waitMs + random.next() * spreadMs) / 1000));
}
