/** How long the wait stays below half before borrowing ends; the design allows 10 s in all. */
const RETURN_AFTER_MS = 5000;

/** Options of {@link Lending}. Times are in milliseconds. */
export interface LendingOptions {
  readonly lendWaitMs: number;
  readonly lendAfterMs: number;
}

/** A pool's expected wait at a time; all in milliseconds. */
export interface ExpectedWait {
  readonly waitMs: number;
  /** `lendWaitMs` with the weights applied. */
  readonly borrowWaitMs: number;
  readonly now: number;
}

interface PoolState {
  overSince: number | undefined;
  belowSince: number | undefined;
  borrowing: boolean;
}

/** Decides which pools borrow slots of the spare pool; starts and stops at different waits. */
export class Lending {
  readonly #options: LendingOptions;
  readonly #pools = new Map<string, PoolState>();

  constructor(options: LendingOptions) {
    this.#options = options;
  }

  /** Takes a pool's expected wait and the wait beyond which it borrows. */
  update(pool: string, { waitMs, borrowWaitMs, now }: ExpectedWait): void {
    const { lendWaitMs, lendAfterMs } = this.#options;
    const state = this.#state(pool);
    state.overSince = waitMs > borrowWaitMs ? (state.overSince ?? now) : undefined;
    state.belowSince = waitMs < lendWaitMs / 2 ? (state.belowSince ?? now) : undefined;
    if (state.overSince !== undefined && now - state.overSince >= lendAfterMs)
      state.borrowing = true;
    if (state.belowSince !== undefined && now - state.belowSince >= RETURN_AFTER_MS)
      state.borrowing = false;
  }

  borrowing(pool: string): boolean {
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
