/** Planned transfer of hash slots and their request records to a peer. */
import type { Clock } from "../ports/clock.ts";
import type { SlotOwnershipDocument } from "../protocol/slot-ownership-document.ts";
import type { TransferredRequest } from "../protocol/peer-messages.ts";
import { parseRequestId } from "../protocol/request-id.ts";
import { moveSlots } from "../state/slot-ownership.ts";
import type { DocumentFollower } from "./document-follower.ts";
import type { DocumentStore } from "./document-store.ts";
import { SLOT_OWNERSHIP_KIND } from "./member-view.ts";
import type { Counters, Peers } from "./ports.ts";

const TRANSFER_TIMEOUT_MS = 2000;
/** Limit on the records in one message, well below the frame limit of 1 MiB. */
const CHUNK_BYTES = 512 * 1024;
/** Estimated size of a record without its bodies. */
const RECORD_BYTES = 512;
const RETRY_MS = 500;

/** Access to the request records during a transfer of slots. */
export abstract class SlotRecords {
  /**
   * Records of the matching ids, or undefined if a request cannot be moved now. Called after the
   * slots were frozen, so that no record is added to them.
   */
  abstract export(
    matches: (requestId: string) => boolean,
  ): readonly TransferredRequest[] | undefined;
  /** Adds records of slots that this entry is about to own; replaces those of the same ids. */
  abstract import(records: readonly TransferredRequest[]): boolean;
  /** Drops records whose slots now belong to another entry. */
  abstract drop(matches: (requestId: string) => boolean): void;
}

/** Options of {@link SlotTransfer}. */
export interface SlotTransferOptions {
  readonly store: DocumentStore;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly peers: Peers;
  readonly ownershipFollower: DocumentFollower<SlotOwnershipDocument>;
  readonly records: SlotRecords;
}

/** Moves slots of this entry to a peer. Slots are frozen and accept no requests meanwhile. */
export class SlotTransfer {
  readonly #options: SlotTransferOptions;
  readonly #frozen = new Set<number>();
  #lastMove: Promise<unknown> = Promise.resolve();

  constructor(options: SlotTransferOptions) {
    this.#options = options;
  }

  isFrozen(slot: number): boolean {
    return this.#frozen.has(slot);
  }

  /**
   * Moves the slots whose requests can be moved now and returns their number. Moves run one after
   * another, since the end of one would unfreeze slots that another has frozen.
   */
  move(to: string, slots: readonly number[]): Promise<number> {
    const moved = this.#lastMove.then(() => this.#move(to, slots));
    this.#lastMove = moved;
    return moved;
  }

  async #move(to: string, slots: readonly number[]): Promise<number> {
    const { records, counters } = this.#options;
    for (const slot of slots) this.#frozen.add(slot);
    try {
      const { movable, exported } = this.#export(slots);
      if (movable.length === 0 || !(await this.#send(to, movable, exported))) return 0;
      if (!(await this.#reassign(to, movable))) return 0;
      records.drop(inSlots(movable));
      counters.event("home_slots_moved");
      return movable.length;
    } finally {
      for (const slot of slots) this.#frozen.delete(slot);
    }
  }

  /**
   * Exports slot by slot and unfreezes at once those that cannot be moved. Under load, some of many
   * slots always have a request being started, which would prevent a move of all slots together.
   */
  #export(slots: readonly number[]): {
    readonly movable: readonly number[];
    readonly exported: readonly TransferredRequest[];
  } {
    const movable: number[] = [];
    const exported: TransferredRequest[] = [];
    for (const slot of slots) {
      const records = this.#options.records.export(inSlots([slot]));
      if (records === undefined) {
        this.#frozen.delete(slot);
        continue;
      }
      movable.push(slot);
      exported.push(...records);
    }
    return { movable, exported };
  }

  async #send(
    to: string,
    slots: readonly number[],
    records: readonly TransferredRequest[],
  ): Promise<boolean> {
    for (const chunk of splitIntoChunks(records)) {
      const req = { type: "slot-transfer" as const, slots, records: chunk };
      const reply = await this.#options.peers.call(to, req, TRANSFER_TIMEOUT_MS);
      if (!reply.ok || !reply.val.accepted) return false;
    }
    return true;
  }

  /**
   * Writes the new owner and retries until the outcome is certain. If a write with unknown outcome
   * took effect and this entry used the slots again, they would have two owners.
   */
  async #reassign(to: string, slots: readonly number[]): Promise<boolean> {
    const { store, peers, ownershipFollower, clock } = this.#options;
    const self = peers.self.incarnation;
    for (;;) {
      const result = await store.update(SLOT_OWNERSHIP_KIND, (doc, writeId) => {
        const next = doc && moveSlots(doc, slots, self, to);
        return next && { ...next, writeId };
      });
      if (result.ok) {
        const { current } = result.val;
        if (current === undefined) return false;
        ownershipFollower.adopt(current);
        return slots.every((slot) => current.value.slots[slot]?.incarnation !== self);
      }
      if (result.val.kind === "unavailable") return false;
      await clock.sleep(RETRY_MS);
    }
  }
}

/** Returns a predicate that is true for ids of callers' keys that hash to one of the slots. */
function inSlots(slots: readonly number[]): (requestId: string) => boolean {
  const set = new Set(slots);
  return (requestId) => {
    const id = parseRequestId(requestId);
    return id?.kind === "keyed" && set.has(id.slot);
  };
}

/** Splits records by size into at least one chunk, so that the peer always has to confirm. */
function splitIntoChunks(
  records: readonly TransferredRequest[],
): readonly (readonly TransferredRequest[])[] {
  const result: TransferredRequest[][] = [[]];
  let bytes = 0;
  for (const record of records) {
    const size = estimateSize(record);
    if (bytes > 0 && bytes + size > CHUNK_BYTES) {
      result.push([]);
      bytes = 0;
    }
    result.at(-1)?.push(record);
    bytes += size;
  }
  return result;
}

function estimateSize({ spec, state }: TransferredRequest): number {
  const answer = state.kind === "answered" ? state.payload.body.length : 0;
  return RECORD_BYTES + spec.payload.body.length + answer;
}
