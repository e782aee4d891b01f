/** Counts calls, or the bytes sent, separately for each entry instance. */
export class PerEntryCounts {
  readonly #counts = new Map<string, number>();

  add(entry: string, count: number): void {
    this.#counts.set(entry, (this.#counts.get(entry) ?? 0) + count);
  }

  clear(): void {
    this.#counts.clear();
  }

  /** Counts per second: the mean over all entry instances, and that of the busiest one. */
  figures(name: string, entries: number, seconds: number): readonly (readonly [string, number])[] {
    const counts = [...this.#counts.values()];
    const total = counts.reduce((sum, count) => sum + count, 0);
    return [
      [`${name} per entry`, total / entries / seconds],
      [`${name} busiest entry`, Math.max(0, ...counts) / seconds],
    ];
  }
}
