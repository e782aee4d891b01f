/** Times and limits of orders to backend servers. */

/** A backend server refuses a start order that arrives later than this time in ms after its issue. */
export const START_VALID_MS = 2500;
/**
 * Delay in ms before the next poll after a failed one, and the longest wait in ms between polls for
 * the effects of ended runs to be stored.
 */
export const POLL_RETRY_MS = 400;
/** Delay in ms before a stop order is repeated. */
export const STOP_RETRY_MS = 300;
/** Maximum number of ended runs in one list. */
export const MAX_LISTED_ENDS = 500;
