/** Time of continuously holding a valid lease on at least one backend server. */
import type { Clock } from "../ports/clock.ts";

/** End of a lease's validity on both clocks of the holder. */
export interface Validity {
  /** Monotonic time in milliseconds. */
  readonly until: number;
  /** Wall-clock time in milliseconds; detects a suspension that stops the monotonic clock. */
  readonly wallUntil: number;
}

/** True until the lease ends by either clock. */
export function isValid(clock: Clock, validity: Validity): boolean {
  return clock.now() < validity.until && clock.wallTime() < validity.wallUntil;
}

/**
 * Tracks the leases that this entry holds by its own clocks. A fencing proof shows that a lost
 * entry held no lease at one instant after it was marked as retired. An entry therefore relies on
 * data about itself only if it read them after the start of its current uninterrupted coverage.
 */
export class LeaseCoverage {
  readonly #clock: Clock;
  readonly #leases = new Map<string, Validity>();
  readonly #listeners = new Set<() => void>();
  #startedAt: number | undefined;

  constructor({ clock }: { readonly clock: Clock }) {
    this.#clock = clock;
  }

  /** Monotonic start of the uninterrupted coverage in milliseconds; undefined without coverage. */
  since(): number | undefined {
    if (!this.#hasValidLease()) this.#startedAt = undefined;
    return this.#startedAt;
  }

  /** Records a grant or a renewal. Coverage counts from this call, not from the request. */
  extend(server: string, validity: Validity): void {
    const before = this.since();
    this.#leases.set(server, validity);
    if (before !== undefined || !this.#hasValidLease()) return;
    this.#startedAt = this.#clock.now();
    for (const listener of this.#listeners) listener();
  }

  /** Records that a lease was released or lost. */
  drop(server: string): void {
    this.since();
    this.#leases.delete(server);
    this.since();
  }

  /** Calls the listener whenever coverage starts, until the returned function is called. */
  onStart(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /**
   * True if a valid lease is left after removing lapsed ones. {@link since} clears the start of the
   * coverage if none is left, because a gap between two calls would otherwise go undetected.
   */
  #hasValidLease(): boolean {
    const now = this.#clock.now();
    const wall = this.#clock.wallTime();
    for (const [server, validity] of this.#leases) {
      if (now >= validity.until || wall >= validity.wallUntil) this.#leases.delete(server);
    }
    return this.#leases.size > 0;
  }
}
