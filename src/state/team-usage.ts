/** Running tasks of each team at the other entries, smoothed. */
export class TeamUsage {
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

  /** Running tasks elsewhere. */
  remote(team: string): number {
    return this.#remote.get(team) ?? 0;
  }
}
