/** Times of orders to backend servers, in milliseconds. */

/** A start that arrives later than this is refused by the backend server. */
export const START_VALID_MS = 2500;
/** Pause between looks that cannot wait. */
export const POLL_RETRY_MS = 400;
/** Pause before a stop order is repeated. */
export const STOP_RETRY_MS = 300;
/** Most ends in one list. */
export const MAX_LISTED_ENDS = 500;
