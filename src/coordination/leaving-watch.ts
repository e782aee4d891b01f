import type { Clock } from "../platform/clock.ts";
import type { InstanceList } from "../platform/instance-list.ts";
import type { Counters, Peers } from "./ports.ts";

const INTERVAL_MS = 1000;

/** Options of {@link LeavingWatch}. */
export interface LeavingWatchOptions {
  readonly clock: Clock;
  readonly instanceList: InstanceList;
  readonly peers: Peers;
  readonly counters: Counters;
}

/**
 * Announces servers of the own zone that the instance list shows as leaving. It runs with a duty of
 * the zone besides the planner, so that a paused planner does not delay the sign.
 */
export class LeavingWatch {
  readonly #options: LeavingWatchOptions;

  constructor(options: LeavingWatchOptions) {
    this.#options = options;
  }

  /**
   * Reads the list every second while `needed`, until the signal aborts. After an outage or the end
   * of its holder the zone's duty may be vacant for seconds, in which nobody would see the sign.
   */
  async run(needed: () => boolean, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (needed()) await this.step();
      await this.#options.clock.sleep(INTERVAL_MS, signal);
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
