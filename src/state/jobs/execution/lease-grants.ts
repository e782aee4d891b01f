/**
 * Orders with a deadline that were issued for one boot of a backend server. A later boot may carry
 * them out as long as they are pending.
 */
export class LeaseGrants {
  #pending = 0;
  #endedAt: number | undefined;

  /** Number of orders without a result. */
  get pending(): number {
    return this.#pending;
  }

  /** Records that an order is about to be sent. */
  begin(): void {
    this.#pending++;
  }

  /** Records that an order was answered or given up at `now`, a monotonic time in ms. */
  end(now: number): void {
    this.#pending--;
    this.#endedAt = now;
  }

  /**
   * Latest monotonic time in ms at which one of the orders may have been carried out; undefined if none
   * was sent.
   */
  lastCarriedOutBy(now: number): number | undefined {
    return this.#pending > 0 ? now : this.#endedAt;
  }
}
