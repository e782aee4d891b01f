import type { Clock } from "../ports/clock.ts";
import type { InstanceList } from "../ports/instance-list.ts";
import type { Counters, Peers } from "./ports.ts";

/** Interval in milliseconds between reads by an entry without a leader role; must be below 3 s. */
const READ_INTERVAL_MS = 2000;

/** Options of {@link LeavingServerMonitor}. */
export interface LeavingServerMonitorOptions {
  readonly clock: Clock;
  readonly instanceList: InstanceList;
  readonly peers: Peers;
  readonly counters: Counters;
}

/**
 * Announces servers of this entry's zone that the instance list shows as leaving. It runs under a
 * leader role of the zone in addition to the planner, so that a paused planner does not delay the
 * announcement.
 */
export class LeavingServerMonitor {
  readonly #options: LeavingServerMonitorOptions;

  constructor(options: LeavingServerMonitorOptions) {
    this.#options = options;
  }

  /**
   * Reads the list every 2 s while `needed`, until the signal aborts. The two leaders read it more
   * often, but both may be paused or gone, and after an outage the leader roles may be vacant.
   */
  async run(needed: () => boolean, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (needed()) await this.step();
      await this.#options.clock.sleep(READ_INTERVAL_MS, signal);
    }
  }

  /** Reads the list once. */
  async step(): Promise<void> {
    const { instanceList, peers, counters } = this.#options;
    const listed = await instanceList.list();
    if (listed.err) {
      counters.event("leaving_list_unavailable");
      return;
    }
    for (const { name, zone, state } of listed.val) {
      if (state === "leaving" && zone === peers.self.zone) peers.announceLeaving(name);
    }
  }
}
