/** A pending callback of a {@link Clock}. */
export interface Timer {
  /** Cancels the callback. Does nothing if it has already run. */
  cancel(): void;
}

/** One instant on both clocks: monotonic time, and time of day since the Unix epoch, in milliseconds. */
export interface ClockReading {
  readonly now: number;
  readonly wallTime: number;
}

/** Source of time and timers, injected so that code can also run on a virtual clock. */
export abstract class Clock {
  /** Monotonic time in milliseconds, for durations and leases. */
  abstract now(): number;

  /** Wall-clock time in milliseconds since the Unix epoch, for ids and stored documents. */
  abstract wallTime(): number;

  /** Reads both clocks. */
  read(): ClockReading {
    return { now: this.now(), wallTime: this.wallTime() };
  }

  /** Runs the callback once after the delay. */
  abstract schedule(delayMs: number, callback: () => void): Timer;

  /** Resolves after the delay, or at once when the signal aborts. Never rejects. */
  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted === true) return Promise.resolve();
    return new Promise((resolve) => {
      const finish = (): void => {
        timer.cancel();
        signal?.removeEventListener("abort", finish);
        resolve();
      };
      const timer = this.schedule(delayMs, finish);
      signal?.addEventListener("abort", finish);
    });
  }
}
