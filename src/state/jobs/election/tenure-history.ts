/** Number of tenures that are remembered. */
const MAX_TENURES = 16;

/** A tenure of the scheduler lock, as another entry instance sees it. */
interface SeenTenure {
  readonly token: number;
  /** Monotonic time in ms. */
  readonly seenAt: number;
}

/**
 * Times at which this process has first seen the tenures of schedulers. They bound the begin of a tenure
 * from above without trust in a time of day.
 */
export class TenureHistory {
  readonly #tenures: SeenTenure[] = [];

  /** Records that the scheduler lock was seen with a fencing token. */
  seen(token: number, now: number): void {
    const latest = this.#tenures.at(-1);
    if (latest !== undefined && latest.token >= token) return;
    this.#tenures.push({ token, seenAt: now });
    if (this.#tenures.length > MAX_TENURES) this.#tenures.shift();
  }

  /**
   * Monotonic time in ms at which the tenure with a fencing token had certainly begun; undefined if
   * neither that tenure nor a later one was seen.
   */
  begunBy(token: number): number | undefined {
    return this.#tenures.find((tenure) => tenure.token >= token)?.seenAt;
  }
}
