/** Which entry instance should schedule, where they differ in strength. */

/** Head start in ms for instances that are stronger; longer than an election among them takes. */
const HEAD_START_MS = 500;
/** Strength over strength from which an instance counts as stronger. */
const STRONGER_RATIO = 1.5;

/**
 * Time in ms for which an instance leaves a vacant lock to stronger ones. Answers fleets with a few
 * strong entry instances among many weak ones: a scheduler on a weak instance falls behind its work.
 */
export function headStartMs(strength: number, others: Iterable<number>): number {
  return hasStronger(strength, others) ? HEAD_START_MS : 0;
}

/** True if one of the others is stronger by far. */
export function hasStronger(strength: number, others: Iterable<number>): boolean {
  for (const other of others) if (other >= strength * STRONGER_RATIO) return true;
  return false;
}
