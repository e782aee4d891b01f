/** Weight of the newest observation. */
const SMOOTHING = 0.1;
/**
 * Declared run times are capped at this value in milliseconds, because they are often far too high.
 */
const DECLARED_CAP_MS = 1000;

/**
 * Estimates run times per pool, queue and team as exponentially weighted means of observed values.
 */
export class RunTimeEstimates {
  readonly #byTeam = new Map<string, number>();
  readonly #byQueue = new Map<string, number>();
  readonly #byPool = new Map<string, number>();

  observe(pool: string, queue: string, team: string, runMs: number): void {
    update(this.#byPool, pool, runMs);
    update(this.#byTeam, `${queue}/${team}`, runMs);
    update(this.#byQueue, queue, runMs);
  }

  /**
   * Expected run time in milliseconds: that of the team in the queue, else of the queue, else the
   * capped declared time.
   */
  expected(queue: string, team: string, declaredMs: number): number {
    return (
      this.#byTeam.get(`${queue}/${team}`) ??
      this.#byQueue.get(queue) ??
      Math.min(declaredMs, DECLARED_CAP_MS)
    );
  }

  /** Expected run time of a pool's tasks in milliseconds. */
  expectedOfPool(pool: string, declaredMs: number): number {
    return this.#byPool.get(pool) ?? Math.min(declaredMs, DECLARED_CAP_MS);
  }
}

function update(estimates: Map<string, number>, key: string, value: number): void {
  const previous = estimates.get(key) ?? value;
  estimates.set(key, previous + SMOOTHING * (value - previous));
}
