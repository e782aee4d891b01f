import PQueue from "p-queue";
import type { Priority, TaskRef } from "../ports/backend-server.ts";
import {
  FairShareQueue,
  OPEN_TEAM,
  type FairShareOptions,
  type SharePolicy,
} from "../state/fair-share-queue.ts";
import { WAIT_ENDED } from "./wait.ts";
import type { StartOutcome, WithdrawReason, Work } from "./work.ts";

/** Work in a pool's queue. */
export interface QueuedItem {
  readonly id: string;
  readonly work: Work;
  readonly pool: string;
  readonly team: string;
  stage: "queued" | "starting" | "offered" | "settled";
  /** Reason for a withdrawal requested while the item is being started or offered. */
  withdrawn: WithdrawReason | undefined;
  /** Set while an offer to a peer is open. */
  offeredTo: { readonly peer: string; readonly ref: TaskRef } | undefined;
  /** Removes the item from the `p-queue` queue when aborted. */
  queueAbort: AbortController;
  readonly settle: (outcome: StartOutcome) => void;
}

/** Options of {@link PoolQueue}. */
export interface PoolQueueOptions {
  readonly policy: SharePolicy;
  /** Starts an item that left the queue. Picks its server before the first await. */
  readonly launch: (item: QueuedItem) => Promise<void>;
}

/** The dispatch queue of one pool: a `PQueue` whose order is that of {@link FairShareQueue}. */
export class PoolQueue {
  readonly #launch: (item: QueuedItem) => Promise<void>;
  readonly #order: FairShareQueue;
  readonly #queue: PQueue<FairShareQueue, FairShareOptions>;
  readonly #items = new Map<string, QueuedItem>();
  /** Items that no peer offered; only these may be offered to a peer. */
  readonly #own = new Map<string, QueuedItem>();

  constructor({ policy, launch }: PoolQueueOptions) {
    this.#launch = launch;
    const order = new FairShareQueue({ policy });
    this.#order = order;
    this.#queue = new PQueue({ queueClass: sharedQueueClass(order) });
  }

  get length(): number {
    return this.#order.length;
  }

  /** True if an urgent item may start now. */
  get urgentReady(): boolean {
    return this.#order.urgentReady;
  }

  get items(): Iterable<QueuedItem> {
    return this.#items.values();
  }

  /** Items that no peer offered, in the order in which they were queued. */
  get ownItems(): Iterable<QueuedItem> {
    return this.#own.values();
  }

  get ownLength(): number {
    return this.#own.size;
  }

  /** Number of queued items with this precedence, of one team or of all teams. */
  queued(precedence: Priority, team?: string): number {
    return this.#order.queued(precedence, team);
  }

  queuedByTeam(): ReadonlyMap<string, number> {
    return this.#order.queuedByTeam();
  }

  /** Acceptance time of the oldest item of a precedence that waits for a slot, not for budget. */
  oldestAcceptedAt(precedence: Priority): number | undefined {
    return this.#order.oldest(precedence);
  }

  /** Queues an item, and starts it at once if the policy allows it. */
  add(item: QueuedItem, returned: boolean): void {
    item.stage = "queued";
    item.queueAbort = new AbortController();
    this.#items.set(item.id, item);
    if (!item.work.offered) this.#own.set(item.id, item);
    const options = {
      id: item.id,
      signal: item.queueAbort.signal,
      team: item.team,
      precedence: item.work.spec.priority,
      acceptedAt: item.work.acceptedAt,
      returned,
    };
    const run = async (): Promise<void> => {
      this.#deleteItem(item);
      await this.#launch(item);
    };
    // Rejects only when `remove` aborts the item; whoever removed it settles its outcome.
    this.#queue.add(run, options).catch(() => undefined);
  }

  /** Removes an item from the queue in constant time. False if it is no longer queued. */
  remove(item: QueuedItem): boolean {
    if (!this.#deleteItem(item)) return false;
    item.queueAbort.abort(WAIT_ENDED);
    return true;
  }

  /** Starts every item that the policy allows now. */
  startAllowed(): void {
    this.#queue.pause();
    this.#queue.start();
  }

  #deleteItem(item: QueuedItem): boolean {
    this.#own.delete(item.id);
    return this.#items.delete(item.id);
  }
}

/** `p-queue` calls a queue class without arguments; this constructor returns a given queue. */
function sharedQueueClass(order: FairShareQueue): new () => FairShareQueue {
  return function sharedQueue() {
    return order;
  } as unknown as new () => FairShareQueue;
}

/** Team to which the fair-share queue assigns a request; {@link OPEN_TEAM} without a team. */
export function fairShareTeam(team: string | undefined): string {
  return team ?? OPEN_TEAM;
}
