import { build } from "hdr-histogram-js";
import type { Arrival } from "./scenario.ts";

/** Histogram of wait times in milliseconds, stored in µs with three significant digits. */
export class WaitHistogram {
  readonly #histogram = build({ numberOfSignificantValueDigits: 3 });

  add(ms: number): void {
    this.#histogram.recordValue(Math.max(1, Math.round(ms * 1000)));
  }

  get count(): number {
    return this.#histogram.totalCount;
  }

  figures(name: string): readonly (readonly [string, number])[] {
    const at = (percentile: number): number =>
      this.#histogram.getValueAtPercentile(percentile) / 1000;
    return [
      [`${name} p50 ms`, at(50)],
      [`${name} p99 ms`, at(99)],
      [`${name} p99.9 ms`, at(99.9)],
      [`${name} worst ms`, this.#histogram.maxValue / 1000],
    ];
  }
}

/** Outcomes of the requests that their callers cancelled. */
export class Cancellations {
  readonly #cancelledAt = new Map<number, number>();
  readonly #replies = new WaitHistogram();
  #startedAfterCancel = 0;
  #slotMsAfterCancel = 0;

  has(n: number): boolean {
    return this.#cancelledAt.has(n);
  }

  get count(): number {
    return this.#cancelledAt.size;
  }

  cancelled(n: number, now: number): void {
    this.#cancelledAt.set(n, now);
  }

  replied(n: number, now: number): void {
    const at = this.#cancelledAt.get(n);
    if (at !== undefined) this.#replies.add(now - at);
  }

  started(n: number): void {
    if (this.#cancelledAt.has(n)) this.#startedAfterCancel++;
  }

  ended(n: number, now: number, startedAt: number): void {
    const at = this.#cancelledAt.get(n);
    if (at !== undefined) this.#slotMsAfterCancel += now - Math.max(at, startedAt);
  }

  figures(): readonly (readonly [string, number])[] {
    if (this.#cancelledAt.size === 0) return [];
    return [
      ["cancelled", this.#cancelledAt.size],
      ...this.#replies.figures("cancel reply"),
      ["cancelled, started later", this.#startedAfterCancel],
      ["cancelled, slot seconds used later", this.#slotMsAfterCancel / 1000],
    ];
  }
}

/** Counts results, refusals and missed deadlines. */
export class Outcomes {
  readonly #refusals = new Map<string, number>();
  #answered = 0;
  #urgentAnswered = 0;
  #neverSucceedingRefused = 0;

  /** Counts a result that arrived by the deadline. */
  answered({ priority }: Arrival): void {
    this.#answered++;
    if (priority === "urgent") this.#urgentAnswered++;
  }

  refused({ neverSucceeds }: Arrival, reason: string): void {
    this.#refusals.set(reason, (this.#refusals.get(reason) ?? 0) + 1);
    if (neverSucceeds) this.#neverSucceedingRefused++;
  }

  /**
   * `due` are the requests that can succeed and were not cancelled; `neverSucceeding` is the number of
   * other requests that were not cancelled.
   */
  figures(
    due: readonly Arrival[],
    neverSucceeding: number,
  ): readonly (readonly [string, number])[] {
    const urgent = due.filter(({ priority }) => priority === "urgent").length;
    return [
      ["answered by deadline %", (100 * this.#answered) / Math.max(1, due.length)],
      ["deadlines missed", due.length - this.#answered],
      ["urgent deadlines missed", urgent - this.#urgentAnswered],
      ...(neverSucceeding === 0 ? [] : [["jobs that never succeed", neverSucceeding] as const]),
      ...(neverSucceeding === 0
        ? []
        : [["of these refused", this.#neverSucceedingRefused] as const]),
      ...[...this.#refusals].map(([reason, count]) => [`refused ${reason}`, count] as const),
    ];
  }
}
