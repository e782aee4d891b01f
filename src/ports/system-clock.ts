import { performance } from "node:perf_hooks";
import { Clock, type Timer } from "./clock.ts";

/** Maximum delay of `setTimeout`; with a longer one the callback would run immediately. */
const MAX_DELAY_MS = 2_147_483_647;

/** The clock of the running process. */
export class SystemClock extends Clock {
  now(): number {
    return performance.now();
  }

  wallTime(): number {
    return Date.now();
  }

  schedule(delayMs: number, callback: () => void): Timer {
    const timeout = setTimeout(callback, Math.min(Math.max(0, delayMs), MAX_DELAY_MS));
    return {
      cancel: () => {
        clearTimeout(timeout);
      },
    };
  }
}
