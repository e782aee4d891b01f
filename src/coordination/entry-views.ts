import type { SlotOwnershipDocument } from "../protocol/slot-ownership-document.ts";
import type { TransferredRequest } from "../protocol/peer-messages.ts";
import { activeMembers } from "../state/slot-ownership.ts";
import { OutageView } from "./config-follower.ts";
import type { DocumentFollower } from "./document-follower.ts";
import type { PeerState } from "./ports.ts";
import type { RequestPath } from "./request-path.ts";
import { SlotRecords } from "./slot-transfer.ts";

/** Zones of the members and gossip of the peers, to detect a platform-wide outage. */
export class MembersOutageView extends OutageView {
  readonly #ownershipFollower: DocumentFollower<SlotOwnershipDocument>;
  readonly #peers: () => Iterable<PeerState>;

  constructor(
    ownershipFollower: DocumentFollower<SlotOwnershipDocument>,
    peers: () => Iterable<PeerState>,
  ) {
    super();
    this.#ownershipFollower = ownershipFollower;
    this.#peers = peers;
  }

  zones(): ReadonlySet<string> | undefined {
    const document = this.#ownershipFollower.current?.value;
    return document && new Set(activeMembers(document).map((member) => member.zone));
  }

  peers(): Iterable<PeerState> {
    return this.#peers();
  }
}

/**
 * The request path's records for slot transfers. The path is resolved lazily, because it is
 * constructed with the slot ownership that moves these records.
 */
export class RequestPathRecords extends SlotRecords {
  readonly #path: () => RequestPath;

  constructor(path: () => RequestPath) {
    super();
    this.#path = path;
  }

  export(matches: (requestId: string) => boolean): readonly TransferredRequest[] | undefined {
    return this.#path().records.export(matches);
  }

  import(records: readonly TransferredRequest[]): boolean {
    return this.#path().records.import(records);
  }

  drop(matches: (requestId: string) => boolean): void {
    this.#path().records.drop(matches);
  }
}
