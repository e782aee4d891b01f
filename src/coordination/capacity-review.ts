import type { Clock } from "../platform/clock.ts";
import type { FailureAttribution } from "../state/failure-attribution.ts";
import type { TeamUsage } from "../state/team-usage.ts";
import type { PeerLoads } from "./peer-loads.ts";
import type { PoolLending } from "./pool-lending.ts";
import type { PoolWaits } from "./pool-waits.ts";
import type { ServerPicker } from "./server-picker.ts";
import type { TaskStarter } from "./task-starter.ts";

/** How often lending, offers and demand are reviewed without another cause. */
const REVIEW_INTERVAL_MS = 50;

/** Options of {@link CapacityReview}. */
export interface CapacityReviewOptions {
  readonly clock: Clock;
  readonly picker: ServerPicker;
  readonly starter: TaskStarter;
  readonly lending: PoolLending;
  readonly waits: PoolWaits;
  readonly loads: PeerLoads;
  readonly usage: TeamUsage;
  readonly attribution: FailureAttribution;
}

/** Keeps what the dispatcher derives from time and gossip up to date. */
export class CapacityReview {
  readonly #options: CapacityReviewOptions;
  #lastGossipAt = -1;

  constructor(options: CapacityReviewOptions) {
    this.#options = options;
  }

  /** Reviews until the signal aborts, each time followed by `then`. */
  async run(signal: AbortSignal, then: () => void): Promise<void> {
    const { clock, picker, starter } = this.#options;
    while (!signal.aborted) {
      this.#reviewPeers();
      picker.prune();
      starter.prune();
      this.#reviewPools();
      then();
      await clock.sleep(REVIEW_INTERVAL_MS, signal);
    }
  }

  #reviewPools(): void {
    const { clock, picker, lending, waits, loads, attribution } = this.#options;
    const atPeers = loads.longestWaits();
    for (const pool of lending.poolsInOrder()) {
      const wait = Math.max(waits.observed(pool), atPeers.get(pool) ?? 0);
      lending.update(pool, wait, clock.now());
      attribution.review(picker.serversOf(pool), picker.poolSize(pool));
    }
  }

  #reviewPeers(): void {
    const peers = this.#options.loads.takingWork().map(([, peer]) => peer);
    const newest = Math.max(-1, ...peers.map((peer) => peer.receivedAt));
    if (newest === this.#lastGossipAt) return;
    this.#lastGossipAt = newest;
    const running = new Map<string, number>();
    for (const { message } of peers) {
      for (const load of message.teams)
        running.set(load.team, (running.get(load.team) ?? 0) + load.running);
    }
    this.#options.usage.update(running, peers.length);
  }
}
