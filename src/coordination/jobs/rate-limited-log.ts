import type { Clock } from "../../ports/clock.ts";
import type { Log } from "../../ports/log.ts";

type Level = "debug" | "info" | "warn" | "error";

/** Maximum lines per second with the same message. Further lines are only counted. */
const LINES_PER_SECOND = 40;
const WINDOW_MS = 1000;

interface Window {
  begunAt: number;
  written: number;
  suppressed: number;
}

/**
 * Limits the number of log lines per message, so that logging does not use too much CPU time during
 * a burst of requests. The next line with the message has the number of suppressed lines.
 */
export class RateLimitedLog {
  readonly #clock: Clock;
  readonly #log: Log;
  readonly #linesPerSecond: number;
  readonly #windows = new Map<string, Window>();

  constructor(clock: Clock, log: Log, linesPerSecond = LINES_PER_SECOND) {
    this.#clock = clock;
    this.#log = log;
    this.#linesPerSecond = linesPerSecond;
  }

  /** The rate-limited log. Errors are never suppressed. */
  get log(): Log {
    return {
      debug: this.#writer("debug"),
      info: this.#writer("info"),
      warn: this.#writer("warn"),
      error: this.#log.error.bind(this.#log),
    };
  }

  #writer(level: Level): Log["info"] {
    return (fields: unknown, msg?: string) => {
      const kind = msg ?? String(fields);
      const window = this.#window(kind);
      if (window.written >= this.#linesPerSecond) {
        window.suppressed++;
        return;
      }
      window.written++;
      const { suppressed } = window;
      window.suppressed = 0;
      const extra = suppressed === 0 ? {} : { suppressed };
      this.#log[level]({ ...(fields as object), ...extra }, msg);
    };
  }

  #window(kind: string): Window {
    const now = this.#clock.now();
    const known = this.#windows.get(kind);
    if (known !== undefined && now - known.begunAt < WINDOW_MS) return known;
    const window = { begunAt: now, written: 0, suppressed: known?.suppressed ?? 0 };
    this.#windows.set(kind, window);
    return window;
  }
}
