/** Learns actual task durations from completed tasks, because declared durations are very inaccurate. */
import { DurationTail } from "./duration-tail.ts";

/** Decay of earlier observations per new duration; about the last 100 durations count. */
const DECAY = 0.99;
/** Weight, in durations, of the prior that declarations are right on average. */
const PRIOR_DURATIONS = 4;
/** Weight of the prior spread, since the first durations often come from one step and agree. */
const PRIOR_SPREAD_DURATIONS = 8;
/** Prior variance of the natural logarithm of actual over declared durations. */
const PRIOR_VARIANCE = 1.3;
/** Damps the slope while it is derived from declarations that hardly differ. */
const PRIOR_DECLARED_VARIANCE = 2;
/** Standard errors of the mean logarithm by which {@link DurationModel.leastMs} is lower. */
const LEAST_STANDARD_ERRORS = 2;
/** Number of new durations after which values derived from the model are recomputed. */
const DURATIONS_PER_EPOCH = 8;
/** Maximum number of expected durations kept between two observations. */
const MAX_KNOWN_DURATIONS = 500;
/** Weight of a model from which its expectations are a basis for ratios; before, declarations count. */
const MIN_TAIL_BASIS = 30;

/** Stored sums are rounded to this part of 1. */
const ROUNDING = 10_000;
/** Largest plausible logarithm of a duration in ms or of a ratio. */
const MAX_LOG = 40;

/**
 * Expected duration of the tasks of one queue as a function of the declared one. A weighted
 * regression between logarithms handles declarations that are off by a constant factor as well as
 * those that are mostly noise, where the queue's usual duration is the better estimate.
 */
export class DurationModel {
  /** Ratios of actual durations to those expected by this model. */
  readonly tail = new DurationTail();
  /** Ratios of actual durations to those of other tasks of the same step. */
  readonly siblingTail = new DurationTail();
  #observed = 0;
  #weight = 0;
  #meanDeclared = 0;
  #meanError = 0;
  #declaredSquares = 0;
  #products = 0;
  #errorSquares = 0;
  /** Expected durations by declared duration, kept until the next observation. */
  readonly #expected = new Map<number, number>();
  /** Least over expected duration, kept until the next observation. */
  #leastFactor: number | undefined;

  /** Changes when estimates may have changed noticeably. */
  get epoch(): number {
    return Math.floor(this.#observed / DURATIONS_PER_EPOCH);
  }

  /** Records the duration of a task that ran undisturbed; both times in milliseconds, above 0. */
  observe(declaredMs: number, actualMs: number): void {
    this.#observed++;
    this.#expected.clear();
    this.#leastFactor = undefined;
    const declared = Math.log(declaredMs);
    const error = Math.log(actualMs) - declared;
    const before = this.#weight * DECAY;
    this.#weight = before + 1;
    const declaredDeviation = declared - this.#meanDeclared;
    const errorDeviation = error - this.#meanError;
    this.#meanDeclared += declaredDeviation / this.#weight;
    this.#meanError += errorDeviation / this.#weight;
    const share = before / this.#weight;
    this.#declaredSquares = this.#declaredSquares * DECAY + declaredDeviation ** 2 * share;
    this.#products = this.#products * DECAY + declaredDeviation * errorDeviation * share;
    this.#errorSquares = this.#errorSquares * DECAY + errorDeviation ** 2 * share;
  }

  /** Expected duration in milliseconds of a task with the given declared duration. */
  expectedMs(declaredMs: number): number {
    if (this.#weight === 0) return declaredMs;
    const known = this.#expected.get(declaredMs);
    if (known !== undefined) return known;
    const declared = Math.log(declaredMs);
    const shift = (this.#meanError * this.#weight) / (this.#weight + PRIOR_DURATIONS);
    const expected = Math.exp(declared + shift + this.#slope() * (declared - this.#meanDeclared));
    if (this.#expected.size < MAX_KNOWN_DURATIONS) this.#expected.set(declaredMs, expected);
    return expected;
  }

  /**
   * Expected duration in milliseconds of a step with the given number of equal tasks, which lasts as
   * long as the longest of them: that of one task until the tail of the queue is known.
   */
  expectedStepMs(declaredMs: number, tasks: number): number {
    const tail = this.siblingTail.known ? this.siblingTail : this.tail;
    // The expected maximum of n values lies near the quantile n / (n + 1).
    const longest = tasks <= 1 ? 1 : Math.max(1, tail.quantile(tasks / (tasks + 1)));
    return this.expectedMs(declaredMs) * longest;
  }

  /** Records by how much a run's duration differed from what this model expects. */
  observeTail(declaredMs: number, actualMs: number): void {
    if (this.#weight >= MIN_TAIL_BASIS) this.tail.observe(actualMs / this.expectedMs(declaredMs));
  }

  /**
   * Lower estimate of the duration in milliseconds, for decisions that must not rest on declarations
   * that are too high. A tenth of the declared duration before the first observation; it approaches
   * the expected duration with each one.
   */
  leastMs(declaredMs: number): number {
    this.#leastFactor ??= Math.exp(
      (-LEAST_STANDARD_ERRORS * this.spread) / Math.sqrt(this.#weight + 1),
    );
    return this.expectedMs(declaredMs) * this.#leastFactor;
  }

  /** Standard deviation of the natural logarithm of actual over expected durations. */
  get spread(): number {
    const unexplained = Math.max(0, this.#errorSquares - this.#slope() * this.#products);
    const prior = PRIOR_SPREAD_DURATIONS * PRIOR_VARIANCE;
    return Math.sqrt((unexplained + prior) / (this.#weight + PRIOR_SPREAD_DURATIONS));
  }

  /** True if no duration was recorded or restored. */
  get empty(): boolean {
    return this.#weight === 0;
  }

  /** Sums of the regression, for {@link restore}. */
  toNumbers(): readonly number[] {
    return [
      ...[this.#weight, this.#meanDeclared, this.#meanError],
      ...[this.#declaredSquares, this.#products, this.#errorSquares],
    ].map((value) => Math.round(value * ROUNDING) / ROUNDING);
  }

  /** Takes the sums that {@link toNumbers} returned. Returns false if they are impossible. */
  restore(numbers: readonly number[]): boolean {
    const [weight = 0, meanDeclared = 0, meanError = 0, declared = -1, products = 0, errors = -1] =
      numbers;
    const possible = weight > 0 && weight <= 1 / (1 - DECAY) && declared >= 0 && errors >= 0;
    if (!possible || Math.max(Math.abs(meanDeclared), Math.abs(meanError)) > MAX_LOG) return false;
    this.#observed += DURATIONS_PER_EPOCH;
    this.#expected.clear();
    this.#leastFactor = undefined;
    this.#weight = weight;
    this.#meanDeclared = meanDeclared;
    this.#meanError = meanError;
    this.#declaredSquares = declared;
    this.#products = products;
    this.#errorSquares = errors;
    return true;
  }

  /** Change of the error with the declared duration; -1 means that declared durations predict nothing. */
  #slope(): number {
    const slope = this.#products / (this.#declaredSquares + PRIOR_DECLARED_VARIANCE);
    return Math.max(-1, Math.min(0, slope));
  }
}

/** The duration models of all queues. */
export class DurationModels {
  readonly #models = new Map<string, DurationModel>();

  /** Models by name of the queue. */
  all(): ReadonlyMap<string, DurationModel> {
    return this.#models;
  }

  /** Returns the model of a queue and creates it on first use. */
  forQueue(queue: string): DurationModel {
    let model = this.#models.get(queue);
    if (model === undefined) this.#models.set(queue, (model = new DurationModel()));
    return model;
  }
}
