import type { GossipMessage, PoolLoad, TeamLoad } from "../protocol/peer-messages.ts";

interface Sent {
  readonly message: GossipMessage;
  readonly sequence: number;
}

/** Reduces gossip replies to what changed since the receiver's last snapshot. */
export class GossipEncoder {
  readonly #sent = new Map<string, Sent>();
  #sequence = 0;

  /** Encodes a snapshot for a peer that last received the snapshot `known` (0 for none). */
  encode(peer: string, known: number, snapshot: GossipMessage): GossipMessage {
    const previous = this.#sent.get(peer);
    const sequence = ++this.#sequence;
    this.#sent.set(peer, { message: snapshot, sequence });
    if (previous?.sequence !== known) {
      return { ...snapshot, sequence, baseline: 0 };
    }
    return {
      ...snapshot,
      sequence,
      baseline: known,
      pools: changed(previous.message.pools, snapshot.pools, poolKey, emptyPool),
      teams: changed(previous.message.teams, snapshot.teams, teamKey, emptyTeam),
    };
  }

  /** Forgets what a peer that is gone has received. */
  forget(peer: string): void {
    this.#sent.delete(peer);
  }
}

/** Restores the full snapshot from a reply and the previous snapshot of the same peer. */
export function decodeGossip(
  previous: GossipMessage | undefined,
  reply: GossipMessage,
): GossipMessage {
  if (reply.baseline === 0) return reply;
  if (previous?.sequence !== reply.baseline) return withoutLoads(previous, reply);
  return {
    ...reply,
    pools: merged(previous.pools, reply.pools, poolKey),
    teams: merged(previous.teams, reply.teams, teamKey),
  };
}

/** Keeps the known loads when changes refer to another snapshot than the last one received. */
function withoutLoads(previous: GossipMessage | undefined, reply: GossipMessage): GossipMessage {
  const { sequence = 0, pools = [], teams = [] } = previous ?? {};
  return { ...reply, sequence, pools, teams };
}

function changed<T>(
  before: readonly T[],
  after: readonly T[],
  key: (item: T) => string,
  empty: (item: T) => T,
): readonly T[] {
  const known = new Map(before.map((item) => [key(item), item]));
  const updates = after.filter((item) => !same(known.get(key(item)), item));
  const present = new Set(after.map(key));
  const removed = before.filter((item) => !present.has(key(item))).map(empty);
  return [...updates, ...removed.filter((item) => !same(known.get(key(item)), item))];
}

function merged<T>(
  before: readonly T[],
  updates: readonly T[],
  key: (item: T) => string,
): readonly T[] {
  const items = new Map(before.map((item) => [key(item), item]));
  for (const item of updates) items.set(key(item), item);
  return [...items.values()];
}

function same<T>(a: T | undefined, b: T): boolean {
  return a !== undefined && JSON.stringify(a) === JSON.stringify(b);
}

function poolKey(load: PoolLoad): string {
  return load.pool;
}

function teamKey(load: TeamLoad): string {
  return load.team;
}

function emptyPool(load: PoolLoad): PoolLoad {
  return { pool: load.pool, freeSlots: 0, totalSlots: 0, queued: 0, waitMs: 0 };
}

function emptyTeam(load: TeamLoad): TeamLoad {
  return { team: load.team, running: 0, budget: 0, queued: 0 };
}
