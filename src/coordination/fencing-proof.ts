/** Evidence that a lost incarnation can start no work: who reports what, and when it suffices. */
import type { Clock } from "../ports/clock.ts";
import type { SlotOwnershipDocument } from "../protocol/slot-ownership-document.ts";
import type { Hello, LeaseReport, LeaseReportRequest } from "../protocol/peer-messages.ts";
import { activeMembers } from "../state/slot-ownership.ts";
import type { TeamCharge } from "../state/ledger.ts";
import type { DocumentFollower } from "./document-follower.ts";
import type { LeaseKeeper } from "./lease-keeper.ts";
import type { FleetView, Peers } from "./ports.ts";

const REPORT_TIMEOUT_MS = 1000;
/** Longest time from the first request to the last reply, as a part of the lease time to live. */
const MAX_SPREAD_PART = 0.4;

/** Options of {@link FencingProof}. */
export interface FencingProofOptions {
  readonly clock: Clock;
  readonly peers: Peers;
  readonly fleet: FleetView;
  readonly homes: DocumentFollower<SlotOwnershipDocument>;
  readonly leases: LeaseKeeper;
  readonly leaseTtlMs: number;
}

/** Outcome of a successful proof for a zone. */
export interface Proof {
  /** Tasks still running that are charged to the incarnation. */
  readonly running: readonly TeamCharge[];
  /** True if every active member of every zone has seen the mark. */
  readonly seenByAll: boolean;
}

interface Report {
  readonly incarnation: string;
  readonly zone: string;
  readonly reply: LeaseReport | undefined;
}

/** Answers `lease-report` and collects the reports of others. */
export class FencingProof {
  readonly #options: FencingProofOptions;

  constructor(options: FencingProofOptions) {
    this.#options = options;
  }

  /** This entry's own report. */
  report(from: Pick<Hello, "group">, req: LeaseReportRequest): LeaseReport {
    const { leases, homes, peers } = this.#options;
    const marked = homes.current?.value.members.some(
      ({ incarnation, state }) => incarnation === req.incarnation && state !== "active",
    );
    // Entries of another group follow another fleet document and hold none of these servers.
    const fleetSeen = from.group !== peers.self.group || this.#fleetMarked(req);
    const homesSeen = homes.revision >= req.homesRevision && marked === true;
    if (!homesSeen) void homes.refresh();
    return {
      type: "lease-report-reply",
      seenMark: homesSeen && fleetSeen,
      leases: leases.evidence(),
      adopted: leases.chargedTo(req.incarnation),
    };
  }

  /**
   * Asks every active member. Undefined unless every server of the zone was under a lease of a
   * reporting entry at one instant.
   *
   * A lease counts as evidence only after 1.5 times its time to live, and all replies arrive within
   * 0.4 times of it. So each lease was held at the instant at which the first request was sent, and
   * at that instant no earlier holder could believe in a lease of its own, not even on a server
   * that was rebooted since. The reported validity must also cover the receipt of the last reply.
   */
  async prove(incarnation: string, fleetRevision: number): Promise<Proof | undefined> {
    const { clock, homes, fleet, peers, leaseTtlMs } = this.#options;
    const document = fleet.current();
    if (document === undefined || document.revision < fleetRevision) return undefined;
    const homesRevision = homes.revision;
    const req = { type: "lease-report" as const, incarnation, fleetRevision, homesRevision };
    const sentAt = clock.now();
    const reports = await this.#collect(req);
    const instant = clock.now();
    if (instant - sentAt > leaseTtlMs * MAX_SPREAD_PART) return undefined;
    const inZone = reports.filter(({ zone }) => zone === peers.self.zone);
    const seen = inZone.flatMap(({ reply }) => (reply?.seenMark === true ? [reply] : []));
    const covered = new Set(
      seen.flatMap(({ leases }) =>
        leases.filter(({ validMs }) => sentAt + validMs > instant).map(({ server }) => server),
      ),
    );
    const servers = document.servers.filter(({ zone }) => zone === peers.self.zone);
    if (servers.some(({ name }) => !covered.has(name))) return undefined;
    return {
      running: seen.flatMap(({ adopted }) => adopted),
      seenByAll: reports.every(({ reply }) => reply?.seenMark === true),
    };
  }

  async #collect(req: LeaseReportRequest): Promise<readonly Report[]> {
    const { homes, peers } = this.#options;
    const { self } = peers;
    const members = homes.current === undefined ? [] : activeMembers(homes.current.value);
    return Promise.all(
      members.map(async ({ incarnation, zone, group }) => {
        const place = `${group}/${zone}` === `${self.group}/${self.zone}` ? self.zone : "";
        if (incarnation === self.incarnation) {
          return { incarnation, zone: place, reply: this.report(self, req) };
        }
        const reply = await peers.call(incarnation, req, REPORT_TIMEOUT_MS);
        return { incarnation, zone: place, reply: reply.ok ? reply.val : undefined };
      }),
    );
  }

  #fleetMarked({ incarnation, fleetRevision }: LeaseReportRequest): boolean {
    const fleet = this.#options.fleet.current();
    if (fleet === undefined || fleet.revision < fleetRevision) return false;
    return fleet.retired.some((mark) => mark.incarnation === incarnation);
  }
}
