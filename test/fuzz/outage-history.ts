import { IN_FORCE_MS } from "./operator-history.ts";

/** Connectivity of the simulated network at one point in time. */
export interface Connectivity {
  /** Identifies the live processes, so that a replaced process is detected. */
  readonly processes: string;
  /** Every two live processes reach each other, and each zone has at least one. */
  readonly fullyConnected: boolean;
  /** No live process reaches the platform. */
  readonly platformCut: boolean;
}

/**
 * Tracks from when entry instances must accept keyed requests during a platform-wide outage, by the
 * rule in section 7 of docs/design.md.
 */
export class OutageHistory {
  readonly #now: () => number;
  #processes = "";
  #connectedSince: number | undefined;
  #outageSince: number | undefined;

  constructor({ now }: { readonly now: () => number }) {
    this.#now = now;
  }

  /** Records the current connectivity. Called after every change of a fault, and regularly. */
  observed({ processes, fullyConnected: connected, platformCut }: Connectivity): void {
    const now = this.#now();
    const changed = processes !== this.#processes;
    this.#processes = processes;
    this.#connectedSince = connected ? (changed ? now : (this.#connectedSince ?? now)) : undefined;
    this.#outageSince = platformCut ? (this.#outageSince ?? now) : undefined;
  }

  /**
   * Time from which keyed requests must not be refused as stale; undefined if such a refusal is
   * allowed now. Entry instances need time to detect the outage and to report it to each other, and
   * they must have been connected for as long before the outage.
   */
  get keyedWorkRequiredFrom(): number | undefined {
    const [connectedSince, outageSince] = [this.#connectedSince, this.#outageSince];
    if (connectedSince === undefined || outageSince === undefined) return undefined;
    return connectedSince + IN_FORCE_MS <= outageSince ? outageSince + IN_FORCE_MS : undefined;
  }
}
