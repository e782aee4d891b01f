/** Limit in characters for the kept job specs; the oldest are dropped first. */
const MAX_TOTAL_LENGTH = 4_000_000;

/** Serialised specs of jobs that this entry instance recently accepted, for starts forwarded to it. */
export class AcceptedJobSpecs {
  readonly #specs = new Map<string, string>();
  #totalLength = 0;

  /** Keeps the spec of a job. A spec that is already kept stays unchanged. */
  add(job: string, spec: string): void {
    if (this.#specs.has(job)) return;
    this.#specs.set(job, spec);
    this.#totalLength += spec.length;
    for (const [oldest, { length }] of this.#specs) {
      if (this.#totalLength <= MAX_TOTAL_LENGTH) return;
      this.#specs.delete(oldest);
      this.#totalLength -= length;
    }
  }

  /** Returns the spec of a job, or undefined if it is not kept. */
  get(job: string): string | undefined {
    return this.#specs.get(job);
  }
}
