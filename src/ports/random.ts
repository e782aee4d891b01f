/** Source of random numbers and identifiers, injected so that a seed can reproduce a run. */
export abstract class Random {
  /** A number in [0, 1). */
  abstract next(): number;

  /** A UUID version 7 for the given wall-clock time in milliseconds. */
  abstract uuidV7(wallTimeMs: number): string;

  /** Random bytes as lower-case hexadecimal, two characters per byte. */
  abstract hex(bytes: number): string;
}
