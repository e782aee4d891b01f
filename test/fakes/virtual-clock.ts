import { Clock, type Timer } from "../../src/ports/clock.ts";

interface Pending {
  readonly at: number;
  readonly order: number;
  readonly callback: () => void;
}

/** A clock that stands still until it is advanced, so that tests decide what time passes. */
export class VirtualClock extends Clock {
  #now = 0;
  #order = 0;
  readonly #start: number;
  readonly #pending = new Set<Pending>();

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
    // Times are multiples of 1/1024 ms, so that sums and differences are exact. Rounding could
    // otherwise wake a waiter just before its time with a rest too small to advance the clock.
    const at = Math.ceil((this.#now + Math.max(0, delayMs)) * 1024) / 1024;
    const pending = { at, order: this.#order++, callback };
    this.#pending.add(pending);
    return { cancel: () => this.#pending.delete(pending) };
  }

  /** Runs every timer due within the given time, in order, and lets promises settle between. */
  async advance(ms: number): Promise<void> {
    const end = this.#now + ms;
    await settle();
    for (let next = this.#nextDue(end); next !== undefined; next = this.#nextDue(end)) {
      this.#pending.delete(next);
      this.#now = next.at;
      next.callback();
      await settle();
    }
    this.#now = end;
  }

  /** Advances in steps until the condition holds; throws after `limitMs`. */
  async until(condition: () => boolean, limitMs = 60_000, stepMs = 10): Promise<void> {
    const end = this.#now + limitMs;
    await settle();
    while (!condition()) {
      if (this.#now >= end) throw new Error(`condition not met within ${limitMs} ms`);
      await this.advance(stepMs);
    }
  }

  #nextDue(end: number): Pending | undefined {
    let best: Pending | undefined;
    for (const pending of this.#pending) {
      if (pending.at > end) continue;
      if (
        best === undefined ||
        pending.at < best.at ||
        (pending.at === best.at && pending.order < best.order)
      )
        best = pending;
    }
    return best;
  }
}

/** Resolves after every pending promise callback has run. */
export function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Waits for a promise while virtual time passes. */
export async function onClock<T>(
  clock: VirtualClock,
  promise: Promise<T>,
  limitMs = 60_000,
): Promise<T> {
  let done = false;
  const watched = promise.finally(() => {
    done = true;
  });
  watched.catch(() => undefined);
  await clock.until(() => done, limitMs);
  return watched;
}
