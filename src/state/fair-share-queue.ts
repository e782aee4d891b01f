import type { Priority } from "../ports/backend-server.ts";

/** Function that `p-queue` passes to its queue class to start an item. */
export type RunFunction = () => Promise<unknown>;

/** Team name under which work of open queues, which belong to no team, is counted. */
export const OPEN_TEAM = "";

/** Attributes of an item that determine its place in the queue. */
export interface FairShareOptions {
  readonly id?: string;
  readonly signal?: AbortSignal | undefined;
  /** {@link OPEN_TEAM} for work without a team. */
  readonly team: string;
  readonly precedence: Priority;
  /** Monotonic time of acceptance in milliseconds. */
  readonly acceptedAt: number;
  /** True if the item was dequeued before; it goes ahead of its team's items that were not. */
  readonly returned?: boolean;
}

/** Decides which items may be dequeued now. Evaluated at each removal. */
export abstract class SharePolicy {
  /** True if a slot is free for this precedence; urgent work may use reserved slots. */
  abstract hasFreeSlot(precedence: Priority): boolean;
  /** True if the team's budget allows one more running task. */
  abstract hasBudget(team: string): boolean;
  /** Running tasks of the team divided by its weight, plus a correction of lasting differences. */
  abstract usage(team: string): number;
  /** Recently started tasks of the team divided by its weight; breaks ties between equal usages. */
  abstract recentStarts(team: string): number;
}

interface Item {
  readonly id: string;
  readonly run: RunFunction;
  readonly options: FairShareOptions;
  readonly queue: FifoQueue;
}

/** FIFO queue of one team and precedence. Uses maps so that removal takes constant time. */
class FifoQueue {
  readonly #requeued = new Map<string, Item>();
  readonly #new = new Map<string, Item>();

  get size(): number {
    return this.#requeued.size + this.#new.size;
  }

  add(item: Item): void {
    (item.options.returned === true ? this.#requeued : this.#new).set(item.id, item);
  }

  delete(id: string): void {
    if (!this.#requeued.delete(id)) this.#new.delete(id);
  }

  first(): Item | undefined {
    for (const item of this.#requeued.values()) return item;
    for (const item of this.#new.values()) return item;
    return undefined;
  }
}

const PRECEDENCES: readonly Priority[] = ["urgent", "normal", "batch"];

class TeamQueues {
  readonly byPrecedence: Readonly<Record<Priority, FifoQueue>> = {
    urgent: new FifoQueue(),
    normal: new FifoQueue(),
    batch: new FifoQueue(),
  };

  get size(): number {
    return PRECEDENCES.reduce((sum, precedence) => sum + this.byPrecedence[precedence].size, 0);
  }
}

/**
 * Queue class for `p-queue`: urgent work first, then the team with the least running work per
 * weight, within a team normal before batch, then the oldest item. Among teams with equal usage,
 * the one with fewer recent starts goes first: with few slots, usage alone would favour the team
 * that queued first. Items are skipped if their team has no budget or no slot is free for them.
 */
export class FairShareQueue {
  readonly #policy: SharePolicy;
  readonly #teams = new Map<string, TeamQueues>();
  readonly #items = new Map<string, Item>();
  readonly #counts: Record<Priority, number> = { urgent: 0, normal: 0, batch: 0 };

  constructor({ policy }: { readonly policy: SharePolicy }) {
    this.#policy = policy;
  }

  /** Number of queued items. */
  get length(): number {
    return this.#items.size;
  }

  /** 0 while no item may be dequeued, because `p-queue` dequeues whenever the size is not 0. */
  get size(): number {
    return this.#next() === undefined ? 0 : this.#items.size;
  }

  /** True if an urgent item may be dequeued now. */
  get urgentReady(): boolean {
    return this.#nextOf(["urgent"]) !== undefined;
  }

  enqueue(run: RunFunction, options: Partial<FairShareOptions> = {}): void {
    const { id = "", team = OPEN_TEAM, precedence = "normal", acceptedAt = 0 } = options;
    let queues = this.#teams.get(team);
    if (queues === undefined) this.#teams.set(team, (queues = new TeamQueues()));
    const full = { ...options, team, precedence, acceptedAt };
    const item = { id, run, options: full, queue: queues.byPrecedence[precedence] };
    item.queue.add(item);
    this.#items.set(id, item);
    this.#counts[precedence]++;
  }

  dequeue(): RunFunction | undefined {
    const item = this.#next();
    if (item !== undefined) this.remove(item.id);
    return item?.run;
  }

  /** Removes an item in constant time. */
  remove(id: string): void {
    const item = this.#items.get(id);
    if (item === undefined) return;
    this.#items.delete(id);
    this.#counts[item.options.precedence]--;
    item.queue.delete(id);
    if (this.#teams.get(item.options.team)?.size === 0) this.#teams.delete(item.options.team);
  }

  /** Number of queued items per team. */
  queuedByTeam(): ReadonlyMap<string, number> {
    return new Map([...this.#teams].map(([team, queues]) => [team, queues.size]));
  }

  /** Number of queued items with this precedence, of one team or of all teams. */
  queued(precedence: Priority, team?: string): number {
    if (team === undefined) return this.#counts[precedence];
    return this.#teams.get(team)?.byPrecedence[precedence].size ?? 0;
  }

  /** Acceptance time of the oldest item of a precedence that waits for a slot, not for budget. */
  oldest(precedence: Priority): number | undefined {
    let oldest: number | undefined;
    for (const [team, queues] of this.#teams) {
      const first = queues.byPrecedence[precedence].first();
      if (first === undefined || !this.#policy.hasBudget(team)) continue;
      oldest = Math.min(oldest ?? Infinity, first.options.acceptedAt);
    }
    return oldest;
  }

  /** Required by the queue interface of `p-queue`. Returns items in order of insertion. */
  filter(options: Readonly<Partial<FairShareOptions>>): RunFunction[] {
    return [...this.#items.values()]
      .filter((item) => options.team === undefined || item.options.team === options.team)
      .map((item) => item.run);
  }

  /**
   * Required by the queue interface of `p-queue`. Not supported: precedence is fixed on enqueue.
   */
  setPriority(): void {
    throw new Error("the precedence of a queued item cannot be changed");
  }

  #next(): Item | undefined {
    return this.#nextOf(["urgent"]) ?? this.#nextOf(["normal", "batch"]);
  }

  #nextOf(precedences: readonly Priority[]): Item | undefined {
    const policy = this.#policy;
    // Evaluates the policy only for precedences with queued items, because each check is expensive.
    const ready = precedences.filter((p) => this.#counts[p] > 0 && policy.hasFreeSlot(p));
    if (ready.length === 0) return undefined;
    let best: Candidate | undefined;
    for (const [team, { byPrecedence }] of this.#teams) {
      const item = ready.map((p) => byPrecedence[p].first()).find((first) => first !== undefined);
      if (item === undefined || !policy.hasBudget(team)) continue;
      const candidate = { item, usage: policy.usage(team), recent: policy.recentStarts(team) };
      if (best === undefined || precedes(candidate, best)) best = candidate;
    }
    return best?.item;
  }
}

interface Candidate {
  readonly item: Item;
  readonly usage: number;
  readonly recent: number;
}

function precedes(a: Candidate, b: Candidate): boolean {
  if (a.usage !== b.usage) return a.usage < b.usage;
  if (a.recent !== b.recent) return a.recent < b.recent;
  return a.item.options.acceptedAt < b.item.options.acceptedAt;
}
