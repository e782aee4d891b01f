/** Which entry instance should schedule, where they differ in strength. */

/** Head start in ms for instances that are stronger; longer than an election among them takes. */
const HEAD_START_MS = 500;
/** The same for one that reaches the store only through peers; others are sooner with any strength. */
const RELAYED_HEAD_START_MS = 1200;
/** A scheduler without direct reach for this time in ms gives way; most losses are shorter. */
const MAX_RELAYED_MS = 600;
/** With a longer silence in ms peers do not reach the store either. */
const MAX_RELAY_SILENCE_MS = 400;
/** Strength over strength from which an instance counts as stronger. */
const STRONGER_RATIO = 1.5;

/**
 * Time in ms for which an instance leaves a vacant lock to stronger ones. Answers fleets with a few
 * strong entry instances among many weak ones: a scheduler on a weak instance falls behind its work.
 */
export function electionDelayMs(strength: number, others: Iterable<number>): number {
  return hasStronger(strength, others) ? HEAD_START_MS : 0;
}

/** True if one of the others is stronger by far. */
export function hasStronger(strength: number, others: Iterable<number>): boolean {
  for (const other of others) if (other >= strength * STRONGER_RATIO) return true;
  return false;
}

/** Head start in ms that an instance without direct reach of the store leaves to all others. */
export function relayedElectionDelayMs(outOfReachMs: number): number {
  return outOfReachMs > 0 ? RELAYED_HEAD_START_MS : 0;
}

/** How an instance reaches the store. */
export interface StoreConnectivity {
  /** Time in ms for which it has been out of direct reach; 0 while it is reached. */
  readonly disconnectedMs: number;
  /** Time in ms since a call was last answered, directly or through a peer. */
  readonly unresponsiveMs: number;
}

/**
 * True if a scheduler should give way because it reaches the store only through peers. Answers a
 * store that turns the scheduler away for seconds: each of its writes would take several times as
 * long, at the expense of a weak peer. While the store answers nobody the lock is better kept, since
 * its holder goes on at once when the store is back.
 */
export function shouldStepDown(
  { disconnectedMs: outOfReachMs, unresponsiveMs: silenceMs }: StoreConnectivity,
  others: number,
): boolean {
  return outOfReachMs > MAX_RELAYED_MS && silenceMs < MAX_RELAY_SILENCE_MS && others > 0;
}
