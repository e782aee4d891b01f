/** Time in milliseconds after which a start counts half. */
const START_HALF_LIFE_MS = 5000;

interface Starts {
  readonly at: number;
  readonly count: number;
}

/** Running tasks of each team at the other entries, smoothed, and recent starts here. */
export class TeamUsage {
  readonly #starts = new Map<string, Starts>();
  #remote = new Map<string, number>();

  /**
   * Takes the sums of the peers' running tasks after a round of gossip. The sums are smoothed over
   * about as many rounds as there are peers: if each entry reacted to the full difference at once,
   * all of them would favour the same team together and overshoot by the number of entries.
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

  /** Counts a start here at a monotonic time in milliseconds. */
  started(team: string, now: number): void {
    this.#starts.set(team, { at: now, count: this.recentStarts(team, now) + 1 });
  }

  /** Starts here, each counting less the longer ago it was. */
  recentStarts(team: string, now: number): number {
    const starts = this.#starts.get(team);
    return starts === undefined ? 0 : starts.count * 2 ** ((starts.at - now) / START_HALF_LIFE_MS);
  }

  /** Running tasks elsewhere. */
  remote(team: string): number {
    return this.#remote.get(team) ?? 0;
  }
}
