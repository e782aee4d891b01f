import type { Clock } from "../ports/clock.ts";
import type { PeerLoads } from "./peer-loads.ts";
import type { PeerOffers } from "./peer-offers.ts";
import type { PoolLending } from "./pool-lending.ts";
import type { PoolQueue, QueuedItem } from "./pool-queue.ts";
import type { WaitEstimator } from "./wait-estimator.ts";

/** Limit on the queued requests considered in one pass, which bounds the time of the pass. */
const MAX_OFFER_SCAN = 256;
/** Least time before the deadline to make an offer; the reply might arrive too late otherwise. */
const MIN_OFFER_TIME_MS = 100;

/** Options of {@link QueueOffers}. */
export interface QueueOffersOptions {
  readonly clock: Clock;
  readonly lending: PoolLending;
  readonly waits: WaitEstimator;
  readonly loads: PeerLoads;
  readonly offers: PeerOffers;
  /** True during shutdown, when all queued work should go to peers. */
  readonly stopping: () => boolean;
  /** Called with an item that certainly was not started, to queue it again. */
  readonly onDeclined: (item: QueuedItem) => void;
}

/** Offers queued items to peers that would start them sooner. */
export class QueueOffers {
  readonly #options: QueueOffersOptions;

  constructor(options: QueueOffersOptions) {
    this.#options = options;
  }

  /** Offers an item just added at the end of the queue, if a peer would start it sooner. */
  offerNewIfSooner(queue: PoolQueue, item: QueuedItem): void {
    this.#offerIfSooner(queue, item, this.#ownWait(item.pool, item));
  }

  /** Does the same for the items of a queue from its head, up to {@link MAX_OFFER_SCAN}. */
  offerAllIfSooner(pool: string, queue: PoolQueue): void {
    const count = queue.ownLength;
    if (count === 0 || this.#options.loads.peersAcceptingWork().length === 0) return;
    const waits = new Map<string, number>();
    let position = 0;
    for (const item of firstOf(queue.ownItems, MAX_OFFER_SCAN)) {
      position++;
      const key = `${item.work.spec.priority} ${item.team}`;
      const wait = waits.get(key) ?? this.#ownWait(pool, item);
      waits.set(key, wait);
      // An item near the head waits less than a new one at the end of the queue.
      this.#offerIfSooner(queue, item, Number.isFinite(wait) ? (wait * position) / count : wait);
    }
  }

  #offerIfSooner(queue: PoolQueue, item: QueuedItem, ownWaitMs: number): void {
    const { clock, lending, waits, offers } = this.#options;
    const { spec, expiresAt } = item.work;
    if (expiresAt - clock.now() < MIN_OFFER_TIME_MS) return;
    const peer = offers.choosePeer({
      pools: lending.poolsFor(item.pool),
      team: item.team,
      precedence: spec.priority,
      ownWaitMs,
      runMs: waits.expectedRunMs(spec.queue, item.team),
    });
    if (peer !== undefined && queue.remove(item)) void this.#offer(peer, item);
  }

  #ownWait(pool: string, item: QueuedItem): number {
    const precedence = item.work.spec.priority;
    if (this.#options.stopping()) return Infinity;
    return this.#options.waits.expectedWaitMs({ pool, team: item.team, precedence });
  }

  async #offer(peer: string, item: QueuedItem): Promise<void> {
    const ref = item.work.nextRef();
    item.stage = "offered";
    item.offeredTo = { peer, ref };
    const outcome = await this.#options.offers.offer(peer, item.work, ref);
    item.offeredTo = undefined;
    if (outcome.kind === "declined") this.#options.onDeclined(item);
    else if (outcome.kind === "lost")
      item.settle({ kind: "ambiguous", ref, server: undefined, holder: peer });
    else if (outcome.kind === "uncertain")
      item.settle({ kind: "ambiguous", ref, server: outcome.server, holder: peer });
    else item.settle({ kind: "started", ref, server: outcome.server, holder: peer });
  }
}

function firstOf<T>(items: Iterable<T>, limit: number): readonly T[] {
  const first: T[] = [];
  for (const item of items) {
    if (first.length >= limit) break;
    first.push(item);
  }
  return first;
}
