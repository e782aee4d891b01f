/** How many bytes of start orders may be under way at a time. */

/** Queue in ms that start orders may build up on the way; other calls wait behind it. */
export const MAX_QUEUE_MS = 150;
const LEAST_WINDOW_BYTES = 8000;
const MOST_WINDOW_BYTES = 1_000_000;
/** First window of a fast link, so that a long round trip does not hold back a fleet's orders. */
const FIRST_WINDOW_BYTES = 256_000;
/** Part of the window that is left after congestion. */
const DECREASE_FACTOR = 0.7;
/** Growth of the window for each window of orders that is answered in time. */
const INCREASE_SHARE = 0.1;
/** Recent answers that are judged together; one silent server must not look like congestion. */
const RECENT_ANSWERS = 9;
/** Answers after a decrease that still stem from the larger window. */
const SETTLING_ANSWERS = RECENT_ANSWERS;

/**
 * Limits the bytes of start orders under way by the round trips that are measured. Answers a turn of
 * a queue whose starts are more than the scheduler's link carries: what can't be sent now waits in
 * the product, where it can still be reordered, while leases and acknowledgements get through.
 */
export class SendWindow {
  readonly #underWay = new Map<object, number>();
  #bytesUnderWay = 0;
  #windowBytes: number;
  readonly #recentMs: number[] = [];
  #settling = 0;

  /** `linkBytesPerMs` is the capacity of this instance's link. */
  constructor(linkBytesPerMs: number) {
    const carried = linkBytesPerMs * MAX_QUEUE_MS;
    this.#windowBytes = clamp(Math.min(FIRST_WINDOW_BYTES, carried));
  }

  /** True if a further order may be sent. */
  get open(): boolean {
    return this.#bytesUnderWay < this.#windowBytes;
  }

  /** Bytes that may be under way at a time. */
  get bytes(): number {
    return this.#windowBytes;
  }

  /** Counts an order as under way until it is released. */
  reserve(order: object, bytes: number): void {
    this.release(order);
    this.#underWay.set(order, bytes);
    this.#bytesUnderWay += bytes;
  }

  /** The order is answered, given up or was never sent. */
  release(order: object): void {
    this.#bytesUnderWay -= this.#underWay.get(order) ?? 0;
    this.#underWay.delete(order);
  }

  /** An order was answered, or given up, after the given time in milliseconds. */
  observe(roundTripMs: number): void {
    this.#recentMs.push(roundTripMs);
    if (this.#recentMs.length > RECENT_ANSWERS) this.#recentMs.shift();
    if (this.#recentMs.length * 2 < RECENT_ANSWERS) return;
    if (this.#settling > 0) {
      this.#settling--;
      return;
    }
    if (this.#median() <= MAX_QUEUE_MS) this.#increase();
    else this.#decrease();
  }

  #increase(): void {
    // A window that is not used up says nothing about what the link carries.
    if (this.#bytesUnderWay * 2 < this.#windowBytes) return;
    const orders = Math.max(1, this.#underWay.size);
    this.#windowBytes = clamp(this.#windowBytes * (1 + INCREASE_SHARE / orders));
  }

  #decrease(): void {
    this.#windowBytes = clamp(this.#windowBytes * DECREASE_FACTOR);
    this.#settling = SETTLING_ANSWERS;
  }

  #median(): number {
    const sorted = [...this.#recentMs].sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)] ?? 0;
  }
}

function clamp(bytes: number): number {
  return Math.min(MOST_WINDOW_BYTES, Math.max(LEAST_WINDOW_BYTES, bytes));
}
