/** The properties under test: the ten guarantees of section 1.3 of docs/design.md, and liveness. */
export const PROPERTIES = [
  "availability-budget",
  "one-pool",
  "keys",
  "upper-limit",
  "answers",
  "not-run",
  "at-most-once",
  "leaving-server",
  "shutdown",
  "configuration",
  "liveness",
] as const;

export type Property = (typeof PROPERTIES)[number];

/** One observed violation of a property. */
export interface Violation {
  readonly property: Property;
  /** Virtual time in milliseconds. */
  readonly at: number;
  readonly detail: string;
}

/** Collects violations with the virtual time at which they were observed. */
export class Violations {
  readonly #now: () => number;
  readonly #found: Violation[] = [];

  constructor({ now }: { readonly now: () => number }) {
    this.#now = now;
  }

  get found(): readonly Violation[] {
    return this.#found;
  }

  add(property: Property, detail: string): void {
    this.#found.push({ property, at: Math.round(this.#now()), detail });
  }
}
