/** Limits start orders by the age of what is known about evacuated availability zones. */

/** Time in ms reserved for the drift of a backend server's clock and for the store's reply to operators. */
const EVACUATION_MARGIN_MS = 500;
/** A start order that is valid for less than this time in ms could expire on its way, so it is not sent. */
export const MIN_START_VALID_MS = 400;
/**
 * Ratio of the evacuation bound to the wait of a watch for operator records. A confirmation can be two
 * waits old when the next one arrives, so at least half of the bound remains for start orders.
 */
const WATCHES_PER_EVACUATION_BOUND = 4;

/**
 * Time in ms for which a start order may be valid if evacuations were last confirmed `confirmedAgeMs`
 * ago and must take effect within `evacuateMs`. 0 if no start order may be sent.
 */
export function maxStartValidMs(confirmedAgeMs: number, evacuateMs: number): number {
  const leftMs = evacuateMs - EVACUATION_MARGIN_MS - confirmedAgeMs;
  return leftMs < MIN_START_VALID_MS ? 0 : leftMs;
}

/** Longest wait in ms of a watch for operator records that confirms evacuations often enough. */
export function evacuationWatchMs(evacuateMs: number): number {
  return evacuateMs / WATCHES_PER_EVACUATION_BOUND;
}

/** True if starts are withheld between two confirmations although nothing is wrong. */
export function withholdsRegularStarts(evacuateMs: number): boolean {
  return maxStartValidMs(2 * evacuationWatchMs(evacuateMs), evacuateMs) === 0;
}
