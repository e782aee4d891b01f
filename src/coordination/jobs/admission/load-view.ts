import type { Clock } from "../../../ports/clock.ts";
import type { Log } from "../../../ports/log.ts";
import {
  decodeLoadReport,
  type LoadReport,
  type QueueLoad,
} from "../../../protocol/queue-loads.ts";
import type { Counters } from "../../ports.ts";

/** A report that is older than this time in ms says nothing about the present load. */
export const MAX_REPORT_AGE_MS = 1500;

/** Options of {@link LoadView}. */
export interface LoadViewOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly counters: Counters;
}

/** The newest report on the load of queues that this entry instance has received. */
export class LoadView {
  readonly #options: LoadViewOptions;
  #report: LoadReport | undefined;
  #receivedAt = -Infinity;

  constructor(options: LoadViewOptions) {
    this.#options = options;
  }

  /** Takes over an encoded report; false if it is malformed. Older reports are ignored. */
  receive(data: Uint8Array): boolean {
    const { clock, log, counters } = this.#options;
    const report = decodeLoadReport(data);
    if (report === undefined) {
      counters.event("load_report_malformed");
      log.warn({ bytes: data.length }, "load report is malformed");
      return false;
    }
    const { token = -Infinity, atMs = -Infinity } = this.#report ?? {};
    const newer = report.token > token || (report.token === token && report.atMs > atMs);
    if (!newer) return true;
    this.#report = report;
    this.#receivedAt = clock.now();
    return true;
  }

  /**
   * Age in ms of the newest report; Infinity without one. A report may have been under way for long,
   * and the clocks of two machines may differ, so both the time of day and the time since its receipt
   * must be short. A report from the future has no known age.
   */
  get ageMs(): number {
    const { clock } = this.#options;
    if (this.#report === undefined) return Infinity;
    const byTimeOfDay = clock.wallTime() - this.#report.atMs;
    if (byTimeOfDay < -MAX_REPORT_AGE_MS) return Infinity;
    return Math.max(0, byTimeOfDay, clock.now() - this.#receivedAt);
  }

  /** Load of a queue near its limit; undefined if it is not near it or not known. */
  queue(name: string): QueueLoad | undefined {
    if (this.ageMs > MAX_REPORT_AGE_MS) return undefined;
    return this.#report?.queues.find(({ queue }) => queue === name);
  }
}
