/** Job specs that are sent to an executor once and then named by a number. */

/**
 * Limits in characters. An executor keeps more than the scheduler expects it to, so that it evicts
 * nothing that the scheduler still refers to.
 */
const MAX_SENT_LENGTH = 1_000_000;
const MAX_RECEIVED_LENGTH = 2_500_000;

/** The scheduler's side: specs that an executor was sent, with their numbers. */
export class SentSpecs {
  /** By the spec itself, so that an id which is used again can't name another spec. */
  readonly #numbers = new Map<string, number>();
  #totalLength = 0;
  #last = 0;

  /** Number of a spec; `known` if it was sent before. */
  use(spec: string): { readonly number: number; readonly known: boolean } {
    const number = this.#numbers.get(spec);
    if (number !== undefined) return { number, known: true };
    this.#numbers.set(spec, ++this.#last);
    this.#totalLength += spec.length;
    for (const oldest of this.#numbers.keys()) {
      if (this.#totalLength <= MAX_SENT_LENGTH) break;
      this.forget(oldest);
    }
    return { number: this.#last, known: false };
  }

  /** Makes the next use of a spec send it again. */
  forget(spec: string): void {
    if (this.#numbers.delete(spec)) this.#totalLength -= spec.length;
  }
}

/** The executor's side: specs received on one channel. The oldest are evicted first. */
export class ReceivedSpecs {
  readonly #specs = new Map<number, string>();
  #totalLength = 0;

  add(number: number, spec: string): void {
    this.#totalLength += spec.length - (this.#specs.get(number)?.length ?? 0);
    this.#specs.set(number, spec);
    for (const [oldest, { length }] of this.#specs) {
      if (this.#totalLength <= MAX_RECEIVED_LENGTH) return;
      this.#specs.delete(oldest);
      this.#totalLength -= length;
    }
  }

  get(number: number): string | undefined {
    return this.#specs.get(number);
  }
}
