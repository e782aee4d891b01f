/** Election delays that let stronger entry instances become the scheduler. */

/** Election delay in ms in favour of stronger instances; longer than an election among them takes. */
const ELECTION_DELAY_MS = 500;
/**
 * Election delay in ms of an instance that reaches the store only through peers. It is longer than the
 * delay of any other instance, whatever the strength.
 */
const RELAYED_ELECTION_DELAY_MS = 1200;
/**
 * Time in ms without a direct connection to the store after which a scheduler steps down; most
 * connection losses are shorter.
 */
const MAX_DISCONNECTED_MS = 600;
/** If no store call was answered for longer, in ms, peers can't reach the store either. */
const MAX_UNRESPONSIVE_MS = 400;
/** Ratio of strengths from which an instance counts as stronger. */
const STRONGER_RATIO = 1.5;

/**
 * Time in ms that an instance waits before it competes for a free lock, so that stronger instances can
 * take it. In a fleet with a few strong entry instances among many weak ones, a scheduler on a weak
 * instance can't keep up with its work.
 */
export function electionDelayMs(strength: number, others: Iterable<number>): number {
  return hasStronger(strength, others) ? ELECTION_DELAY_MS : 0;
}

/** True if one of the other instances is considerably stronger. */
export function hasStronger(strength: number, others: Iterable<number>): boolean {
  for (const other of others) if (other >= strength * STRONGER_RATIO) return true;
  return false;
}

/** Election delay in ms of an instance in favour of all others; 0 with a direct store connection. */
export function relayedElectionDelayMs(disconnectedMs: number): number {
  return disconnectedMs > 0 ? RELAYED_ELECTION_DELAY_MS : 0;
}

/** State of an instance's connection to the store. */
export interface StoreConnectivity {
  /** Time in ms since the direct connection was lost; 0 while the instance is connected. */
  readonly disconnectedMs: number;
  /** Time in ms since the last answered store call, direct or relayed through a peer. */
  readonly unresponsiveMs: number;
}

/**
 * True if a scheduler should step down because it reaches the store only through peers. The store may
 * reject the scheduler's connections for seconds; each relayed write takes several times as long and
 * loads a weak peer. While the store answers no instance, the scheduler keeps the lock, since it can
 * resume at once when the store recovers.
 */
export function shouldStepDown(
  { disconnectedMs, unresponsiveMs }: StoreConnectivity,
  others: number,
): boolean {
  return disconnectedMs > MAX_DISCONNECTED_MS && unresponsiveMs < MAX_UNRESPONSIVE_MS && others > 0;
}
