import type { Clock } from "../ports/clock.ts";
import { FleetHealth } from "../state/fleet-situation.ts";
import type { FleetView, HeldServers, Peers } from "./ports.ts";

/** Time in milliseconds after which a server that no entry of its zone holds counts as down. */
const DOWN_AFTER_MS = 10_000;
/**
 * Minimum interval between observations in milliseconds. A planning round queries every server, and
 * each observation reads all leases and all gossip.
 */
const OBSERVE_INTERVAL_MS = 50;

/** Options of {@link LeaseBasedHealth}. */
export interface LeaseBasedHealthOptions {
  readonly clock: Clock;
  readonly held: HeldServers;
  readonly peers: Peers;
  readonly fleet: FleetView;
  /** True if tasks that succeed on other servers fail on this server. */
  readonly isFaulty: (server: string) => boolean;
}

/** Derives the health of servers from whether an entry holds their lease. */
export class LeaseBasedHealth extends FleetHealth {
  readonly #options: LeaseBasedHealthOptions;
  readonly #lastKnownLive = new Map<string, number>();
  /** Like `#lastKnownLive`, but set only when an entry reported holding the server. */
  readonly #lastReported = new Map<string, number>();
  #observedAt = -Infinity;

  constructor(options: LeaseBasedHealthOptions) {
    super();
    this.#options = options;
  }

  /**
   * False if an entry of the server's zone is in contact and no entry has held the server for
   * {@link DOWN_AFTER_MS}. A server of a zone without contact counts as live, because its state is
   * unknown.
   */
  isLive(server: string): boolean {
    const { clock, fleet } = this.#options;
    const now = clock.now();
    this.#observe(now);
    const since = this.#lastKnownLive.get(server);
    if (since === undefined) {
      this.#lastKnownLive.set(server, now);
      return true;
    }
    if (now - since <= DOWN_AFTER_MS) return true;
    const zone = fleet.current()?.servers.find((record) => record.name === server)?.zone;
    return zone === undefined || !this.#zonesInContact().has(zone);
  }

  override isConfirmedLive(server: string): boolean {
    const now = this.#options.clock.now();
    this.#observe(now);
    return now - (this.#lastReported.get(server) ?? -Infinity) <= DOWN_AFTER_MS;
  }

  isFaulty(server: string): boolean {
    return this.#options.isFaulty(server);
  }

  #observe(now: number): void {
    if (now - this.#observedAt < OBSERVE_INTERVAL_MS) return;
    this.#observedAt = now;
    const { held, peers } = this.#options;
    const heldByPeers = [...peers.gossip().values()].flatMap(({ message }) => message.held);
    for (const name of [...held.list().map((server) => server.name), ...heldByPeers]) {
      this.#lastKnownLive.set(name, now);
      this.#lastReported.set(name, now);
    }
  }

  #zonesInContact(): ReadonlySet<string> {
    const { peers } = this.#options;
    const others = [...peers.gossip().values()].map(({ hello }) => hello.zone);
    return new Set([peers.self.zone, ...others]);
  }
}
