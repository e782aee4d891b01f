/** Proves from the lease reports of all entries that a lost incarnation cannot start work. */
import type { Clock } from "../ports/clock.ts";
import type { SlotOwnershipDocument } from "../protocol/slot-ownership-document.ts";
import type { Hello, LeaseReport, LeaseReportRequest } from "../protocol/peer-messages.ts";
import { activeMembers } from "../state/slot-ownership.ts";
import type { TeamCharge } from "../state/ledger.ts";
import type { DocumentFollower } from "./document-follower.ts";
import type { LeaseKeeper } from "./lease-keeper.ts";
import type { FleetView, Peers } from "./ports.ts";

const REPORT_TIMEOUT_MS = 1000;
/** Maximum time from first request to last reply, as a fraction of the lease time to live. */
const MAX_SPREAD_FRACTION = 0.4;

/** Options of {@link FencingProver}. */
export interface FencingProverOptions {
  readonly clock: Clock;
  readonly peers: Peers;
  readonly fleet: FleetView;
  readonly ownershipFollower: DocumentFollower<SlotOwnershipDocument>;
  readonly leases: LeaseKeeper;
  readonly leaseTtlMs: number;
}

/** Outcome of a successful proof for a zone. */
export interface Proof {
  /** Tasks still running that are charged to the incarnation. */
  readonly running: readonly TeamCharge[];
  /** True if every active member of every zone has seen the retirement mark. */
  readonly seenByAll: boolean;
}

interface Report {
  readonly incarnation: string;
  /** Zone of the reporting entry if it shares this entry's zone and group; otherwise empty. */
  readonly zone: string;
  /** Undefined if the entry did not reply. */
  readonly reply: LeaseReport | undefined;
}

/** Answers `lease-report` requests, and collects all entries' reports for a proof. */
export class FencingProver {
  readonly #options: FencingProverOptions;

  constructor(options: FencingProverOptions) {
    this.#options = options;
  }

  /** This entry's own report. */
  report(from: Pick<Hello, "group">, req: LeaseReportRequest): LeaseReport {
    const { leases, ownershipFollower, peers } = this.#options;
    const marked = ownershipFollower.current?.value.members.some(
      ({ incarnation, state }) => incarnation === req.incarnation && state !== "active",
    );
    // Entries of another group use another fleet document and hold none of these servers.
    const markSeenInFleet = from.group !== peers.self.group || this.#isMarkedInFleet(req);
    const markSeenInMembers = ownershipFollower.revision >= req.homesRevision && marked === true;
    if (!markSeenInMembers) void ownershipFollower.refresh();
    return {
      type: "lease-report-reply",
      seenMark: markSeenInMembers && markSeenInFleet,
      leases: leases.evidence(),
      adopted: leases.chargedTo(req.incarnation),
    };
  }

  /**
   * Requests a report from every active member. Returns undefined unless there was one moment at
   * which every server of the zone was leased by an entry that had seen the retirement mark.
   *
   * A lease counts as evidence only after 1.5 times its time to live, and all replies arrive within
   * 0.4 times that time. Each lease was therefore held when the first request was sent, and at that
   * moment no earlier holder could consider its own lease valid, not even on a server that was
   * rebooted since. The reported validity must also cover the receipt of the last reply.
   */
  async prove(incarnation: string, fleetRevision: number): Promise<Proof | undefined> {
    const { clock, ownershipFollower, fleet, peers, leaseTtlMs } = this.#options;
    const document = fleet.current();
    if (document === undefined || document.revision < fleetRevision) return undefined;
    const homesRevision = ownershipFollower.revision;
    const req = { type: "lease-report" as const, incarnation, fleetRevision, homesRevision };
    const sentAt = clock.now();
    const reports = await this.#collect(req);
    const receivedAt = clock.now();
    if (receivedAt - sentAt > leaseTtlMs * MAX_SPREAD_FRACTION) return undefined;
    const inZone = reports.filter(({ zone }) => zone === peers.self.zone);
    const seen = inZone.flatMap(({ reply }) => (reply?.seenMark === true ? [reply] : []));
    const covered = new Set(
      seen.flatMap(({ leases }) =>
        leases.filter(({ validMs }) => sentAt + validMs > receivedAt).map(({ server }) => server),
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
    const { ownershipFollower, peers } = this.#options;
    const { self } = peers;
    const members =
      ownershipFollower.current === undefined ? [] : activeMembers(ownershipFollower.current.value);
    return Promise.all(
      members.map(async ({ incarnation, zone, group }) => {
        const sameFleetZone = `${group}/${zone}` === `${self.group}/${self.zone}` ? self.zone : "";
        if (incarnation === self.incarnation) {
          return { incarnation, zone: sameFleetZone, reply: this.report(self, req) };
        }
        const reply = await peers.call(incarnation, req, REPORT_TIMEOUT_MS);
        return { incarnation, zone: sameFleetZone, reply: reply.ok ? reply.val : undefined };
      }),
    );
  }

  #isMarkedInFleet({ incarnation, fleetRevision }: LeaseReportRequest): boolean {
    const fleet = this.#options.fleet.current();
    if (fleet === undefined || fleet.revision < fleetRevision) return false;
    return fleet.retired.some((mark) => mark.incarnation === incarnation);
  }
}
