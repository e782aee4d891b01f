/** Flow control for start orders: limits the bytes in flight. */

/** Queueing delay in ms that start orders may cause on the link; other calls wait behind them. */
export const MAX_QUEUE_MS = 150;
const MIN_WINDOW_BYTES = 8000;
/** Time in ms within which the link sends the smallest window. */
const MIN_QUEUE_MS = 10;
/** Largest window, and initial window of a fast link: the orders of a whole fleet. */
const MAX_WINDOW_BYTES = 1_000_000;
/** Upper limit of the smallest window of a fast link. */
const MAX_MIN_WINDOW_BYTES = 256_000;
/** Factor by which congestion shrinks the window. */
const DECREASE_FACTOR = 0.7;
/** Relative growth of the window for each window of orders that is answered in time. */
const INCREASE_SHARE = 0.1;
/** Recent replies evaluated together; a single unresponsive server must not count as congestion. */
const RECENT_REPLIES = 9;
/** Replies after a decrease that still belong to the larger window. */
const SETTLING_REPLIES = RECENT_REPLIES;

/**
 * Limits the bytes of start orders in flight, based on measured round trips. In a demand peak of a
 * queue, the start orders may exceed the capacity of the scheduler's link. Orders that can't be sent
 * yet then wait in this process, where they can still be reordered, and don't delay leases and
 * acknowledgements.
 */
export class SendWindow {
  readonly #inFlight = new Map<object, number>();
  /**
   * Orders that the link sends within a few milliseconds don't congest it. Long round trips of such a
   * window are due to busy processes, and a smaller one would leave backend servers idle.
   */
  readonly #minWindowBytes: number;
  #bytesInFlight = 0;
  #windowBytes: number;
  readonly #recentMs: number[] = [];
  #settling = 0;

  /** `linkBytesPerMs` is the capacity of this instance's link. */
  constructor(linkBytesPerMs: number) {
    this.#minWindowBytes = clamp(Math.min(MAX_MIN_WINDOW_BYTES, linkBytesPerMs * MIN_QUEUE_MS));
    this.#windowBytes = clamp(linkBytesPerMs * MAX_QUEUE_MS);
  }

  /** True if a further order may be sent. */
  get open(): boolean {
    return this.#bytesInFlight < this.#windowBytes;
  }

  /** Bytes that may be in flight at a time. */
  get bytes(): number {
    return this.#windowBytes;
  }

  /** Counts an order as in flight until it is released. */
  reserve(order: object, bytes: number): void {
    this.release(order);
    this.#inFlight.set(order, bytes);
    this.#bytesInFlight += bytes;
  }

  /** Removes an order that was answered, abandoned or never sent. */
  release(order: object): void {
    this.#bytesInFlight -= this.#inFlight.get(order) ?? 0;
    this.#inFlight.delete(order);
  }

  /** Adapts the window after an order was answered or abandoned; the round trip is in ms. */
  observe(roundTripMs: number): void {
    this.#recentMs.push(roundTripMs);
    if (this.#recentMs.length > RECENT_REPLIES) this.#recentMs.shift();
    if (this.#recentMs.length * 2 < RECENT_REPLIES) return;
    if (this.#settling > 0) {
      this.#settling--;
      return;
    }
    if (this.#median() <= MAX_QUEUE_MS) this.#increase();
    else this.#decrease();
  }

  #increase(): void {
    // A window that is less than half used says nothing about the capacity of the link.
    if (this.#bytesInFlight * 2 < this.#windowBytes) return;
    const orders = Math.max(1, this.#inFlight.size);
    this.#windowBytes = clamp(this.#windowBytes * (1 + INCREASE_SHARE / orders));
  }

  #decrease(): void {
    this.#windowBytes = Math.max(this.#minWindowBytes, this.#windowBytes * DECREASE_FACTOR);
    this.#settling = SETTLING_REPLIES;
  }

  #median(): number {
    const sorted = [...this.#recentMs].sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)] ?? 0;
  }
}

function clamp(bytes: number): number {
  return Math.min(MAX_WINDOW_BYTES, Math.max(MIN_WINDOW_BYTES, bytes));
}
