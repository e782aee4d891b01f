import type { ClockReading } from "../../../ports/clock.ts";

/** The clocks of an executor, as known from the readings in its replies. */
export class ExecutorClocks {
  #reading: ClockReading | undefined;
  /** Local monotonic time in ms at which the reading arrived. */
  #arrivedAt = 0;

  /** Replaces the reading by the one that arrived last, at the given local monotonic time in ms. */
  update(reading: ClockReading, arrivedAt: number): void {
    this.#reading = reading;
    this.#arrivedAt = arrivedAt;
  }

  /**
   * Estimates both clocks of the executor at a local monotonic time in ms. The executor reaches these times
   * up to one transit time of the reading earlier, so orders expire early rather than late. Undefined
   * before the first reading.
   */
  at(localTime: number): ClockReading | undefined {
    if (this.#reading === undefined) return undefined;
    const elapsedMs = localTime - this.#arrivedAt;
    const { now, wallTime } = this.#reading;
    return { now: now + elapsedMs, wallTime: wallTime + elapsedMs };
  }
}
