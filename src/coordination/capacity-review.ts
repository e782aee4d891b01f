import type { Clock } from "../ports/clock.ts";
import type { FailureAttribution } from "../state/failure-attribution.ts";
import type { TeamUsage } from "../state/team-usage.ts";
import type { PeerLoads } from "./peer-loads.ts";
import type { PoolLending } from "./pool-lending.ts";
import type { PoolQueue } from "./pool-queue.ts";
import type { WaitEstimator } from "./wait-estimator.ts";
import type { ServerPicker } from "./server-picker.ts";
import type { TaskStarter } from "./task-starter.ts";
import { WAIT_ENDED } from "./wait.ts";

/** Interval of the reviews of lending, offers and demand while work is queued or lent out. */
const REVIEW_INTERVAL_MS = 50;
/** Interval otherwise. Reviews every 50 ms took much of an idle entry's CPU time. */
const IDLE_REVIEW_INTERVAL_MS = 1000;

/** Options of {@link CapacityReview}. */
export interface CapacityReviewOptions {
  readonly clock: Clock;
  readonly queues: ReadonlyMap<string, PoolQueue>;
  readonly picker: ServerPicker;
  readonly starter: TaskStarter;
  readonly lending: PoolLending;
  readonly waits: WaitEstimator;
  readonly loads: PeerLoads;
  readonly usage: TeamUsage;
  readonly attribution: FailureAttribution;
}

/** Periodically updates the dispatcher state that depends on elapsed time and on gossip. */
export class CapacityReview {
  readonly #options: CapacityReviewOptions;
  #lastGossipAt = -1;
  /** Ends the current idle pause; undefined unless one is in progress. */
  #idlePause: AbortController | undefined;

  constructor(options: CapacityReviewOptions) {
    this.#options = options;
  }

  /** Runs reviews until the signal aborts, and calls `afterReview` after each. */
  async run(signal: AbortSignal, afterReview: () => void): Promise<void> {
    const { picker, starter } = this.#options;
    while (!signal.aborted) {
      this.#reviewPeers();
      picker.prune();
      starter.prune();
      this.#reviewPools();
      afterReview();
      await this.#pause(signal);
    }
  }

  /** Ends an idle pause if there is work: reviews now, and then at the short interval. */
  requestReview(): void {
    if (this.#idlePause !== undefined && this.#hasWork()) this.#idlePause.abort(WAIT_ENDED);
  }

  async #pause(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    if (this.#hasWork()) return clock.sleep(REVIEW_INTERVAL_MS, signal);
    const pause = new AbortController();
    const end = (): void => {
      pause.abort(WAIT_ENDED);
    };
    signal.addEventListener("abort", end);
    this.#idlePause = pause;
    await clock.sleep(IDLE_REVIEW_INTERVAL_MS, pause.signal);
    this.#idlePause = undefined;
    signal.removeEventListener("abort", end);
  }

  /** True while a decision can change because time passes, without any other event. */
  #hasWork(): boolean {
    const { queues, lending, loads } = this.#options;
    for (const queue of queues.values()) if (queue.length > 0) return true;
    return lending.isAnyPoolBorrowing() || loads.isWorkQueuedAtPeers();
  }

  #reviewPools(): void {
    const { clock, picker, lending, waits, loads, attribution } = this.#options;
    const atPeers = loads.longestWaits();
    for (const pool of lending.poolsInDispatchOrder()) {
      const wait = Math.max(waits.observedWaitMs(pool), atPeers.get(pool) ?? 0);
      lending.updatePool(pool, wait, clock.now());
      attribution.updateProbation(picker.heldServersOf(pool), picker.poolSize(pool));
    }
  }

  #reviewPeers(): void {
    const peers = this.#options.loads.peersAcceptingWork().map(([, peer]) => peer);
    const newest = Math.max(-1, ...peers.map((peer) => peer.requestedAt));
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
