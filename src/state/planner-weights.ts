/** Rules that turn the weights of `[weights]` into limits; equal weights change nothing. */
import type { ConfigDocument } from "../protocol/config-document.ts";
import type { Explanation } from "../protocol/entry-status.ts";
import type { Figures } from "./fleet-situation.ts";
import type { LendingOptions } from "./lending.ts";

type Weights = ConfigDocument["weights"];

/** A limit with the weights behind it, named as in a template. */
export interface WeightedLimit {
  readonly limit: number;
  readonly figures: Figures;
}

/**
 * Share of the fleet that may be on its way between pools at once, at equal weights of roll-out
 * time and moves; at least two servers.
 */
const MOVING_SHARE = 0.05;
/** Weights change the share at most by this factor. */
const MOVING_FACTOR_LIMIT = 4;
/** Spare slots are lent within this time, whatever the weights. */
const LENT_WITHIN_MS = 2000;
/** Two reviews of waits, which are up to 50 ms apart while anything is queued. */
const REVIEW_MARGIN_MS = 100;
/**
 * Weights change the wait at which a pool borrows at most by this factor. Borrowing ends below half
 * of `lend_wait_ms`, so an earlier start would be below the wait at which it ends.
 */
const LEND_FACTOR_LIMIT = 2;

/** More moves at once shorten a roll-out, and more of them turn out to be needless. */
export function movingLimit(servers: number, weights: Weights): WeightedLimit {
  const { rolloutTime, moves } = weights;
  const factor = clamp(ratio(rolloutTime, moves), MOVING_FACTOR_LIMIT);
  const limit = Math.max(2, Math.floor(servers * MOVING_SHARE * factor));
  return { limit, figures: { weight_rollout_time: rolloutTime, weight_moves: moves } };
}

/** Expected wait in milliseconds beyond which a pool borrows; earlier brings teams to their share. */
export function borrowWait(
  { lendWaitMs, lendAfterMs }: LendingOptions,
  { closenessToShare, bufferCost }: Weights,
): WeightedLimit {
  const wait = lendWaitMs * clamp(ratio(bufferCost, closenessToShare), LEND_FACTOR_LIMIT);
  const latest = Math.max(lendWaitMs, LENT_WITHIN_MS - lendAfterMs - REVIEW_MARGIN_MS);
  return {
    limit: Math.min(wait, latest),
    figures: { weight_closeness_to_share: closenessToShare, weight_buffer_cost: bufferCost },
  };
}

/** What unequal weights change, for operators; empty at equal weights. */
export function explainWeights(
  config: ConfigDocument,
  lending: LendingOptions,
  at: number,
): readonly Explanation[] {
  const borrow = borrowWait(lending, config.weights);
  if (new Set(Object.values(borrow.figures)).size === 1) return [];
  const text = `pools borrow at an expected wait of ${borrow.limit} ms where lend_wait_ms is ${lending.lendWaitMs}`;
  return [{ at, rule: "weights", text, figures: borrow.figures }];
}

/** One for equal weights, also if both are 0. */
function ratio(weight: number, other: number): number {
  if (weight === other) return 1;
  return other === 0 ? Infinity : weight / other;
}

function clamp(factor: number, limit: number): number {
  return Math.min(limit, Math.max(1 / limit, factor));
}
