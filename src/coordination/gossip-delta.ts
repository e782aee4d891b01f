import type { GossipMessage, GossipReply, PoolLoad, TeamLoad } from "../protocol/peer-messages.ts";

interface SentSnapshot {
  readonly message: GossipMessage;
  readonly sequence: number;
}

/** Defaults for fields absent from a complete reply: nothing is confirmed, nothing is free. */
export const EMPTY_GOSSIP: GossipMessage = {
  type: "gossip",
  sequence: 0,
  baseline: 0,
  configRevision: 0,
  configAgeMs: Number.MAX_SAFE_INTEGER,
  platformReachable: false,
  fleetRevision: 0,
  homesRevision: 0,
  pools: [],
  teams: [],
  held: [],
  leaving: [],
  stopping: false,
};

/** Fields that are sent completely when they change. */
const WHOLE_FIELDS = [
  "configRevision",
  "platformReachable",
  "fleetRevision",
  "homesRevision",
  "held",
  "leaving",
  "stopping",
] as const;

/** Reduces gossip replies to the changes since the receiver's last snapshot. */
export class GossipEncoder {
  readonly #sent = new Map<string, SentSnapshot>();
  #sequence = 0;

  /** Encodes a snapshot for a peer; `known` is the sequence of the last one it received, or 0. */
  encode(peer: string, known: number, snapshot: GossipMessage): GossipReply {
    const previous = this.#sent.get(peer);
    const sequence = ++this.#sequence;
    this.#sent.set(peer, { message: snapshot, sequence });
    const { type, configAgeMs } = snapshot;
    if (previous?.sequence !== known) return { ...snapshot, sequence, baseline: 0 };
    const { message } = previous;
    const pools = changedLoads(message.pools, snapshot.pools, poolKey, emptyPool);
    const teams = changedLoads(message.teams, snapshot.teams, teamKey, emptyTeam);
    return {
      ...{ type, sequence, baseline: known, configAgeMs },
      ...changedFields(message, snapshot),
      ...(pools.length === 0 ? {} : { pools }),
      ...(teams.length === 0 ? {} : { teams }),
    };
  }

  /** Removes the state of a peer that is no longer a member. */
  forget(peer: string): void {
    this.#sent.delete(peer);
  }
}

/**
 * Restores the full snapshot from a reply and the previous snapshot of the same peer. Returns
 * `previous` unchanged if the reply is based on another snapshot.
 */
export function decodeGossip(
  previous: GossipMessage | undefined,
  reply: GossipReply,
): GossipMessage | undefined {
  if (reply.baseline === 0) return { ...EMPTY_GOSSIP, ...reply };
  if (previous?.sequence !== reply.baseline) return previous;
  return {
    ...previous,
    ...reply,
    pools: mergeLoads(previous.pools, reply.pools, poolKey),
    teams: mergeLoads(previous.teams, reply.teams, teamKey),
  };
}

function changedFields(before: GossipMessage, after: GossipMessage): Partial<GossipMessage> {
  const fields = WHOLE_FIELDS.filter((field) => !sameField(before[field], after[field]));
  return Object.fromEntries(fields.map((field) => [field, after[field]]));
}

function sameField(a: unknown, b: unknown): boolean {
  if (!Array.isArray(a) || !Array.isArray(b)) return a === b;
  return a.length === b.length && a.every((item, n) => item === b[n]);
}

/** Loads that differ from those before. Removed ones are included once, with zero values. */
function changedLoads<T extends PoolLoad | TeamLoad>(
  before: readonly T[],
  after: readonly T[],
  key: (item: T) => string,
  empty: (item: T) => T,
): readonly T[] {
  if (before.length === after.length && after.every((item, n) => sameLoad(before[n], item)))
    return [];
  const known = new Map(before.map((item) => [key(item), item]));
  const updates = after.filter((item) => !sameLoad(known.get(key(item)), item));
  const present = new Set(after.map(key));
  const removed = before.filter((item) => !present.has(key(item))).map(empty);
  return [...updates, ...removed.filter((item) => !sameLoad(known.get(key(item)), item))];
}

function mergeLoads<T>(
  before: readonly T[],
  updates: readonly T[] | undefined,
  key: (item: T) => string,
): readonly T[] {
  if (updates === undefined) return before;
  const items = new Map(before.map((item) => [key(item), item]));
  for (const item of updates) items.set(key(item), item);
  return [...items.values()];
}

function sameLoad<T extends PoolLoad | TeamLoad>(a: T | undefined, b: T): boolean {
  if (a === undefined) return false;
  for (const field in b) if (a[field] !== b[field]) return false;
  return true;
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
