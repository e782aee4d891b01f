import type { ClockReading } from "../../../ports/clock.ts";

/** The clocks of an executor, as known from the readings in its replies. */
export class ExecutorClocks {
  #reading: ClockReading | undefined;
  /** Local monotonic time in ms at which the reading arrived. */
  #arrivedAt = 0;

  /** Replaces the reading by a newer one, which arrived at the given local monotonic time. */
  update(reading: ClockReading, arrivedAt: number): void {
    this.#reading = reading;
    this.#arrivedAt = arrivedAt;
  }

  /**
   * Times on both clocks of the executor that it reaches at the given local monotonic time, or
   * later by the time that the reading was on its way. Undefined before the first reading.
   */
  at(localTime: number): ClockReading | undefined {
    if (this.#reading === undefined) return undefined;
    const elapsedMs = localTime - this.#arrivedAt;
    const { now, wallTime } = this.#reading;
    return { now: now + elapsedMs, wallTime: wallTime + elapsedMs };
  }
}
