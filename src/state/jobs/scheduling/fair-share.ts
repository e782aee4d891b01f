/** Fair shares of organisations in a pool that is short of capacity. */

/** Period in ms over which the use of a pool by an organisation is averaged. */
export const USAGE_WINDOW_MS = 1000;

/** What one organisation asks of a pool. */
export interface ShareClaim {
  /** Weight relative to the other organisations. */
  readonly weight: number;
  /** Cores that its running and waiting tasks would occupy if all of them ran. */
  readonly demand: number;
}

/**
 * Divides the cores of a pool by weighted max-min fairness and returns the share of each claim, in
 * cores and in the order of the claims. No share exceeds its demand; what it leaves goes to the
 * others by weight.
 */
export function divideCores(claims: readonly ShareClaim[], cores: number): readonly number[] {
  const shares = new Array<number>(claims.length).fill(0);
  const byNeed = claims.map((claim, index) => ({ index, ...claim }));
  byNeed.sort((a, b) => a.demand * b.weight - b.demand * a.weight);
  let left = Math.max(0, cores);
  let weights = byNeed.reduce((sum, { weight }) => sum + weight, 0);
  for (const { index, weight, demand } of byNeed) {
    const portion = weights > 0 ? (left * weight) / weights : 0;
    const share = Math.min(demand, portion);
    shares[index] = share;
    left -= share;
    weights -= weight;
  }
  return shares;
}

/**
 * Cores that organisations have occupied in the recent past. The present use alone would overlook
 * tasks that are shorter than the time between two rounds.
 */
export class RecentUsage {
  readonly #averages = new Map<string, number>();
  #updatedAt = -Infinity;

  /** Records the cores occupied now, by organisation, at a monotonic time in ms. */
  update(occupied: ReadonlyMap<string, number>, now: number): void {
    const kept = Math.exp((this.#updatedAt - now) / USAGE_WINDOW_MS);
    this.#updatedAt = now;
    for (const [organisation, average] of this.#averages) {
      const decayed = average * kept;
      // An organisation that has left the pool must not stay in memory.
      if (decayed < 0.001 && !occupied.has(organisation)) this.#averages.delete(organisation);
      else this.#averages.set(organisation, decayed);
    }
    for (const [organisation, cores] of occupied)
      this.#averages.set(
        organisation,
        (this.#averages.get(organisation) ?? 0) + cores * (1 - kept),
      );
  }

  /** Average cores occupied by an organisation. */
  of(organisation: string): number {
    return this.#averages.get(organisation) ?? 0;
  }
}
