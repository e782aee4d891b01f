/** Membership according to the homes document, as last read by its follower. */
import {
  SLOT_OWNERSHIP_KEY,
  SlotOwnershipDocumentSchema,
  type SlotOwnershipDocument,
} from "../protocol/slot-ownership-document.ts";
import { findMember } from "../state/slot-ownership.ts";
import type { DocumentFollower } from "./document-follower.ts";
import type { DocumentKind } from "./document-store.ts";
import { Membership } from "./membership.ts";

/** Key and schema of the homes document, which stores the members and the owners of hash slots. */
export const SLOT_OWNERSHIP_KIND: DocumentKind<SlotOwnershipDocument> = {
  key: SLOT_OWNERSHIP_KEY,
  schema: SlotOwnershipDocumentSchema,
};

/**
 * Longest wait of a watch on the homes document. Keeps confirmations younger than the age up to
 * which an entry without leases acts as a request owner.
 */
export const SLOT_OWNERSHIP_WATCH_MS = 1500;

/** Options of {@link MemberView}. */
export interface MemberViewOptions {
  readonly ownershipFollower: DocumentFollower<SlotOwnershipDocument>;
  readonly incarnation: string;
}

/** Derives membership from the followed homes document. */
export class MemberView extends Membership {
  readonly #ownershipFollower: DocumentFollower<SlotOwnershipDocument>;
  readonly #incarnation: string;

  constructor({ ownershipFollower, incarnation }: MemberViewOptions) {
    super();
    this.#ownershipFollower = ownershipFollower;
    this.#incarnation = incarnation;
  }

  activeConfirmedAt(): number | undefined {
    return this.mayBeRetired(this.#incarnation) ? undefined : this.#ownershipFollower.confirmedAt;
  }

  refresh(): Promise<boolean> {
    return this.#ownershipFollower.refresh();
  }

  mayBeRetired(incarnation: string): boolean {
    const document = this.#ownershipFollower.current;
    return document === undefined || findMember(document.value, incarnation)?.state !== "active";
  }
}
