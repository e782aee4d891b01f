/** How long tasks really take, learnt from what ended, because declared durations are far off. */

/** Weight of what was learnt before against each new duration; the last hundred or so count. */
const DECAY = 0.99;
/** Weight in durations of the assumption that declarations are right on average. */
const PRIOR_DURATIONS = 4;
/** The same for their spread, since the first durations often come from one step and agree. */
const PRIOR_SPREAD_DURATIONS = 8;
/** Spread of declarations, as the square of a natural logarithm, before anything was learnt. */
const PRIOR_VARIANCE = 1.3;
/** Resists a slope that is drawn from declarations that hardly differ. */
const PRIOR_DECLARED_VARIANCE = 2;
/** Durations after which what was derived from the model is computed anew. */
const DURATIONS_PER_EPOCH = 8;

/**
 * Expected duration of the tasks of one queue as a function of the declared one. A weighted
 * regression between logarithms answers declarations that are off by a constant factor as well as
 * those that are mostly noise, where the queue's usual duration says more than the declaration.
 */
export class DurationModel {
  #observed = 0;
  #weight = 0;
  #meanDeclared = 0;
  #meanError = 0;
  #declaredSquares = 0;
  #products = 0;
  #errorSquares = 0;

  /** Changes when estimates may have changed noticeably. */
  get epoch(): number {
    return Math.floor(this.#observed / DURATIONS_PER_EPOCH);
  }

  /** Takes note of a task that ran undisturbed; both times in milliseconds, above 0. */
  observe(declaredMs: number, actualMs: number): void {
    this.#observed++;
    const declared = Math.log(declaredMs);
    const error = Math.log(actualMs) - declared;
    const before = this.#weight * DECAY;
    this.#weight = before + 1;
    const offDeclared = declared - this.#meanDeclared;
    const offError = error - this.#meanError;
    this.#meanDeclared += offDeclared / this.#weight;
    this.#meanError += offError / this.#weight;
    const share = before / this.#weight;
    this.#declaredSquares = this.#declaredSquares * DECAY + offDeclared ** 2 * share;
    this.#products = this.#products * DECAY + offDeclared * offError * share;
    this.#errorSquares = this.#errorSquares * DECAY + offError ** 2 * share;
  }

  /** Expected duration in milliseconds of a task with the given declared one. */
  expectedMs(declaredMs: number): number {
    if (this.#weight === 0) return declaredMs;
    const declared = Math.log(declaredMs);
    const shift = (this.#meanError * this.#weight) / (this.#weight + PRIOR_DURATIONS);
    return Math.exp(declared + shift + this.#slope() * (declared - this.#meanDeclared));
  }

  /** Standard deviation of the natural logarithm of actual over expected durations. */
  get spread(): number {
    const unexplained = Math.max(0, this.#errorSquares - this.#slope() * this.#products);
    const prior = PRIOR_SPREAD_DURATIONS * PRIOR_VARIANCE;
    return Math.sqrt((unexplained + prior) / (this.#weight + PRIOR_SPREAD_DURATIONS));
  }

  /** Change of the error with the declared duration; -1 means that declarations say nothing. */
  #slope(): number {
    const slope = this.#products / (this.#declaredSquares + PRIOR_DECLARED_VARIANCE);
    return Math.max(-1, Math.min(0, slope));
  }
}

/** Models of all queues. */
export class DurationModels {
  readonly #models = new Map<string, DurationModel>();

  /** The model of a queue. */
  forQueue(queue: string): DurationModel {
    let model = this.#models.get(queue);
    if (model === undefined) this.#models.set(queue, (model = new DurationModel()));
    return model;
  }
}
