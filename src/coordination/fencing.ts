/** Reclaims budgets and hash slots of lost incarnations of one zone, after the fencing proof. */
import { Ok } from "ts-results";
import type { Clock } from "../ports/clock.ts";
import type { KeyValueService } from "../ports/key-value-service.ts";
import type { SlotOwnershipDocument, Member } from "../protocol/slot-ownership-document.ts";
import { findMember, retireMember, takeOver } from "../state/slot-ownership.ts";
import { totalBudgetOf, EMPTY_LEDGER, reclaimUnusedBudget, addTombstone } from "../state/ledger.ts";
import type { DocumentFollower } from "./document-follower.ts";
import type { DocumentStore } from "./document-store.ts";
import type { FencingProver, Proof } from "./fencing-prover.ts";
import { ledgerKind } from "./ledger-shard.ts";
import { SLOT_OWNERSHIP_KIND } from "./member-view.ts";
import type { Counters, Peers } from "./ports.ts";
import { fleetKind } from "./server-drain.ts";
import { SESSION_PREFIX } from "./session-keeper.ts";

/** Interval between steps of the reclaim leader. */
export const RECLAIM_INTERVAL_MS = 1000;
/**
 * Time from the retirement mark to the takeover of hash slots. Longer than the maximum age of the
 * confirmation on which an entry without leases acts as request owner (4000 ms), with a margin for
 * clock drift.
 */
const TAKEOVER_DELAY_MS = 5000;
/** A member without a session is lost after this many session times to live without gossip. */
const LOST_AFTER_SESSION_TTLS = 2;
const FENCED_MARK_RETENTION_MS = 24 * 3_600_000;

/** Options of {@link Fencing}. */
export interface FencingOptions {
  readonly kv: KeyValueService;
  readonly store: DocumentStore;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly peers: Peers;
  readonly ownershipFollower: DocumentFollower<SlotOwnershipDocument>;
  readonly prover: FencingProver;
  readonly sessionTtlMs: number;
  readonly ledgerShards: number;
}

/** Progress of reclaiming one incarnation that is marked as retired. */
interface ReclaimProgress {
  /** Monotonic time at which all marks were known to be written. */
  readonly markedAt: number;
  readonly fleetRevision: number;
  /** Shards in which the incarnation still has budget. */
  readonly shards: Set<number>;
}

/** Fences lost members of one zone; one {@link step} per interval of the role `reclaim-<zone>`. */
export class Fencing {
  readonly #options: FencingOptions;
  /** Monotonic time at which this entry began to monitor each member. */
  readonly #monitoredSince = new Map<string, number>();
  readonly #lastGossip = new Map<string, number>();
  readonly #reclaims = new Map<string, ReclaimProgress>();
  /** Incarnations whose proof is recorded in the fleet document. */
  readonly #proved = new Set<string>();

  constructor(options: FencingOptions) {
    this.#options = options;
  }

  /**
   * Runs one round: detects lost members, marks them as retired, proves that they cannot start
   * work, and reclaims their budgets and hash slots.
   */
  async step(): Promise<void> {
    const members = this.#zoneMembers();
    if (members === undefined) return;
    const lost = await this.#findLost(members.filter(({ state }) => state === "active"));
    for (const incarnation of lost) await this.#retireMember(incarnation);
    for (const member of this.#zoneMembers() ?? []) {
      if (member.state !== "active") await this.#advance(member);
    }
  }

  #zoneMembers(): readonly Member[] | undefined {
    const { zone, group } = this.#options.peers.self;
    const document = this.#options.ownershipFollower.current?.value;
    return document?.members.filter((member) => member.zone === zone && member.group === group);
  }

  /** Active members without a session and without gossip for long enough. */
  async #findLost(members: readonly Member[]): Promise<readonly string[]> {
    const { kv, clock, peers, sessionTtlMs } = this.#options;
    const gossip = peers.gossip();
    const anyUnresponsive = members.some(
      ({ incarnation }) => incarnation !== peers.self.incarnation && !gossip.has(incarnation),
    );
    // A member in contact is not lost, regardless of its session. Without others, no list is needed.
    const sessions = anyUnresponsive ? await kv.list(SESSION_PREFIX) : Ok([]);
    if (!sessions.ok) return [];
    const keys = new Set(sessions.val.map(({ key }) => key));
    const now = clock.now();
    return members.flatMap(({ incarnation }) => {
      if (incarnation === peers.self.incarnation) return [];
      const lastGossipAt =
        gossip.get(incarnation)?.requestedAt ?? this.#lastGossip.get(incarnation);
      if (lastGossipAt !== undefined) this.#lastGossip.set(incarnation, lastGossipAt);
      const since = this.#monitoredSince.get(incarnation) ?? now;
      this.#monitoredSince.set(incarnation, since);
      const unresponsiveMs = now - Math.max(since, lastGossipAt ?? since);
      const sessionMissing = !keys.has(`${SESSION_PREFIX}${incarnation}`);
      return sessionMissing && unresponsiveMs >= LOST_AFTER_SESSION_TTLS * sessionTtlMs
        ? [incarnation]
        : [];
    });
  }

  async #retireMember(incarnation: string): Promise<void> {
    const { store, ownershipFollower, clock, counters } = this.#options;
    const at = clock.wallTime();
    const result = await store.update(SLOT_OWNERSHIP_KIND, (doc, writeId) => {
      const next = doc && retireMember(doc, incarnation, at);
      return next && { ...next, writeId };
    });
    if (result.ok && result.val.current !== undefined) ownershipFollower.adopt(result.val.current);
    counters.event("incarnation_retired");
  }

  /** Marks, proves and reclaims as far as currently possible. */
  async #advance(member: Member): Promise<void> {
    const { incarnation, state } = member;
    const progress = this.#reclaims.get(incarnation) ?? (await this.#mark(member));
    if (progress === undefined) return;
    this.#reclaims.set(incarnation, progress);
    if (state === "fenced" && progress.shards.size === 0) return;
    const proof = await this.#options.prover.prove(incarnation, progress.fleetRevision);
    if (proof === undefined) {
      this.#options.counters.event("fencing_proof_refused");
      return;
    }
    if (!this.#proved.has(incarnation) && (await this.#recordFenced(incarnation))) {
      this.#proved.add(incarnation);
    }
    await this.#reclaimBudgets(incarnation, progress, proof);
    if (state === "retired") await this.#takeOverSlots(incarnation, progress, proof);
  }

  /** Writes the marks in the fleet document and in every shard, before any proof. */
  async #mark({ incarnation, zone, state }: Member): Promise<ReclaimProgress | undefined> {
    const { store, clock, peers, ledgerShards } = this.#options;
    const at = clock.wallTime();
    const mark = { incarnation, zone, at, fenced: false };
    const fleet = await store.update(fleetKind(peers.self.group), (doc, writeId) => {
      if (doc === undefined || doc.retired.some((old) => old.incarnation === incarnation)) {
        return undefined;
      }
      const kept = doc.retired.filter(
        (old) => !old.fenced || at - old.at < FENCED_MARK_RETENTION_MS,
      );
      return { ...doc, writeId, retired: [...kept, mark] };
    });
    if (!fleet.ok || fleet.val.current === undefined) return undefined;
    const shards = new Set<number>();
    for (let shard = 0; shard < ledgerShards; shard++) {
      const ledger = await store.update(ledgerKind(shard), (doc, writeId) => {
        // An incarnation that is already fenced needs no new mark in a shard without its budget.
        if (state === "fenced" && totalBudgetOf(doc ?? EMPTY_LEDGER, incarnation) === 0)
          return undefined;
        const next = addTombstone(doc ?? EMPTY_LEDGER, { incarnation, zone, at });
        return next && { ...next, writeId };
      });
      if (!ledger.ok) return undefined;
      if (totalBudgetOf(ledger.val.current?.value ?? EMPTY_LEDGER, incarnation) > 0)
        shards.add(shard);
    }
    return { markedAt: clock.now(), fleetRevision: fleet.val.current.revision, shards };
  }

  /** Lowers the rows to the tasks still running. Later rounds repeat this until none is left. */
  async #reclaimBudgets(
    incarnation: string,
    { shards }: ReclaimProgress,
    proof: Proof,
  ): Promise<void> {
    const { store, counters } = this.#options;
    for (const shard of [...shards]) {
      const result = await store.update(ledgerKind(shard), (doc, writeId) => {
        const next = doc && reclaimUnusedBudget(doc, incarnation, proof.running);
        return next && { ...next, writeId };
      });
      if (!result.ok) continue;
      if (result.val.written) counters.event("budget_reclaimed");
      if (totalBudgetOf(result.val.current?.value ?? EMPTY_LEDGER, incarnation) === 0) {
        shards.delete(shard);
      }
    }
  }

  async #takeOverSlots(
    incarnation: string,
    progress: ReclaimProgress,
    proof: Proof,
  ): Promise<void> {
    const { store, ownershipFollower, clock, counters } = this.#options;
    if (!proof.seenByAll || clock.now() - progress.markedAt < TAKEOVER_DELAY_MS) return;
    if (!(await this.#areOtherRetiredMembersFenced(incarnation))) return;
    const at = clock.wallTime();
    const result = await store.update(SLOT_OWNERSHIP_KIND, (doc, writeId) => {
      const next = doc && takeOver(doc, incarnation, at);
      return next && { ...next, writeId };
    });
    if (!result.ok || result.val.current === undefined) return;
    ownershipFollower.adopt(result.val.current);
    if (findMember(result.val.current.value, incarnation)?.state === "fenced") {
      counters.event("incarnation_fenced");
    }
  }

  /**
   * True if every other retired member is proved to hold no lease. Retired members are not asked
   * whether they have seen the retirement mark. One that does not even know of its own retirement
   * could otherwise still run work for the lost request owner.
   */
  async #areOtherRetiredMembersFenced(incarnation: string): Promise<boolean> {
    const { ownershipFollower, store } = this.#options;
    const others = (ownershipFollower.current?.value.members ?? []).filter(
      (member) => member.state === "retired" && member.incarnation !== incarnation,
    );
    for (const group of new Set(others.map((member) => member.group))) {
      const fleet = await store.read(fleetKind(group));
      if (!fleet.ok) return false;
      const marks = fleet.val?.value.retired.filter(({ fenced }) => fenced) ?? [];
      const proved = new Set(marks.map((mark) => mark.incarnation));
      const unproved = others.filter((member) => !proved.has(member.incarnation));
      if (unproved.some((member) => member.group === group)) return false;
    }
    return true;
  }

  /** Records a successful proof in the fleet document. Takeovers in every zone rely on it. */
  async #recordFenced(incarnation: string): Promise<boolean> {
    const { store, peers } = this.#options;
    const result = await store.update(fleetKind(peers.self.group), (doc, writeId) => {
      if (doc?.retired.some((old) => old.incarnation === incarnation && !old.fenced) !== true) {
        return undefined;
      }
      const retired = doc.retired.map((old) =>
        old.incarnation === incarnation ? { ...old, fenced: true } : old,
      );
      return { ...doc, writeId, retired };
    });
    return result.ok;
  }
}
