/** Half-life in milliseconds of the weight of a start. */
const START_HALF_LIFE_MS = 5000;

/** A count that decays exponentially from its value at a monotonic time in milliseconds. */
interface DecayingCount {
  readonly at: number;
  readonly count: number;
}

/** Smoothed running tasks of each team on other entry instances, and recent starts on this one. */
export class TeamUsage {
  readonly #starts = new Map<string, DecayingCount>();
  #remote = new Map<string, number>();

  /**
   * Updates the sums of the peers' running tasks after a gossip round. The sums are smoothed over
   * about as many rounds as there are peers: if each entry instance reacted to the full difference
   * at once, all of them would favour the same team and overshoot in proportion to their number.
   */
  update(running: ReadonlyMap<string, number>, peers: number): void {
    const smoothing = 1 / (1 + peers);
    const next = new Map<string, number>();
    for (const team of new Set([...this.#remote.keys(), ...running.keys()])) {
      const previous = this.#remote.get(team) ?? 0;
      const value = previous + smoothing * ((running.get(team) ?? 0) - previous);
      if (value > 0.01) next.set(team, value);
    }
    this.#remote = next;
  }

  /** Records a start on this entry instance at a monotonic time in milliseconds. */
  recordStart(team: string, now: number): void {
    this.#starts.set(team, { at: now, count: this.recentStarts(team, now) + 1 });
  }

  /** Starts on this entry instance, weighted by exponential decay. */
  recentStarts(team: string, now: number): number {
    const starts = this.#starts.get(team);
    return starts === undefined ? 0 : starts.count * 2 ** ((starts.at - now) / START_HALF_LIFE_MS);
  }

  /** Smoothed number of the team's running tasks on other entry instances. */
  runningElsewhere(team: string): number {
    return this.#remote.get(team) ?? 0;
  }
}
