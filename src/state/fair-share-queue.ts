import type { Priority } from "../ports/backend-server.ts";

/** What `p-queue` hands to its queue class. */
export type RunFunction = () => Promise<unknown>;

/** Team under which work of queues open to all is counted. */
export const OPEN_TEAM = "";

/** What the queue needs to know about an item besides its run function. */
export interface FairShareOptions {
  readonly id?: string;
  readonly signal?: AbortSignal | undefined;
  /** {@link OPEN_TEAM} for work without a team. */
  readonly team: string;
  readonly precedence: Priority;
  /** Monotonic time of acceptance in milliseconds. */
  readonly acceptedAt: number;
  /** The item was in the queue before and goes ahead of newer ones of its team. */
  readonly returned?: boolean;
}

/** Decides which items may leave the queue now. Asked anew at each removal. */
export abstract class SharePolicy {
  /** True if a slot is free for this precedence; urgent work may use reserved slots. */
  abstract hasFreeSlot(precedence: Priority): boolean;
  /** True if the team's budget allows one more running task. */
  abstract hasBudget(team: string): boolean;
  /** Running tasks of the team divided by its weight, with a correction of lasting differences. */
  abstract usage(team: string): number;
  /** Tasks of the team started lately divided by its weight; decides between equal usages. */
  abstract recentStarts(team: string): number;
}

interface Item {
  readonly id: string;
  readonly run: RunFunction;
  readonly options: FairShareOptions;
  readonly lane: Lane;
}

/** First-in, first-out items of one team and precedence; maps keep removal at constant cost. */
class Lane {
  readonly #returned = new Map<string, Item>();
  readonly #fresh = new Map<string, Item>();

  get size(): number {
    return this.#returned.size + this.#fresh.size;
  }

  add(item: Item): void {
    (item.options.returned === true ? this.#returned : this.#fresh).set(item.id, item);
  }

  delete(id: string): void {
    if (!this.#returned.delete(id)) this.#fresh.delete(id);
  }

  first(): Item | undefined {
    for (const item of this.#returned.values()) return item;
    for (const item of this.#fresh.values()) return item;
    return undefined;
  }
}

const PRECEDENCES: readonly Priority[] = ["urgent", "normal", "batch"];

class TeamLanes {
  readonly lanes: Readonly<Record<Priority, Lane>> = {
    urgent: new Lane(),
    normal: new Lane(),
    batch: new Lane(),
  };

  get size(): number {
    return PRECEDENCES.reduce((sum, precedence) => sum + this.lanes[precedence].size, 0);
  }
}

/**
 * Queue class for `p-queue`: urgent work first, then the team with the least running work per
 * weight, within it normal before batch, then the oldest. Of teams with equal usage the one that
 * started less lately goes first; with few slots, usage alone would favour whoever queued first. Items whose team has no budget, or for
 * which no slot is free, are passed over.
 */
export class FairShareQueue {
  readonly #policy: SharePolicy;
  readonly #teams = new Map<string, TeamLanes>();
  readonly #items = new Map<string, Item>();
  readonly #counts: Record<Priority, number> = { urgent: 0, normal: 0, batch: 0 };

  constructor({ policy }: { readonly policy: SharePolicy }) {
    this.#policy = policy;
  }

  /** Number of queued items. */
  get length(): number {
    return this.#items.size;
  }

  /** 0 while no item may leave, because `p-queue` removes an item whenever the size is not 0. */
  get size(): number {
    return this.#next() === undefined ? 0 : this.#items.size;
  }

  /** True if an urgent item may leave now. */
  get urgentReady(): boolean {
    return this.#nextOf(["urgent"]) !== undefined;
  }

  enqueue(run: RunFunction, options: Partial<FairShareOptions> = {}): void {
    const { id = "", team = OPEN_TEAM, precedence = "normal", acceptedAt = 0 } = options;
    let lanes = this.#teams.get(team);
    if (lanes === undefined) this.#teams.set(team, (lanes = new TeamLanes()));
    const full = { ...options, team, precedence, acceptedAt };
    const item = { id, run, options: full, lane: lanes.lanes[precedence] };
    item.lane.add(item);
    this.#items.set(id, item);
    this.#counts[precedence]++;
  }

  dequeue(): RunFunction | undefined {
    const item = this.#next();
    if (item !== undefined) this.remove(item.id);
    return item?.run;
  }

  /** Removes an item at constant cost. */
  remove(id: string): void {
    const item = this.#items.get(id);
    if (item === undefined) return;
    this.#items.delete(id);
    this.#counts[item.options.precedence]--;
    item.lane.delete(id);
    if (this.#teams.get(item.options.team)?.size === 0) this.#teams.delete(item.options.team);
  }

  /** Queued items per team. */
  queuedByTeam(): ReadonlyMap<string, number> {
    return new Map([...this.#teams].map(([team, lanes]) => [team, lanes.size]));
  }

  /** Queued items of a team, or of all teams, at this precedence. */
  queued(precedence: Priority, team?: string): number {
    if (team === undefined) return this.#counts[precedence];
    return this.#teams.get(team)?.lanes[precedence].size ?? 0;
  }

  /** Time of acceptance of the oldest item of a precedence that waits for a slot, not a budget. */
  oldest(precedence: Priority): number | undefined {
    let oldest: number | undefined;
    for (const [team, lanes] of this.#teams) {
      const first = lanes.lanes[precedence].first();
      if (first === undefined || !this.#policy.hasBudget(team)) continue;
      oldest = Math.min(oldest ?? Infinity, first.options.acceptedAt);
    }
    return oldest;
  }

  /** Part of the queue contract of `p-queue`; the order here does not follow numbers. */
  filter(options: Readonly<Partial<FairShareOptions>>): RunFunction[] {
    return [...this.#items.values()]
      .filter((item) => options.team === undefined || item.options.team === options.team)
      .map((item) => item.run);
  }

  /** Part of the queue contract of `p-queue`; precedence is fixed when an item is queued. */
  setPriority(): void {
    throw new Error("the precedence of queued work does not change");
  }

  #next(): Item | undefined {
    return this.#nextOf(["urgent"]) ?? this.#nextOf(["normal", "batch"]);
  }

  #nextOf(precedences: readonly Priority[]): Item | undefined {
    const policy = this.#policy;
    // The policy is asked only about queued work, because its answers are costly.
    const ready = precedences.filter((p) => this.#counts[p] > 0 && policy.hasFreeSlot(p));
    if (ready.length === 0) return undefined;
    let best: Candidate | undefined;
    for (const [team, { lanes }] of this.#teams) {
      const item = ready.map((p) => lanes[p].first()).find((first) => first !== undefined);
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
