import { performance } from "node:perf_hooks";
import { Clock, type Timer } from "./clock.ts";

/** Longest delay that `setTimeout` takes; a longer one would fire at once. */
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
