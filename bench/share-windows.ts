import type { TeamPlan } from "./site.ts";

/** Running and queued requests of one team at one sample. */
export interface TeamUse {
  readonly running: number;
  readonly queued: number;
}

/**
 * Measures the deviation of each team from its share over windows of one length, in percent of the
 * share. A window counts only if the fleet was full at each of its samples: every team had queued
 * requests, and requests waited in every pool.
 */
export class ShareWindows {
  readonly #windowMs: number;
  readonly #teams: readonly TeamPlan[];
  readonly #used: Map<string, number>;
  readonly #distances: Map<string, number[]>;
  #windowStart: number;
  #windows = 0;

  constructor(options: {
    readonly windowMs: number;
    readonly teams: readonly TeamPlan[];
    readonly from: number;
  }) {
    this.#windowMs = options.windowMs;
    this.#teams = options.teams;
    this.#windowStart = options.from;
    this.#used = new Map(options.teams.map(({ name }) => [name, 0]));
    this.#distances = new Map(options.teams.map(({ name }) => [name, []]));
  }

  /** Adds one sample. `full`: requests wait in every pool, and every team can reach its share. */
  sample(now: number, use: ReadonlyMap<string, TeamUse>, full: boolean): void {
    if (now <= this.#windowStart) return;
    if (!full || [...use.values()].some(({ queued }) => queued === 0)) {
      this.#startWindow(now);
      return;
    }
    for (const [name, { running }] of use) this.#used.set(name, this.#used.get(name)! + running);
    if (now - this.#windowStart < this.#windowMs) return;
    this.#closeWindow();
    this.#startWindow(now);
  }

  /** Number of windows, and mean and maximum deviation by team if there is any window. */
  figures(): readonly (readonly [string, number])[] {
    const span = `${this.#windowMs / 1000} s`;
    const found: (readonly [string, number])[] = [[`share windows of ${span}`, this.#windows]];
    if (this.#windows === 0) return found;
    const worst = [...this.#distances.values()].map((distances) => Math.max(...distances));
    found.push([`share distance ${span} worst team %`, Math.max(...worst)]);
    for (const [name, distances] of this.#distances) {
      const sum = distances.reduce((total, distance) => total + distance, 0);
      found.push([`share distance ${span} ${name} mean %`, sum / distances.length]);
      found.push([`share distance ${span} ${name} worst %`, Math.max(...distances)]);
    }
    return found;
  }

  #closeWindow(): void {
    const total = [...this.#used.values()].reduce((sum, used) => sum + used, 0);
    if (total === 0) return;
    const shares = this.#teams.reduce((sum, { share }) => sum + share, 0);
    for (const { name, share } of this.#teams) {
      const part = this.#used.get(name)! / total;
      this.#distances.get(name)!.push(100 * Math.abs(part / (share / shares) - 1));
    }
    this.#windows++;
  }

  #startWindow(now: number): void {
    this.#windowStart = now;
    for (const name of this.#used.keys()) this.#used.set(name, 0);
  }
}
