import type { PoolConfig } from "../protocol/config-document.ts";
import { Lending, type LendingOptions } from "../state/lending.ts";
import { borrowWait } from "../state/planner-weights.ts";
import type { ConfigView } from "./ports.ts";

/** Options of {@link PoolLending}. */
export interface PoolLendingOptions extends LendingOptions {
  readonly config: ConfigView;
}

/** Decides which slots a pool's work may use: its own, and the spare pool's while it borrows. */
export class PoolLending {
  readonly #config: ConfigView;
  readonly #lending: Lending;

  readonly #options: LendingOptions;

  constructor({ config, ...lending }: PoolLendingOptions) {
    this.#config = config;
    this.#options = lending;
    this.#lending = new Lending(lending);
  }

  /** Updates whether the pool borrows, from its current wait in milliseconds. */
  updatePool(pool: string, waitMs: number, now: number): void {
    const weights = this.#config.current()?.weights;
    const { lendWaitMs } = this.#options;
    const borrowWaitMs = weights ? borrowWait(this.#options, weights).limit : lendWaitMs;
    this.#lending.update(pool, { waitMs, borrowWaitMs, now });
  }

  /** The pool itself first, then the spare pool if the pool borrows from it. */
  poolsFor(pool: string): readonly string[] {
    if (!this.#lending.isBorrowing(pool)) return [pool];
    const spare = this.#spareOf(pool);
    return spare === undefined || spare === pool ? [pool] : [pool, spare];
  }

  /** True while any pool borrows slots. */
  isAnyPoolBorrowing(): boolean {
    return this.poolsInDispatchOrder().some((pool) => this.#lending.isBorrowing(pool));
  }

  /** Configured pools, spare pools first, so that their own work precedes that of borrowers. */
  poolsInDispatchOrder(): readonly string[] {
    const pools = this.#config.current()?.pools ?? [];
    return [...pools.filter(isSpare), ...pools.filter((pool) => !isSpare(pool))].map(
      (pool) => pool.name,
    );
  }

  #spareOf(pool: string): string | undefined {
    const pools = this.#config.current()?.pools ?? [];
    const group = pools.find((each) => each.name === pool)?.group;
    return pools.find((each) => each.spare && each.group === group)?.name;
  }
}

function isSpare(pool: PoolConfig): boolean {
  return pool.spare;
}
