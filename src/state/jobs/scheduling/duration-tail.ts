/** Decay of earlier ratios per new one; about the last 500 count, since tails are rare. */
const DECAY = 0.998;
/** Width of a bin in natural logarithms of ratios. */
const BIN_WIDTH = 0.2;
/** Logarithm at which the first bin begins; lower ratios count in it. */
const LOWEST_LOG = -2;
/** Number of bins; higher ratios than e^4 count in the last one. */
const BINS = 30;
/** Weight of the ratios from which quantiles are used; fewer say too little about rare durations. */
const MIN_WEIGHT = 50;
/** Part of the ratios that lies within the tail. The rest may come from faults. */
const TAIL_QUANTILE = 0.995;
/** Largest ratio that counts as part of a tail; a queue's longer runs are judged as before. */
const MAX_TAIL_RATIO = 20;

/**
 * Distribution of the ratio of actual to expected durations of one queue, as a histogram of
 * logarithms in which old ratios decay. A standard deviation does not describe a queue in which three
 * of a hundred tasks take seven times as long as the others.
 */
export class DurationTail {
  readonly #weights = new Array<number>(BINS).fill(0);
  #weight = 0;

  /** True once enough ratios were recorded for statements about rare durations. */
  get known(): boolean {
    return this.#weight >= MIN_WEIGHT;
  }

  /** Records the ratio of an actual to the expected duration, above 0. */
  observe(ratio: number): void {
    for (let bin = 0; bin < BINS; bin++) this.#weights[bin] = this.#at(bin) * DECAY;
    this.#weights[binOf(ratio)] = this.#at(binOf(ratio)) + 1;
    this.#weight = this.#weight * DECAY + 1;
  }

  /** Ratio that the given part of the runs, between 0 and 1, do not exceed; 1 while unknown. */
  quantile(part: number): number {
    if (!this.known) return 1;
    let below = 0;
    for (let bin = 0; bin < BINS; bin++) {
      const inside = this.#at(bin);
      if (inside > 0 && below + inside >= part * this.#weight) {
        // Interpolated, so that the quantile does not jump by a bin's width between two ratios.
        const within = Math.max(0, part * this.#weight - below) / inside;
        return Math.exp(LOWEST_LOG + (bin + within) * BIN_WIDTH);
      }
      below += inside;
    }
    return Math.exp(LOWEST_LOG + BINS * BIN_WIDTH);
  }

  /** Ratio up to which a duration is usual for some tasks of the queue; 0 while unknown. */
  get limit(): number {
    if (!this.known) return 0;
    return Math.min(MAX_TAIL_RATIO, this.quantile(TAIL_QUANTILE) * Math.exp(BIN_WIDTH));
  }

  /**
   * Probability that a run that is observed at a random time while it runs has at least this ratio.
   * It is higher than the part of all runs, because long runs are observed for longer.
   */
  shareOfRunningFrom(ratio: number): number {
    if (!this.known) return 0;
    const all = this.#sumFrom(0).time;
    return all === 0 ? 0 : this.#sumFrom(ratio).time / all;
  }

  /** Bins with a weight, as pairs of index and weight in one flat list. */
  toNumbers(): readonly number[] {
    return this.#weights.flatMap((weight, bin) =>
      weight >= 0.01 ? [bin, Math.round(weight * 100) / 100] : [],
    );
  }

  /** Replaces the histogram by one that {@link toNumbers} returned. Unknown bins are ignored. */
  restore(numbers: readonly number[]): void {
    this.#weights.fill(0);
    for (let index = 0; index + 1 < numbers.length; index += 2) {
      const [bin = -1, weight = 0] = numbers.slice(index, index + 2);
      if (Number.isInteger(bin) && bin >= 0 && bin < BINS && weight > 0)
        this.#weights[bin] = Math.min(weight, 1 / (1 - DECAY));
    }
    this.#weight = this.#weights.reduce((sum, weight) => sum + weight, 0);
  }

  /** Weight of the ratios from `ratio` on and their sum of ratios. */
  #sumFrom(ratio: number): { readonly weight: number; readonly time: number } {
    let weight = 0;
    let time = 0;
    for (let bin = ratio <= 0 ? 0 : binOf(ratio); bin < BINS; bin++) {
      weight += this.#at(bin);
      time += this.#at(bin) * Math.exp(LOWEST_LOG + (bin + 0.5) * BIN_WIDTH);
    }
    return { weight, time };
  }

  #at(bin: number): number {
    return this.#weights[bin] ?? 0;
  }
}

function binOf(ratio: number): number {
  const bin = Math.floor((Math.log(ratio) - LOWEST_LOG) / BIN_WIDTH);
  return Math.min(BINS - 1, Math.max(0, bin));
}
