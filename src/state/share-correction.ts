/** Time in milliseconds in which a lasting difference is added once to the correction. */
const INTEGRATION_MS = 1000;
/** Bound of a correction as a part of the mean usage, so that no team is passed over for long. */
const MAX_PART = 0.5;
/** Corrections of teams without waiting work halve in this time, in milliseconds. */
const HALF_LIFE_MS = 2000;

/** Use of one team that has work waiting. */
export interface WaitingTeamUsage {
  readonly team: string;
  /** Running tasks in the whole fleet as known here. */
  readonly running: number;
  readonly weight: number;
}

/**
 * Sums up over time by how much each waiting team's usage differs from the mean. Comparing only
 * the present usage leaves a team above its share that is often the only one with work in a queue
 * or has much urgent work, since nothing takes that back afterwards.
 */
export class ShareCorrection {
  readonly #corrections = new Map<string, number>();
  #at: number | undefined;

  /** Takes the use of the teams that have work waiting, at a monotonic time in milliseconds. */
  update(waiting: readonly WaitingTeamUsage[], now: number): void {
    const elapsedMs = now - (this.#at ?? now);
    this.#at = now;
    const weights = waiting.reduce((sum, { weight }) => sum + weight, 0);
    const mean = waiting.reduce((sum, { running }) => sum + running, 0) / Math.max(weights, 1);
    const limit = mean * MAX_PART;
    for (const { team, running, weight } of waiting) {
      const difference = running / weight - mean;
      const sum = this.of(team) + (difference * elapsedMs) / INTEGRATION_MS;
      this.#corrections.set(team, Math.max(-limit, Math.min(limit, sum)));
    }
    this.#decay(new Set(waiting.map(({ team }) => team)), elapsedMs);
  }

  /** To be added to the team's running tasks per weight. */
  of(team: string): number {
    return this.#corrections.get(team) ?? 0;
  }

  #decay(waiting: ReadonlySet<string>, elapsedMs: number): void {
    const part = 2 ** (-elapsedMs / HALF_LIFE_MS);
    for (const [team, value] of this.#corrections) {
      if (waiting.has(team)) continue;
      if (Math.abs(value) < 0.001) this.#corrections.delete(team);
      else this.#corrections.set(team, value * part);
    }
  }
}
