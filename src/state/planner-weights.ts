/** Derives limits from the weights in `[weights]`. Equal weights leave the limits unchanged. */
import type { ConfigDocument } from "../protocol/config-document.ts";
import type { Explanation } from "../protocol/entry-status.ts";
import type { Figures } from "./fleet-situation.ts";
import type { LendingOptions } from "./lending.ts";

type Weights = ConfigDocument["weights"];

/** A limit and the weights it is derived from, named as in a template. */
export interface WeightedLimit {
  readonly limit: number;
  readonly figures: Figures;
}

/**
 * Fraction of the fleet that may move between pools at the same time, at equal weights of roll-out
 * time and moves. The minimum is two servers.
 */
const MOVING_FRACTION = 0.05;
/** Maximum factor by which weights change this fraction, in both directions. */
const MOVING_FACTOR_LIMIT = 4;
/** Spare slots are lent within this time in milliseconds for any weights. */
const MAX_LEND_DELAY_MS = 2000;
/**
 * Two review intervals in milliseconds. Waits are reviewed at least every 50 ms if work is queued.
 */
const REVIEW_MARGIN_MS = 100;
/**
 * Maximum factor by which weights change the wait at which a pool borrows. Borrowing ends below
 * half of `lend_wait_ms`, so with a larger factor it could start below the wait at which it ends.
 */
const LEND_FACTOR_LIMIT = 2;

/**
 * Maximum number of concurrent moves between pools. A higher limit shortens a roll-out but leads to
 * more moves that turn out to be unneeded.
 */
export function concurrentMoveLimit(servers: number, weights: Weights): WeightedLimit {
  const { rolloutTime, moves } = weights;
  const factor = clamp(ratio(rolloutTime, moves), MOVING_FACTOR_LIMIT);
  const limit = Math.max(2, Math.floor(servers * MOVING_FRACTION * factor));
  return { limit, figures: { weight_rollout_time: rolloutTime, weight_moves: moves } };
}

/**
 * Expected wait in milliseconds above which a pool borrows. Earlier borrowing keeps teams closer to
 * their shares.
 */
export function borrowWait(
  { lendWaitMs, lendAfterMs }: LendingOptions,
  { closenessToShare, bufferCost }: Weights,
): WeightedLimit {
  const wait = lendWaitMs * clamp(ratio(bufferCost, closenessToShare), LEND_FACTOR_LIMIT);
  const latest = Math.max(lendWaitMs, MAX_LEND_DELAY_MS - lendAfterMs - REVIEW_MARGIN_MS);
  return {
    limit: Math.min(wait, latest),
    figures: { weight_closeness_to_share: closenessToShare, weight_buffer_cost: bufferCost },
  };
}

/**
 * Explains how the weights of closeness to share and of buffer cost change the wait at which pools
 * borrow. Empty if these two weights are equal.
 */
export function explainBorrowWait(
  config: ConfigDocument,
  lending: LendingOptions,
  at: number,
): readonly Explanation[] {
  const borrow = borrowWait(lending, config.weights);
  if (new Set(Object.values(borrow.figures)).size === 1) return [];
  const text = `pools borrow at an expected wait of ${borrow.limit} ms where lend_wait_ms is ${lending.lendWaitMs}`;
  return [{ at, rule: "weights", text, figures: borrow.figures }];
}

/** Ratio of two weights; 1 if they are equal, even if both are 0. */
function ratio(weight: number, other: number): number {
  if (weight === other) return 1;
  return other === 0 ? Infinity : weight / other;
}

function clamp(factor: number, limit: number): number {
  return Math.min(limit, Math.max(1 / limit, factor));
}
