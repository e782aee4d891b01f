/** Membership as the followed homes document shows it. */
import { HOMES_KEY, HomesDocumentSchema, type HomesDocument } from "../protocol/homes-document.ts";
import { findMember } from "../state/slot-ownership.ts";
import type { DocumentFollower } from "./document-follower.ts";
import type { DocumentKind } from "./document-store.ts";
import { Membership } from "./membership.ts";

/** Kind of the homes document. */
export const HOMES_KIND: DocumentKind<HomesDocument> = {
  key: HOMES_KEY,
  schema: HomesDocumentSchema,
};

/** Longest wait of a watch of the homes document; keeps confirmations below the age that a home
 * without leases relies on. */
export const HOMES_WATCH_MS = 1500;

/** Options of {@link MemberView}. */
export interface MemberViewOptions {
  readonly homes: DocumentFollower<HomesDocument>;
  readonly incarnation: string;
}

/** Reads membership from the homes document. */
export class MemberView extends Membership {
  readonly #homes: DocumentFollower<HomesDocument>;
  readonly #incarnation: string;

  constructor({ homes, incarnation }: MemberViewOptions) {
    super();
    this.#homes = homes;
    this.#incarnation = incarnation;
  }

  activeAsOf(): number | undefined {
    return this.retired(this.#incarnation) ? undefined : this.#homes.confirmedAt;
  }

  refresh(): Promise<boolean> {
    return this.#homes.refresh();
  }

  retired(incarnation: string): boolean {
    const homes = this.#homes.current;
    return homes === undefined || findMember(homes.value, incarnation)?.state !== "active";
  }
}
