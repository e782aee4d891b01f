/** Time in milliseconds in which a constant difference is added once to the correction. */
const INTEGRATION_MS = 1000;
/** Maximum correction as a fraction of the mean usage, so that no team is skipped for long. */
const MAX_FRACTION = 0.5;
/** Half-life in milliseconds of the corrections of teams without waiting work. */
const HALF_LIFE_MS = 2000;

/** Usage of one team that has waiting work. */
export interface WaitingTeamUsage {
  readonly team: string;
  /** Running tasks in the whole fleet, as known to this entry instance. */
  readonly running: number;
  readonly weight: number;
}

/**
 * Integrates over time how much each waiting team's usage differs from the mean. If only current
 * usages were compared, a team that is often the only one with queued work, or that has much urgent
 * work, would stay above its share, because nothing would compensate for the excess later.
 */
export class ShareCorrection {
  readonly #corrections = new Map<string, number>();
  #at: number | undefined;

  /**
   * Updates the corrections with the usage of teams that have waiting work. `now` is a monotonic
   * time in milliseconds.
   */
  update(waiting: readonly WaitingTeamUsage[], now: number): void {
    const elapsedMs = now - (this.#at ?? now);
    this.#at = now;
    const weights = waiting.reduce((sum, { weight }) => sum + weight, 0);
    const mean = waiting.reduce((sum, { running }) => sum + running, 0) / Math.max(weights, 1);
    const limit = mean * MAX_FRACTION;
    for (const { team, running, weight } of waiting) {
      const difference = running / weight - mean;
      const sum = this.correctionFor(team) + (difference * elapsedMs) / INTEGRATION_MS;
      this.#corrections.set(team, Math.max(-limit, Math.min(limit, sum)));
    }
    this.#decay(new Set(waiting.map(({ team }) => team)), elapsedMs);
  }

  /** Correction to add to the team's running tasks per weight. */
  correctionFor(team: string): number {
    return this.#corrections.get(team) ?? 0;
  }

  #decay(waiting: ReadonlySet<string>, elapsedMs: number): void {
    const factor = 2 ** (-elapsedMs / HALF_LIFE_MS);
    for (const [team, value] of this.#corrections) {
      if (waiting.has(team)) continue;
      if (Math.abs(value) < 0.001) this.#corrections.delete(team);
      else this.#corrections.set(team, value * factor);
    }
  }
}
