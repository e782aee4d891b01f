import type { LoadReport } from "../../../protocol/queue-loads.ts";
import type { MeasuredLoad } from "./queue-load.ts";

/** A queue begins to reject above this part of its limit. */
const BEGIN_REJECTING = 1;
/** A queue that rejects takes every job again below this part of its limit. */
const END_REJECTING = 0.8;
/** Queues above this part of their limit are reported to the entry instances. */
const NEAR_LIMIT = 0.7;

/**
 * Decides which queues reject and which are worth a report. Two thresholds keep a queue at its limit
 * from changing between accepting and rejecting with every measurement.
 */
export class RejectionHysteresis {
  #rejecting: ReadonlySet<string> = new Set();
  #reported = false;

  /** True if the last report named a queue, so that its end has to be reported. */
  get reported(): boolean {
    return this.#reported;
  }

  /** Returns the queues to report; undefined if no report is needed. */
  update(loads: readonly MeasuredLoad[]): LoadReport["queues"] | undefined {
    const near = loads.flatMap((load) => {
      const part = load.limitMs > 0 ? load.endMs / load.limitMs : 0;
      const threshold = this.#rejecting.has(load.queue) ? END_REJECTING : BEGIN_REJECTING;
      const rejecting = part > threshold;
      return part > NEAR_LIMIT || rejecting ? [{ ...load, rejecting }] : [];
    });
    const names = near.filter(({ rejecting }) => rejecting).map(({ queue }) => queue);
    this.#rejecting = new Set(names);
    // One report without queues ends the former one at once, instead of when it is outdated.
    const needed = near.length > 0 || this.#reported;
    this.#reported = near.length > 0;
    return needed ? near : undefined;
  }
}
