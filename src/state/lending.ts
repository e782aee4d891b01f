/**
 * Time in milliseconds for which the wait must stay below half of `lendWaitMs` before borrowing
 * ends. Borrowed slots must be released within 10 s in all.
 */
const STOP_BORROWING_AFTER_MS = 5000;

/** Options of {@link Lending}. Times are in milliseconds. */
export interface LendingOptions {
  /** Expected wait above which a pool borrows if the planner weights are equal. */
  readonly lendWaitMs: number;
  /** Time for which the wait must stay above that value before borrowing starts. */
  readonly lendAfterMs: number;
}

/** Expected wait of a pool at one time, in milliseconds. */
export interface ExpectedWait {
  readonly waitMs: number;
  /** Wait above which the pool borrows: `lendWaitMs` with the planner weights applied. */
  readonly borrowWaitMs: number;
  /** Monotonic time. */
  readonly now: number;
}

interface PoolState {
  overSince: number | undefined;
  belowSince: number | undefined;
  borrowing: boolean;
}

/**
 * Decides which pools borrow slots of the spare pool. Uses hysteresis: borrowing starts at a longer
 * expected wait than it stops at.
 */
export class Lending {
  readonly #options: LendingOptions;
  readonly #pools = new Map<string, PoolState>();

  constructor(options: LendingOptions) {
    this.#options = options;
  }

  /** Updates a pool with its current expected wait. */
  update(pool: string, { waitMs, borrowWaitMs, now }: ExpectedWait): void {
    const { lendWaitMs, lendAfterMs } = this.#options;
    const state = this.#state(pool);
    state.overSince = waitMs > borrowWaitMs ? (state.overSince ?? now) : undefined;
    state.belowSince = waitMs < lendWaitMs / 2 ? (state.belowSince ?? now) : undefined;
    if (state.overSince !== undefined && now - state.overSince >= lendAfterMs)
      state.borrowing = true;
    if (state.belowSince !== undefined && now - state.belowSince >= STOP_BORROWING_AFTER_MS)
      state.borrowing = false;
  }

  isBorrowing(pool: string): boolean {
    return this.#pools.get(pool)?.borrowing ?? false;
  }

  #state(pool: string): PoolState {
    let state = this.#pools.get(pool);
    if (state === undefined) {
      state = { overSince: undefined, belowSince: undefined, borrowing: false };
      this.#pools.set(pool, state);
    }
    return state;
  }
}
