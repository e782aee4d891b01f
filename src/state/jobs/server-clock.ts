/** Slowest rate of a backend server's clock, relative to this process's monotonic clock. */
const SLOWEST_CLOCK_RATE = 0.98;

/** One reading of a backend server's clock. */
export interface ClockReading {
  /** Time on the backend server's clock, in milliseconds since its boot. */
  readonly clockMs: number;
  /** Monotonic time in ms at which the reply that carried it arrived here. */
  readonly receivedAt: number;
}

/**
 * Relates the clock of one boot of a backend server to the monotonic clock of this process, and
 * bounds the time at which its lease has certainly lapsed.
 */
export class ServerClock {
  #reading: ClockReading | undefined;
  #latestDeadlineMs = 0;

  /** True once the clock was read. */
  get hasReading(): boolean {
    return this.#reading !== undefined;
  }

  /** Takes note of a reading. */
  addReading(reading: ClockReading): void {
    const before = this.#reading;
    if (before === undefined || reading.clockMs >= before.clockMs) this.#reading = reading;
  }

  /**
   * Deadline on the backend server's clock that lies about `ttlMs` ahead, and notes it as sent.
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
   * Monotonic time in ms from which the lease has lapsed even on the slowest clock, if no later
   * deadline is sent. Undefined before the clock was read.
   */
  lapsedAt(): number | undefined {
    if (this.#reading === undefined) return undefined;
    const { clockMs, receivedAt } = this.#reading;
    return receivedAt + Math.max(0, this.#latestDeadlineMs - clockMs) / SLOWEST_CLOCK_RATE;
  }
}

/**
 * Monotonic time in ms from which every lease has lapsed that a former scheduler can have given, if
 * it gave none after `takenOverAt`.
 */
export function inheritedLeasesLapsedAt(takenOverAt: number, leaseTtlMs: number): number {
  return takenOverAt + leaseTtlMs / SLOWEST_CLOCK_RATE;
}
