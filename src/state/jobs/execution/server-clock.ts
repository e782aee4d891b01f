/** Slowest assumed rate of a backend server's clock, relative to the local monotonic clock. */
const SLOWEST_CLOCK_RATE = 0.98;

/** One reading of a backend server's clock. */
export interface ClockReading {
  /** Time on the backend server's clock, in milliseconds since its boot. */
  readonly clockMs: number;
  /** Monotonic time in ms at which the reply with the reading arrived here. */
  readonly receivedAt: number;
}

/**
 * Relates the clock of one boot of a backend server to the monotonic clock of this process, and
 * computes the time from which the server's lease has certainly lapsed.
 */
export class ServerClock {
  #reading: ClockReading | undefined;
  #latestDeadlineMs = 0;

  /** True once the clock of the backend server was read. */
  get hasReading(): boolean {
    return this.#reading !== undefined;
  }

  /** Records a reading. A reading older than the recorded one is ignored. */
  addReading(reading: ClockReading): void {
    const previous = this.#reading;
    if (previous === undefined || reading.clockMs >= previous.clockMs) this.#reading = reading;
  }

  /**
   * Returns a deadline on the backend server's clock, about `ttlMs` ahead, and records it as sent.
   * Undefined before the clock was read.
   */
  issueDeadline(now: number, ttlMs: number): number | undefined {
    if (this.#reading === undefined) return undefined;
    const { clockMs, receivedAt } = this.#reading;
    const deadline = Math.floor(clockMs + (now - receivedAt) * SLOWEST_CLOCK_RATE + ttlMs);
    this.#latestDeadlineMs = Math.max(this.#latestDeadlineMs, deadline);
    return deadline;
  }

  /**
   * Monotonic time in ms from which the lease has lapsed even on the slowest clock, unless a later
   * deadline is sent. Undefined before the clock was read.
   */
  lapsedAt(): number | undefined {
    if (this.#reading === undefined) return undefined;
    const { clockMs, receivedAt } = this.#reading;
    return receivedAt + Math.max(0, this.#latestDeadlineMs - clockMs) / SLOWEST_CLOCK_RATE;
  }
}

/**
 * Monotonic time in ms from which every lease granted by a previous scheduler has lapsed, provided
 * that it granted none after `takenOverAt`.
 */
export function inheritedLeasesLapsedAt(takenOverAt: number, leaseTtlMs: number): number {
  return takenOverAt + leaseTtlMs / SLOWEST_CLOCK_RATE;
}
