/** Times of orders to backend servers, in milliseconds. */

/** Time for the reply to an order, beyond the wait that it asks for. */
export const ORDER_TIMEOUT_MS = 900;
/** A start that arrives later than this is refused by the backend server. */
export const START_VALID_MS = 2500;
/** Wait for an end that a look at a backend server asks for; each look costs a call. */
export const POLL_WAIT_MS = 2000;
/** The same while the start-up of a long-running task is waited for. */
export const PROGRESS_POLL_WAIT_MS = 400;
/** Pause between looks that cannot wait. */
export const POLL_RETRY_MS = 400;
/** Pause before a stop order is repeated. */
export const STOP_RETRY_MS = 300;
/** Most ends in one list. */
export const MAX_LISTED_ENDS = 500;
