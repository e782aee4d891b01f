import { IN_FORCE_MS } from "./operator-history.ts";

/** What the network allowed at one moment. */
export interface Contact {
  /** Names the live processes, so that a change of them is seen. */
  readonly processes: string;
  /** Every two live processes reach each other, and each zone has one. */
  readonly whole: boolean;
  /** No live process reaches the platform. */
  readonly platformCut: boolean;
}

/** When the rule for platform-wide outages of section 7 of the design lets keyed work go on. */
export class OutageHistory {
  readonly #now: () => number;
  #processes = "";
  #wholeSince: number | undefined;
  #outageSince: number | undefined;

  constructor({ now }: { readonly now: () => number }) {
    this.#now = now;
  }

  /** Called after every change of a fault, and regularly. */
  observed({ processes, whole, platformCut }: Contact): void {
    const now = this.#now();
    const changed = processes !== this.#processes;
    this.#processes = processes;
    this.#wholeSince = whole ? (changed ? now : (this.#wholeSince ?? now)) : undefined;
    this.#outageSince = platformCut ? (this.#outageSince ?? now) : undefined;
  }

  /**
   * Time from which keyed work must not be refused as stale, undefined if it may be now. Entries
   * need time to notice the outage and to tell each other, and to have met before it.
   */
  get goesOnFrom(): number | undefined {
    const [whole, outage] = [this.#wholeSince, this.#outageSince];
    if (whole === undefined || outage === undefined) return undefined;
    return whole + IN_FORCE_MS <= outage ? outage + IN_FORCE_MS : undefined;
  }
}
