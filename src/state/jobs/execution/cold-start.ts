/** Multiple of its usual duration that a task takes on a backend server that has just started. */
const INITIAL_SLOWDOWN = 2;
/** Part of its processor time that a backend server is given work for when it has just started. */
const INITIAL_USABLE_PART = 0.25;

/**
 * The time after its start during which a backend server is slow, because its caches are empty. Without
 * it, servers that return in large numbers would attract all work just because they are empty.
 */
export class ColdStart {
  /** Last reported remaining time in ms; undefined before the first report. */
  #reportedMs: number | undefined;
  /** Remaining time in ms when it was first reported, at which the server counts as just started. */
  #totalMs = 0;
  /** Monotonic time in ms from which the server is warm. */
  #warmAt = -Infinity;

  /**
   * Records the remaining cold time of a registration that is read at `now`, `bootAgeMs` after the boot
   * of the server (undefined if unknown). The first value dates from the boot, because a new scheduler
   * also reads registrations that are hours old. A different value was written since.
   */
  observe(remainingMs: number, bootAgeMs: number | undefined, now: number): void {
    if (remainingMs === this.#reportedMs) return;
    const ageMs = this.#reportedMs === undefined ? Math.max(0, bootAgeMs ?? 0) : 0;
    this.#reportedMs = remainingMs;
    this.#totalMs = Math.max(this.#totalMs, remainingMs);
    this.#warmAt = now + remainingMs - ageMs;
  }

  /** 1 for a server that has just started, falling linearly to 0 for a warm one. */
  coldness(now: number): number {
    if (this.#totalMs <= 0) return 0;
    return Math.min(1, Math.max(0, (this.#warmAt - now) / this.#totalMs));
  }
}

/** Multiple of its usual duration that a task takes on a server with the given coldness. */
export function coldSlowdown(coldness: number): number {
  return 1 + (INITIAL_SLOWDOWN - 1) * coldness;
}

/** Processor time, in thousandths of a core, that is kept free on a server with the given coldness. */
export function keptFreeWhileCold(cpuMillis: number, coldness: number): number {
  return Math.floor(cpuMillis * (1 - INITIAL_USABLE_PART) * coldness);
}
