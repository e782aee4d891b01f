import type { Clock } from "../ports/clock.ts";
import type { Random } from "../ports/random.ts";
import type { Priority } from "../ports/backend-server.ts";
import type { PoolLoad, RunReply } from "../protocol/peer-messages.ts";
import { OPEN_TEAM } from "../state/fair-share-queue.ts";
import type { PeerLoads } from "./peer-loads.ts";
import { fairShareTeam } from "./pool-queue.ts";
import type { WaitEstimator } from "./wait-estimator.ts";
import type { Counters, Peers, PeerState } from "./ports.ts";
import { type Work } from "./work.ts";
import type { TaskRef } from "../ports/backend-server.ts";

/** Pause before the next offer to a peer that declined or was unreachable. */
const DECLINE_PAUSE_MS = 100;
/**
 * A peer's wait must be shorter than the wait here by this plus `MIN_GAIN_FRACTION` of the wait
 * here; gossip is too old for closer comparisons.
 */
const MIN_GAIN_MS = 20;
const MIN_GAIN_FRACTION = 0.3;
const MAX_OFFER_MS = 2000;
/** Estimated time to raise a budget: about one gossip round and two writes. */
const BUDGET_RAISE_MS = 500;
/** Added to the duration of an offer to get the timeout of its call. */
const REPLY_MARGIN_MS = 1000;
/** Time between the end of an offer and the deadline, so that a decline arrives in time. */
const DEADLINE_MARGIN_MS = 50;

/** The work to place and the wait that is expected without an offer. */
export interface OfferCriteria {
  /** Pools whose slots may be used, in order. */
  readonly pools: readonly string[];
  readonly team: string;
  readonly precedence: Priority;
  /** Expected wait in milliseconds if the work stays here. */
  readonly ownWaitMs: number;
  /** Expected run time in milliseconds. */
  readonly runMs: number;
}

/** How an offer ended. */
export type OfferOutcome =
  | Exclude<RunReply, { readonly kind: "declined" }>
  | { readonly kind: "declined" }
  /** No reply arrived; the peer may have started the attempt. */
  | { readonly kind: "lost" };

/** Options of {@link PeerOffers}. */
export interface PeerOffersOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly peers: Peers;
  readonly loads: PeerLoads;
  readonly waits: WaitEstimator;
  readonly counters: Counters;
}

/** Chooses peers for queued work from their gossip and the offers made since, and makes offers. */
export class PeerOffers {
  readonly #options: PeerOffersOptions;
  /**
   * Offers made since the peer's last gossip, which does not include them: in all under the peer's
   * incarnation, and of each team under its {@link teamKey}.
   */
  readonly #recentOffers = new Map<string, { requestedAt: number; count: number }>();
  /** End of the pause after a declined offer; does not apply to urgent work. */
  readonly #pausedUntil = new Map<string, number>();
  /**
   * End of the pause after a failed call; applies to urgent work too. A call without a connection
   * fails at once, and immediate retries would starve everything else in the process.
   */
  readonly #unreachableUntil = new Map<string, number>();

  constructor(options: PeerOffersOptions) {
    this.#options = options;
  }

  /**
   * The peer where the work would start soonest, if sooner than here. Among peers with free slots,
   * one is drawn at random, weighted by its free slots: if all entries chose the same peer, it
   * would be overloaded until its next gossip.
   */
  choosePeer(criteria: OfferCriteria): string | undefined {
    let best: string | undefined;
    let bestWait = criteria.ownWaitMs * (1 - MIN_GAIN_FRACTION) - MIN_GAIN_MS;
    const free: { readonly incarnation: string; readonly slots: number }[] = [];
    for (const [incarnation, peer] of this.#options.loads.peersAcceptingWork()) {
      if (this.#paused(incarnation, criteria)) continue;
      const { wait, slots } = this.#expectedStart(incarnation, peer, criteria);
      if (wait === 0 && bestWait > 0) free.push({ incarnation, slots });
      else if (wait < bestWait) {
        best = incarnation;
        bestWait = wait;
      }
    }
    return this.#drawWeighted(free) ?? best;
  }

  /** Shortest expected wait at any peer in milliseconds; infinite if none would start the work. */
  shortestWait(criteria: OfferCriteria): number {
    const peers = this.#options.loads.peersAcceptingWork();
    return Math.min(
      ...peers.map(([incarnation, peer]) => this.#expectedStart(incarnation, peer, criteria).wait),
    );
  }

  /** Makes an offer and waits for its outcome. */
  async offer(peer: string, work: Work, ref: TaskRef): Promise<OfferOutcome> {
    const { clock, peers, counters } = this.#options;
    const remaining = work.expiresAt - clock.now();
    const offerMs = Math.min(MAX_OFFER_MS, remaining - DEADLINE_MARGIN_MS);
    if (offerMs <= 0) return { kind: "declined" };
    this.#countOffer(peer, peer);
    this.#countOffer(teamKey(peer, fairShareTeam(work.spec.team)), peer);
    counters.event("offer_made");
    const req = {
      type: "run",
      spec: { ...work.spec, timeoutMs: remaining },
      attempt: ref.attempt,
      home: work.owner,
      offerMs,
    } as const;
    const reply = await peers.call(peer, req, offerMs + REPLY_MARGIN_MS);
    if (reply.err) {
      this.#unreachableUntil.set(peer, clock.now() + DECLINE_PAUSE_MS);
      if (reply.val.kind === "ambiguous") return { kind: "lost" };
      counters.retry("peer_unreachable");
      return { kind: "declined" };
    }
    if (reply.val.kind !== "declined") return reply.val;
    this.#pausedUntil.set(peer, clock.now() + DECLINE_PAUSE_MS);
    counters.retry("peer_declined");
    return { kind: "declined" };
  }

  /** Withdraws an offer, or stops the attempt if the peer has started it. */
  withdraw(offer: { readonly peer: string; readonly ref: TaskRef }): void {
    const req = { type: "run-cancel", ...offer.ref } as const;
    void this.#options.peers.call(offer.peer, req, REPLY_MARGIN_MS);
  }

  #expectedStart(
    incarnation: string,
    peer: PeerState,
    criteria: OfferCriteria,
  ): { readonly wait: number; readonly slots: number } {
    const recent = this.#recentOfferCount(incarnation, peer);
    let wait = Infinity;
    let slots = 0;
    for (const pool of criteria.pools) {
      const load = this.#options.loads.poolLoad(peer, pool);
      if (load === undefined) continue;
      wait = Math.min(wait, this.#waitAt(peer, load, recent, criteria));
      slots += Math.max(0, load.freeSlots - recent);
    }
    return { wait: wait + this.#budgetWait(incarnation, peer, criteria.team), slots };
  }

  #waitAt(peer: PeerState, load: PoolLoad, recent: number, criteria: OfferCriteria): number {
    if (load.totalSlots === 0) return Infinity;
    if (load.freeSlots > recent) return 0;
    const slotMs = criteria.runMs / load.totalSlots;
    const missing = recent - load.freeSlots + 1;
    const anyTeam = load.waitMs + missing * slotMs;
    return Math.min(anyTeam, (this.#queuedPerShare(peer, criteria.team) + missing) * slotMs);
  }

  /** Requests expected to start at the peer before one of this team under fair sharing. */
  #queuedPerShare(peer: PeerState, team: string): number {
    const { waits, loads } = this.#options;
    const waiting = peer.message.teams.filter((each) => each.queued > 0 || each.team === team);
    const weights = waiting.reduce((sum, each) => sum + waits.weight(each.team), 0);
    const share = weights === 0 ? 1 : waits.weight(team) / weights;
    return (loads.teamLoad(peer, team)?.queued ?? 0) / share;
  }

  /**
   * Wait in milliseconds for unused budget at the peer; infinite if the peer has none and cannot
   * reach the platform, which raising a budget requires.
   */
  #budgetWait(incarnation: string, peer: PeerState, team: string): number {
    if (team === OPEN_TEAM) return 0;
    const load = this.#options.loads.teamLoad(peer, team);
    if (peer.message.platformReachable)
      return load !== undefined && load.budget > load.running ? 0 : BUDGET_RAISE_MS;
    const recent = this.#recentOfferCount(teamKey(incarnation, team), peer);
    return load !== undefined && load.budget > load.running + recent ? 0 : Infinity;
  }

  #drawWeighted(
    free: readonly { readonly incarnation: string; readonly slots: number }[],
  ): string | undefined {
    let point = this.#options.random.next() * free.reduce((sum, each) => sum + each.slots, 0);
    for (const { incarnation, slots } of free) {
      point -= slots;
      if (point < 0) return incarnation;
    }
    return undefined;
  }

  #recentOfferCount(key: string, peer: PeerState): number {
    const recent = this.#recentOffers.get(key);
    return recent?.requestedAt === peer.requestedAt ? recent.count : 0;
  }

  #countOffer(key: string, incarnation: string): void {
    const peer = this.#options.peers.gossip().get(incarnation);
    if (peer === undefined) return;
    const count = this.#recentOfferCount(key, peer) + 1;
    this.#recentOffers.set(key, { requestedAt: peer.requestedAt, count });
  }

  #paused(incarnation: string, criteria: OfferCriteria): boolean {
    const now = this.#options.clock.now();
    if ((this.#unreachableUntil.get(incarnation) ?? 0) > now) return true;
    return criteria.precedence !== "urgent" && (this.#pausedUntil.get(incarnation) ?? 0) > now;
  }
}

function teamKey(incarnation: string, team: string): string {
  return `${incarnation}/${team}`;
}
