/** Bytes of texts that are kept; older ones give way. */
const MAX_BYTES = 4_000_000;

/** Texts of the jobs that this entry instance accepted lately, for starts that it carries out. */
export class AcceptedJobSpecs {
  readonly #texts = new Map<string, string>();
  #bytes = 0;

  /** Keeps the text of a job. */
  add(job: string, text: string): void {
    if (this.#texts.has(job)) return;
    this.#texts.set(job, text);
    this.#bytes += text.length;
    for (const [oldest, { length }] of this.#texts) {
      if (this.#bytes <= MAX_BYTES) return;
      this.#texts.delete(oldest);
      this.#bytes -= length;
    }
  }

  /** The text of a job; undefined if it is not known here. */
  get(job: string): string | undefined {
    return this.#texts.get(job);
  }
}
