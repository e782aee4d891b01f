import type { GossipMessage, PoolLoad, TeamLoad } from "../protocol/peer-messages.ts";
import type { Peers, PeerState } from "./ports.ts";

interface LoadIndex {
  readonly pools: ReadonlyMap<string, PoolLoad>;
  readonly teams: ReadonlyMap<string, TeamLoad>;
}

/**
 * Looks up loads in the peers' gossip by pool or team. Each message is indexed once, because it is
 * read very often.
 */
export class PeerLoads {
  readonly #peers: Peers;
  readonly #indexes = new WeakMap<GossipMessage, LoadIndex>();

  constructor({ peers }: { readonly peers: Peers }) {
    this.#peers = peers;
  }

  /** Reachable peers that are not shutting down. */
  peersAcceptingWork(): readonly (readonly [string, PeerState])[] {
    return [...this.#peers.gossip()].filter(([, peer]) => !peer.message.stopping);
  }

  poolLoad({ message }: PeerState, pool: string): PoolLoad | undefined {
    return this.#index(message).pools.get(pool);
  }

  teamLoad({ message }: PeerState, team: string): TeamLoad | undefined {
    return this.#index(message).teams.get(team);
  }

  /** Expected waits in milliseconds for a pool, one for each peer that has slots of the pool. */
  expectedWaits(pool: string): readonly number[] {
    return this.peersAcceptingWork().flatMap(([, peer]) => {
      const load = this.poolLoad(peer, pool);
      if (load === undefined || load.totalSlots === 0) return [];
      return [load.freeSlots > 0 ? 0 : load.waitMs];
    });
  }

  /** True if a reachable peer that accepts work reported queued work. */
  isWorkQueuedAtPeers(): boolean {
    return this.peersAcceptingWork().some(([, { message }]) =>
      message.pools.some((pool) => pool.queued > 0),
    );
  }

  /** Longest expected wait in milliseconds of each pool, over peers without free slots of it. */
  longestWaits(): ReadonlyMap<string, number> {
    const waits = new Map<string, number>();
    for (const [, { message }] of this.peersAcceptingWork()) {
      for (const { pool, waitMs, freeSlots } of message.pools)
        if (freeSlots === 0) waits.set(pool, Math.max(waits.get(pool) ?? 0, waitMs));
    }
    return waits;
  }

  #index(message: GossipMessage): LoadIndex {
    let index = this.#indexes.get(message);
    if (index === undefined) {
      index = {
        pools: new Map(message.pools.map((load) => [load.pool, load])),
        teams: new Map(message.teams.map((load) => [load.team, load])),
      };
      this.#indexes.set(message, index);
    }
    return index;
  }
}
