import { Clock, type Timer } from "../src/ports/clock.ts";

interface PendingTimer {
  readonly at: number;
  readonly order: number;
  callback: (() => void) | undefined;
}

/** Virtual clock on a binary heap: each timer costs O(log n) for n pending timers. */
export class HeapClock extends Clock {
  readonly #heap: PendingTimer[] = [];
  #now = 0;
  #order = 0;

  now(): number {
    return this.#now;
  }

  wallTime(): number {
    return 1_700_000_000_000 + this.#now;
  }

  schedule(delayMs: number, callback: () => void): Timer {
    // Multiples of 1/1024 ms add up without rounding errors, so no timer fires too early.
    const at = Math.ceil((this.#now + Math.max(0, delayMs)) * 1024) / 1024;
    const pending: PendingTimer = { at, order: this.#order++, callback };
    this.#push(pending);
    return {
      cancel: () => {
        pending.callback = undefined;
      },
    };
  }

  /** Runs all timers due by the given time in order, and lets promises settle after each. */
  async advanceTo(end: number): Promise<void> {
    await settlePromises();
    for (let first = this.#heap[0]; first !== undefined && first.at <= end; first = this.#heap[0]) {
      this.#pop();
      const { callback } = first;
      if (callback === undefined) continue;
      this.#now = first.at;
      callback();
      await settlePromises();
    }
    this.#now = end;
  }

  #push(pending: PendingTimer): void {
    const heap = this.#heap;
    let index = heap.length;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (precedes(heap[parent]!, pending)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = pending;
  }

  #pop(): void {
    const heap = this.#heap;
    const last = heap.pop()!;
    if (heap.length === 0) return;
    let index = 0;
    for (let child = 1; child < heap.length; child = 2 * index + 1) {
      if (child + 1 < heap.length && precedes(heap[child + 1]!, heap[child]!)) child++;
      if (precedes(last, heap[child]!)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
  }
}

function precedes(a: PendingTimer, b: PendingTimer): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}

function settlePromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
