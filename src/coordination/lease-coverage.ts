/** Time during which this entry has continuously held a valid lease on some backend server. */
import type { Clock } from "../ports/clock.ts";

/** End of a lease's validity on both clocks of the holder. */
export interface Validity {
  /** Monotonic time in milliseconds. */
  readonly until: number;
  /** Wall-clock time in milliseconds; catches a suspension that stops the monotonic clock. */
  readonly wallUntil: number;
}

/** True until a lease ends by either clock. */
export function isValid(clock: Clock, validity: Validity): boolean {
  return clock.now() < validity.until && clock.wallTime() < validity.wallUntil;
}

/**
 * Tracks leases as this entry sees them. A fencing proof shows that a lost entry held no lease at
 * one instant after it was marked. An entry therefore acts on what it read about itself only if it
 * read it after the start of its current unbroken coverage.
 */
export class LeaseCoverage {
  readonly #clock: Clock;
  readonly #leases = new Map<string, Validity>();
  readonly #listeners = new Set<() => void>();
  #startedAt: number | undefined;

  constructor({ clock }: { readonly clock: Clock }) {
    this.#clock = clock;
  }

  /** Monotonic start of the unbroken coverage in milliseconds; undefined while there is none. */
  since(): number | undefined {
    if (!this.#covered()) this.#startedAt = undefined;
    return this.#startedAt;
  }

  /** Records a grant or a renewal; counts as coverage from now, not from when it was sent. */
  extend(server: string, validity: Validity): void {
    const before = this.since();
    this.#leases.set(server, validity);
    if (before !== undefined || !this.#covered()) return;
    this.#startedAt = this.#clock.now();
    for (const listener of this.#listeners) listener();
  }

  /** Records that a lease was released or lost. */
  drop(server: string): void {
    this.since();
    this.#leases.delete(server);
    this.since();
  }

  /** Called when coverage starts anew. */
  onStart(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /**
   * Lapsed leases are forgotten, and so is the start of the coverage when none is left, because a
   * gap between two calls would otherwise go unseen.
   */
  #covered(): boolean {
    const now = this.#clock.now();
    const wall = this.#clock.wallTime();
    for (const [server, validity] of this.#leases) {
      if (now >= validity.until || wall >= validity.wallUntil) this.#leases.delete(server);
    }
    return this.#leases.size > 0;
  }
}
