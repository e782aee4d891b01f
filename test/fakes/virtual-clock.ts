import { Clock, type Timer } from "../../src/ports/clock.ts";

interface PendingTimer {
  readonly at: number;
  readonly order: number;
  readonly callback: () => void;
}

/** A clock whose time passes only when a test advances it. */
export class VirtualClock extends Clock {
  #now = 0;
  #order = 0;
  readonly #start: number;
  readonly #pending = new Set<PendingTimer>();

  constructor({ startWallTimeMs = 1_700_000_000_000 }: { readonly startWallTimeMs?: number } = {}) {
    super();
    this.#start = startWallTimeMs;
  }

  now(): number {
    return this.#now;
  }

  wallTime(): number {
    return this.#start + this.#now;
  }

  schedule(delayMs: number, callback: () => void): Timer {
    // Times are multiples of 1/1024 ms, so that sums and differences are exact. With rounding, a
    // timer could fire just before its time, with a remainder too small to advance the clock.
    const at = Math.ceil((this.#now + Math.max(0, delayMs)) * 1024) / 1024;
    const pending = { at, order: this.#order++, callback };
    this.#pending.add(pending);
    return { cancel: () => this.#pending.delete(pending) };
  }

  /** Runs every timer due within `ms`, in order. Promises settle after each timer. */
  async advance(ms: number): Promise<void> {
    const end = this.#now + ms;
    await flushPromises();
    for (let next = this.#nextDue(end); next !== undefined; next = this.#nextDue(end)) {
      this.#pending.delete(next);
      this.#now = next.at;
      next.callback();
      await flushPromises();
    }
    this.#now = end;
  }

  /** Advances in steps until the condition holds. Throws after `limitMs` of virtual time. */
  async until(condition: () => boolean, limitMs = 60_000, stepMs = 10): Promise<void> {
    const end = this.#now + limitMs;
    await flushPromises();
    while (!condition()) {
      if (this.#now >= end) throw new Error(`condition not met within ${limitMs} ms`);
      await this.advance(stepMs);
    }
  }

  #nextDue(end: number): PendingTimer | undefined {
    let earliest: PendingTimer | undefined;
    for (const pending of this.#pending) {
      if (pending.at > end) continue;
      if (
        earliest === undefined ||
        pending.at < earliest.at ||
        (pending.at === earliest.at && pending.order < earliest.order)
      )
        earliest = pending;
    }
    return earliest;
  }
}

/** Resolves after every pending promise callback has run. */
export function flushPromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Advances virtual time until the promise settles. Throws after `limitMs` of virtual time. */
export async function advanceUntilSettled<T>(
  clock: VirtualClock,
  promise: Promise<T>,
  limitMs = 60_000,
): Promise<T> {
  let done = false;
  const settled = promise.finally(() => {
    done = true;
  });
  settled.catch(() => undefined);
  await clock.until(() => done, limitMs);
  return settled;
}
