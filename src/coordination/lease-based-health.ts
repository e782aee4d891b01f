import type { Clock } from "../ports/clock.ts";
import { FleetHealth } from "../state/fleet-situation.ts";
import type { FleetView, HeldServers, Peers } from "./ports.ts";

/** A server that no entry of its zone has held for this long counts as down, in milliseconds. */
const DOWN_AFTER_MS = 10_000;
/** A planning round asks about every server, and each look reads all leases and all gossip. */
const OBSERVE_INTERVAL_MS = 50;

/** Options of {@link LeaseBasedHealth}. */
export interface LeaseBasedHealthOptions {
  readonly clock: Clock;
  readonly held: HeldServers;
  readonly peers: Peers;
  readonly fleet: FleetView;
  /** True if tasks fail on the server that succeed elsewhere. */
  readonly isFaulty: (server: string) => boolean;
}

/** Judges servers by whether some entry holds their lease. */
export class LeaseBasedHealth extends FleetHealth {
  readonly #options: LeaseBasedHealthOptions;
  readonly #lastHeld = new Map<string, number>();
  /** Like `#lastHeld`, but only from what entries stated. */
  readonly #stated = new Map<string, number>();
  #observedAt = -Infinity;

  constructor(options: LeaseBasedHealthOptions) {
    super();
    this.#options = options;
  }

  /**
   * False if an entry of the server's zone is in contact and nobody has held the server for a
   * while. A server of a zone without contact counts as live, because nothing is known of it.
   */
  live(server: string): boolean {
    const { clock, fleet } = this.#options;
    const now = clock.now();
    this.#observe(now);
    const since = this.#lastHeld.get(server);
    if (since === undefined) {
      this.#lastHeld.set(server, now);
      return true;
    }
    if (now - since <= DOWN_AFTER_MS) return true;
    const zone = fleet.current()?.servers.find((record) => record.name === server)?.zone;
    return zone === undefined || !this.#zonesInContact().has(zone);
  }

  override confirmed(server: string): boolean {
    const now = this.#options.clock.now();
    this.#observe(now);
    return now - (this.#stated.get(server) ?? -Infinity) <= DOWN_AFTER_MS;
  }

  faulty(server: string): boolean {
    return this.#options.isFaulty(server);
  }

  #observe(now: number): void {
    if (now - this.#observedAt < OBSERVE_INTERVAL_MS) return;
    this.#observedAt = now;
    const { held, peers } = this.#options;
    const stated = [...peers.gossip().values()].flatMap(({ message }) => message.held);
    for (const name of [...held.list().map((server) => server.name), ...stated]) {
      this.#lastHeld.set(name, now);
      this.#stated.set(name, now);
    }
  }

  #zonesInContact(): ReadonlySet<string> {
    const { peers } = this.#options;
    const others = [...peers.gossip().values()].map(({ hello }) => hello.zone);
    return new Set([peers.self.zone, ...others]);
  }
}
