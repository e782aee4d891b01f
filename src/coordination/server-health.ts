import type { Clock } from "../platform/clock.ts";
import { FleetHealth } from "../state/fleet-situation.ts";
import type { FleetView, HeldServers, Peers } from "./ports.ts";

/**
 * A server that no entry of its zone has held for this long is down. It covers a takeover: the
 * lease of a lost entry lapses after 4 s, and the next holder gossips within 1 s.
 */
const DOWN_AFTER_MS = 8000;

/** What one entry knows about the health of its own zone's servers. */
export interface HealthReport {
  readonly zone: string;
  /** Servers that no entry of the zone holds. */
  readonly down: readonly string[];
  /** Servers on which tasks fail that succeed elsewhere. */
  readonly bad: readonly string[];
}

/** Options of {@link ZoneHealth}. */
export interface ZoneHealthOptions {
  readonly clock: Clock;
  readonly zone: string;
  readonly fleet: FleetView;
  readonly held: HeldServers;
  readonly peers: Peers;
  /** Servers under suspicion at this entry. */
  readonly bad: () => readonly string[];
}

/** Watches the servers of this entry's zone through the leases that its entries hold. */
export class ZoneHealth {
  readonly #options: ZoneHealthOptions;
  readonly #unheldSince = new Map<string, number>();

  constructor(options: ZoneHealthOptions) {
    this.#options = options;
  }

  /** The present report. To be called at least every second, since it also keeps the times. */
  report(): HealthReport {
    const { clock, zone, fleet, bad } = this.#options;
    const now = clock.now();
    const held = this.#heldInZone();
    const ours = (fleet.current()?.servers ?? []).filter((server) => server.zone === zone);
    const names = new Set(ours.map((server) => server.name));
    for (const name of [...this.#unheldSince.keys()]) {
      if (held.has(name) || !names.has(name)) this.#unheldSince.delete(name);
    }
    const down: string[] = [];
    for (const { name } of ours) {
      if (held.has(name)) continue;
      const since = this.#unheldSince.get(name) ?? now;
      this.#unheldSince.set(name, since);
      if (now - since >= DOWN_AFTER_MS) down.push(name);
    }
    return { zone, down, bad: bad() };
  }

  #heldInZone(): ReadonlySet<string> {
    const { zone, held, peers } = this.#options;
    const names = new Set(held.list().map((server) => server.name));
    for (const { hello, message } of peers.gossip().values()) {
      if (hello.zone !== zone) continue;
      for (const name of message.held) names.add(name);
    }
    return names;
  }
}

/** Options of {@link ReportedHealth}. */
export interface ReportedHealthOptions {
  /** Reports of this entry and of all entries in contact. */
  readonly reports: () => Iterable<HealthReport>;
  /** Servers that were announced as leaving, by themselves or by the platform. */
  readonly leaving: () => Iterable<string>;
}

/** Health of all servers as the entries of their zones report it. */
export class ReportedHealth extends FleetHealth {
  readonly #options: ReportedHealthOptions;

  constructor(options: ReportedHealthOptions) {
    super();
    this.#options = options;
  }

  /** A server is down if all entries of a zone in contact that know it agree. */
  live(server: string): boolean {
    if ([...this.#options.leaving()].includes(server)) return false;
    const downIn = new Set<string>();
    const reports = [...this.#options.reports()];
    for (const { zone, down } of reports) if (down.includes(server)) downIn.add(zone);
    return ![...downIn].some((zone) =>
      reports.filter((report) => report.zone === zone).every((r) => r.down.includes(server)),
    );
  }

  bad(server: string): boolean {
    return [...this.#options.reports()].some((report) => report.bad.includes(server));
  }
}
