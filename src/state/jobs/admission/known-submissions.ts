/**
 * Time in ms for which a submitted id is known. A write whose outcome is unknown has been settled by
 * then, so a read of the store shows whether the job is stored.
 */
const KNOWN_MS = 60_000;
/** The oldest ids beyond this number are dropped; their jobs are found in the store. */
const MAX_IDS = 20_000;

/** Ids that this entry instance has tried to store lately, whatever became of them. */
export class KnownSubmissions {
  readonly #submittedAt = new Map<string, number>();

  /** Adds an id at a monotonic time in ms. */
  add(id: string, now: number): void {
    this.#submittedAt.delete(id);
    this.#submittedAt.set(id, now);
    for (const [oldest, at] of this.#submittedAt) {
      if (now - at < KNOWN_MS && this.#submittedAt.size <= MAX_IDS) return;
      this.#submittedAt.delete(oldest);
    }
  }

  has(id: string): boolean {
    return this.#submittedAt.has(id);
  }
}
