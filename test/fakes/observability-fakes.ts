import { Counters } from "../../src/coordination/ports.ts";
import type { Log } from "../../src/ports/log.ts";

/** Counters that tests can read. */
export class RecordedCounters extends Counters {
  readonly counts = new Map<string, number>();

  refusal(reason: string): void {
    this.event(`refusal_${reason}`);
  }

  retry(reason: string): void {
    this.event(`retry_${reason}`);
  }

  event(name: string): void {
    this.counts.set(name, this.count(name) + 1);
  }

  count(name: string): number {
    return this.counts.get(name) ?? 0;
  }

  duration(): void {
    // Durations are not asserted.
  }
}

/** A log that discards every message. */
export const NOOP_LOG: Log = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};
