/** Slowest assumed rate of a backend server's clock, relative to the local monotonic clock. */
const SLOWEST_CLOCK_RATE = 0.98;

/** Allowance in ms for the resolution of the clocks when a reading is compared with elapsed time. */
const CLOCK_TOLERANCE_MS = 50;

/** One reading of a backend server's clock. */
export interface ClockReading {
  /** Time on the backend server's clock, in milliseconds since its boot. */
  readonly clockMs: number;
  /** Monotonic time in ms at which the reply with the reading arrived here. */
  readonly receivedAt: number;
}

/** The boot that a reading comes from: the clock's own, certainly a later one, or one of both. */
export type ReadingBoot = "same" | "later" | "unknown";

/**
 * Relates the clock of one boot of a backend server to the monotonic clock of this process, and
 * computes the time from which the server's lease has certainly lapsed.
 */
export class ServerClock {
  #reading: ClockReading | undefined;
  #latestDeadlineMs = 0;
  /** Monotonic time in ms at which the newest list of this boot was requested. */
  #listedAt: number | undefined;

  /** The newest reading; undefined before the first one. */
  get reading(): ClockReading | undefined {
    return this.#reading;
  }

  /** Records a reading. A reading older than the recorded one is ignored. */
  addReading(reading: ClockReading): void {
    const previous = this.#reading;
    if (previous === undefined || reading.clockMs >= previous.clockMs) this.#reading = reading;
  }

  /** Records that a list requested at `askedAt`, a monotonic time in ms, came from this boot. */
  listRead(askedAt: number): void {
    this.#listedAt = askedAt;
  }

  /**
   * Returns the boot of a reading that was requested when `before` was the newest one. A later boot began
   * after the last list of this boot was requested, so its clock shows less than the time since then.
   */
  bootOf({ clockMs, receivedAt }: ClockReading, before: ClockReading | undefined): ReadingBoot {
    if (before !== undefined && clockMs < before.clockMs) return "later";
    if (this.#listedAt === undefined) return "unknown";
    const longestAgeMs = (receivedAt - this.#listedAt) / SLOWEST_CLOCK_RATE + CLOCK_TOLERANCE_MS;
    return clockMs > longestAgeMs ? "same" : "unknown";
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
 * Monotonic time in ms from which leases of at most `ttlMs` have lapsed even on the slowest clock, if
 * none was granted after `grantedUntil`, a monotonic time in ms.
 */
export function leasesLapsedAt(grantedUntil: number, ttlMs: number): number {
  return grantedUntil + ttlMs / SLOWEST_CLOCK_RATE;
}
