/** Ownership of request ids: membership, hash slots and what an owner knows about an id. */
import type { Clock } from "../ports/clock.ts";
import type { Random } from "../ports/random.ts";
import type { SlotOwnershipDocument } from "../protocol/slot-ownership-document.ts";
import type { AckReply, SlotTransferRequest } from "../protocol/peer-messages.ts";
import { issuedRequestId, parseRequestId, requestIdForKey } from "../protocol/request-id.ts";
import {
  activeMembers,
  EMPTY_SLOT_OWNERSHIP,
  excessSlots,
  classifyUnrecordedId,
  addMember,
  findMember,
  retireMember,
  slotsOf,
} from "../state/slot-ownership.ts";
import type { DocumentFollower } from "./document-follower.ts";
import type { DocumentStore } from "./document-store.ts";
import type { LeaseCoverage } from "./lease-coverage.ts";
import { SLOT_OWNERSHIP_KIND } from "./member-view.ts";
import type { Membership } from "./membership.ts";
import {
  RequestOwnership,
  type Counters,
  type OwnerLookup,
  type UnrecordedIdStatus,
  type Peers,
} from "./ports.ts";
import { SlotTransfer, type SlotRecords } from "./slot-transfer.ts";

const BALANCE_MS = 1000;
const JOIN_RETRY_MS = 500;
const LEAVE_ATTEMPTS = 3;
/**
 * Age of a membership confirmation up to which an entry without leases acts as an owner. A lost
 * entry's hash slots are taken over `TAKEOVER_DELAY_MS` after it was marked, at the earliest; that
 * delay is longer.
 */
const OWNERSHIP_FRESH_MS = 4000;

/** Options of {@link SlotOwnership}. */
export interface SlotOwnershipOptions {
  readonly store: DocumentStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly peers: Peers;
  readonly ownershipFollower: DocumentFollower<SlotOwnershipDocument>;
  readonly membership: Membership;
  readonly coverage: LeaseCoverage;
  readonly records: SlotRecords;
  readonly idempotencyWindowMs: number;
  /** Called once when the slot ownership document shows that this incarnation is retired. */
  readonly onRetired: () => void;
}

/** Adds this entry to the members and manages the hash slots that it owns. */
export class SlotOwnership extends RequestOwnership {
  readonly #options: SlotOwnershipOptions;
  readonly #transfer: SlotTransfer;
  readonly #stopped = new AbortController();
  #joined = false;

  constructor(options: SlotOwnershipOptions) {
    super();
    this.#options = options;
    this.#transfer = new SlotTransfer(options);
    options.ownershipFollower.onChange(({ value }) => {
      this.#checkRetired(value);
    });
  }

  /** Adds this entry to the members; resolves once that is stored or {@link stop} was called. */
  async join(): Promise<void> {
    const { store, clock, peers, ownershipFollower } = this.#options;
    const { incarnation, address, zone, group } = peers.self;
    while (!this.#joined && !this.#stopped.signal.aborted) {
      const since = clock.wallTime();
      const member = { incarnation, address, zone, group, state: "active" as const, since };
      const result = await store.update(SLOT_OWNERSHIP_KIND, (doc, writeId) => {
        const next = addMember(doc ?? EMPTY_SLOT_OWNERSHIP, member);
        return next && { ...next, writeId };
      });
      if (result.ok && result.val.current !== undefined) {
        this.#joined = true;
        ownershipFollower.adopt(result.val.current);
        this.#checkRetired(result.val.current.value);
        await ownershipFollower.refresh();
      } else await clock.sleep(JOIN_RETRY_MS, this.#stopped.signal);
    }
  }

  /** Moves surplus slots to members with fewer until {@link stop}. */
  async run(): Promise<void> {
    const { clock, random } = this.#options;
    while (!this.#stopped.signal.aborted) {
      await clock.sleep(BALANCE_MS * (0.5 + random.next()), this.#stopped.signal);
      const doc = this.#options.ownershipFollower.current?.value;
      if (doc === undefined || this.#options.peers.gossip().size === 0) continue;
      const move = excessSlots(doc, this.#self, this.#candidates());
      if (move !== undefined) await this.#transfer.move(move.to, move.slots);
    }
  }

  stop(): void {
    this.#stopped.abort();
  }

  /**
   * Moves every slot to the remaining members and marks this incarnation as retired. Slots that
   * still could not be moved after {@link LEAVE_ATTEMPTS} attempts are left to a takeover.
   */
  async leave(): Promise<void> {
    this.stop();
    const { store, ownershipFollower, clock } = this.#options;
    for (let attempt = 0; attempt < LEAVE_ATTEMPTS; attempt++) {
      for (const [to, slots] of this.#slotsByReceiver()) await this.#transfer.move(to, slots);
      if (this.#ownSlots().length === 0) break;
      await clock.sleep(JOIN_RETRY_MS);
    }
    this.#joined = false;
    const result = await store.update(SLOT_OWNERSHIP_KIND, (doc, writeId) => {
      const next = doc && retireMember(doc, this.#self, clock.wallTime());
      return next && { ...next, writeId };
    });
    if (result.ok && result.val.current !== undefined) ownershipFollower.adopt(result.val.current);
  }

  issue(): string {
    const { clock, random } = this.#options;
    return issuedRequestId(this.#self, random.uuidV7(clock.wallTime()));
  }

  requestId(team: string | undefined, queue: string, callerKey: string): string {
    return requestIdForKey(team, queue, callerKey);
  }

  lookup(requestId: string): OwnerLookup {
    const id = parseRequestId(requestId);
    if (id === undefined) return { kind: "gone" };
    if (id.kind === "issued") return this.#lookupIssuer(id.incarnation);
    const owner = this.#options.ownershipFollower.current?.value.slots[id.slot]?.incarnation;
    if (owner === undefined) return { kind: "moving" };
    if (owner !== this.#self) return { kind: "peer", incarnation: owner };
    const usable = !this.#transfer.isFrozen(id.slot) && this.#isOwnershipCertain();
    return { kind: usable ? "self" : "moving" };
  }

  classify(requestId: string): UnrecordedIdStatus {
    const { clock, ownershipFollower, idempotencyWindowMs } = this.#options;
    const id = parseRequestId(requestId);
    if (id === undefined || this.lookup(requestId).kind !== "self") return "not-home";
    const slot = id.kind === "keyed" ? ownershipFollower.current?.value.slots[id.slot] : undefined;
    return classifyUnrecordedId(id, slot?.takeoverAt ?? 0, clock.wallTime(), idempotencyWindowMs);
  }

  isRetired(incarnation: string): boolean {
    return this.#options.membership.mayBeRetired(incarnation);
  }

  /** Imports the records of slots that a peer is about to move here. */
  handleSlotTransfer({ records }: SlotTransferRequest): AckReply {
    const accepted = !this.#stopped.signal.aborted && this.#options.records.import(records);
    return { type: "ack", accepted };
  }

  get #self(): string {
    return this.#options.peers.self.incarnation;
  }

  #lookupIssuer(incarnation: string): OwnerLookup {
    if (incarnation === this.#self) return { kind: "self" };
    if (this.#options.peers.gossip().has(incarnation)) return { kind: "peer", incarnation };
    if (this.#options.ownershipFollower.current === undefined) return { kind: "moving" };
    return this.isRetired(incarnation) ? { kind: "gone" } : { kind: "peer", incarnation };
  }

  /**
   * False if the slots may have been taken over. Otherwise an owner resuming from a pause could
   * report a request as not run that the next owner ran.
   */
  #isOwnershipCertain(): boolean {
    const { membership, coverage, clock } = this.#options;
    const confirmedAt = membership.activeConfirmedAt();
    if (confirmedAt === undefined) return false;
    const since = coverage.since();
    if (since !== undefined && confirmedAt >= since) return true;
    return clock.now() - confirmedAt <= OWNERSHIP_FRESH_MS;
  }

  #checkRetired(doc: SlotOwnershipDocument): void {
    if (!this.#joined || findMember(doc, this.#self)?.state === "active") return;
    this.#joined = false;
    this.#options.onRetired();
  }

  #ownSlots(): readonly number[] {
    const doc = this.#options.ownershipFollower.current?.value;
    return doc === undefined ? [] : slotsOf(doc, this.#self);
  }

  /** Peers that may receive slots. */
  #candidates(): readonly string[] {
    const doc = this.#options.ownershipFollower.current?.value;
    if (doc === undefined) return [];
    const gossip = this.#options.peers.gossip();
    return activeMembers(doc)
      .map((member) => member.incarnation)
      .filter((each) => each !== this.#self && gossip.get(each)?.message.stopping === false);
  }

  #slotsByReceiver(): ReadonlyMap<string, readonly number[]> {
    const candidates = this.#candidates();
    const slotsByReceiver = new Map<string, number[]>();
    for (const [index, slot] of this.#ownSlots().entries()) {
      const to = candidates[index % candidates.length];
      if (to !== undefined) slotsByReceiver.set(to, [...(slotsByReceiver.get(to) ?? []), slot]);
    }
    return slotsByReceiver;
  }
}
