import type { ServerRecord } from "../protocol/fleet-document.ts";
import type { Membership } from "./membership.ts";
import type { FleetView, Peers } from "./ports.ts";

/** Options of {@link ZoneView}. */
export interface ZoneViewOptions {
  readonly fleet: FleetView;
  readonly peers: Peers;
  readonly membership: Membership;
}

/** Servers of this entry's availability zone and the entries that share them. */
export class ZoneView {
  readonly #options: ZoneViewOptions;
  #records: readonly ServerRecord[] = [];
  #revision = -1;

  constructor(options: ZoneViewOptions) {
    this.#options = options;
  }

  /** Revision of the fleet document from which {@link records} were last derived. */
  get revision(): number {
    return this.#revision;
  }

  /** Records of the servers in this entry's zone. */
  records(): readonly ServerRecord[] {
    const { fleet, peers } = this.#options;
    const document = fleet.current();
    if (document === undefined) return [];
    if (document.revision !== this.#revision) {
      this.#revision = document.revision;
      this.#records = document.servers.filter((one) => one.zone === peers.self.zone);
    }
    return this.#records;
  }

  /** Reachable peers of this zone and group that are active and not shutting down. */
  livePeers(): readonly string[] {
    const { peers, membership } = this.#options;
    const { zone, group } = peers.self;
    return [...peers.gossip().values()].flatMap(({ hello, message }) => {
      const ours = hello.zone === zone && hello.group === group && !message.stopping;
      return ours && !membership.mayBeRetired(hello.incarnation) ? [hello.incarnation] : [];
    });
  }

  /**
   * True if an entry of the zone and group has a newer fleet document. With its older document
   * this entry would acquire a server after a reboot and give it work, although the server has been
   * drained since. The entry with the newer document can acquire the server instead.
   */
  isFleetStale(): boolean {
    const { peers, fleet } = this.#options;
    const { zone, group } = peers.self;
    const own = fleet.current()?.revision ?? 0;
    return [...peers.gossip().values()].some(
      ({ hello, message }) =>
        hello.zone === zone && hello.group === group && message.fleetRevision > own,
    );
  }

  /** Servers that reachable peers report as held. */
  heldByPeers(): ReadonlySet<string> {
    const states = [...this.#options.peers.gossip().values()];
    return new Set(states.flatMap(({ message }) => message.held));
  }
}
