import type { BackendClock } from "../../../ports/job-backend.ts";

/** Slowest assumed rate of a backend server's clock, relative to the local monotonic clock. */
const SLOWEST_CLOCK_RATE = 0.98;

/** One reading of a backend server's clock. */
export interface ClockReading {
  /** Time on the backend server's clock in ms. Each boot begins at a reading of its own. */
  readonly clockMs: number;
  /** Monotonic time in ms at which the reply with the reading arrived here. */
  readonly receivedAt: number;
}

/**
 * True if a reading is certainly of a later boot: it is below `before`, the newest one at the time of its
 * request. A reading that is not below may be of either boot.
 */
export function isOfLaterBoot(
  { clockMs }: BackendClock,
  before: ClockReading | undefined,
): boolean {
  return before !== undefined && clockMs < before.clockMs;
}

/**
 * Relates the clock of one boot of a backend server to the monotonic clock of this process, and
 * computes the time from which the server's lease has certainly lapsed.
 */
export class ServerClock {
  #reading: ClockReading | undefined;
  #latestDeadlineMs = 0;

  /** The newest reading; undefined before the first one. */
  get reading(): ClockReading | undefined {
    return this.#reading;
  }

  /** Records a reading. A reading older than the recorded one is ignored. */
  addReading(reading: ClockReading): void {
    const previous = this.#reading;
    if (previous === undefined || reading.clockMs >= previous.clockMs) this.#reading = reading;
  }

  /** Latest deadline that was sent, on the backend server's clock in ms; 0 if there is none. */
  get latestDeadlineMs(): number {
    return this.#latestDeadlineMs;
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
    return this.passedAt(this.#latestDeadlineMs);
  }

  /**
   * Monotonic time in ms from which the backend server's clock has passed a deadline, even if it is the
   * slowest. Undefined before the clock was read.
   */
  passedAt(deadlineMs: number): number | undefined {
    if (this.#reading === undefined) return undefined;
    const { clockMs, receivedAt } = this.#reading;
    return receivedAt + Math.max(0, deadlineMs - clockMs) / SLOWEST_CLOCK_RATE;
  }
}

/**
 * Monotonic time in ms from which leases of at most `ttlMs` have lapsed even on the slowest clock, if
 * none was granted after `grantedUntil`, a monotonic time in ms.
 */
export function leasesLapsedAt(grantedUntil: number, ttlMs: number): number {
  return grantedUntil + ttlMs / SLOWEST_CLOCK_RATE;
}
