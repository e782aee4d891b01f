import type { Arrival } from "./scenario.ts";
import type { Site, TeamPlan } from "./site.ts";

/** One execution slot of a server, which belongs to one entry instance. */
export interface StaticSlot {
  readonly server: string;
  readonly pool: string;
  /** Number of the running request; undefined if the slot is free. */
  running: number | undefined;
}

/** Options of {@link StaticEntry}. */
export interface StaticEntryOptions {
  readonly site: Site;
  readonly teams: readonly TeamPlan[];
  /** Index of this entry instance. */
  readonly index: number;
  /** Number of entry instances. */
  readonly entries: number;
  readonly slots: readonly StaticSlot[];
  readonly requests: readonly Arrival[];
  /** Whether the server accepts new tasks. */
  readonly acceptsWork: (server: string) => boolean;
  readonly start: (n: number, slot: StaticSlot) => void;
}

/** An entry instance of the baseline: serves requests first come, first served on its own slots. */
export class StaticEntry {
  readonly #options: StaticEntryOptions;
  readonly #queues: ReadonlyMap<string, Set<number>>;
  readonly #remainingLimits: Map<string, number>;
  /** Requests whose callers wait for a reply from this entry. */
  readonly waiting = new Set<number>();
  dead = false;

  constructor(options: StaticEntryOptions) {
    this.#options = options;
    const { site, teams, index, entries } = options;
    this.#queues = new Map(site.pools.map(({ name }) => [name, new Set<number>()]));
    this.#remainingLimits = new Map(
      teams.map(({ name, upperLimit }) => [name, equalPart(upperLimit, index, entries)]),
    );
  }

  /** Whether the slot belongs to this entry. */
  owns(slot: StaticSlot): boolean {
    return this.#options.slots.includes(slot);
  }

  submit(n: number): void {
    this.waiting.add(n);
    this.#queueOf(n).add(n);
    this.startQueued();
  }

  /** Removes a request from its queue; true if it was still queued. */
  removeQueued(n: number): boolean {
    return this.#queueOf(n).delete(n);
  }

  /** Releases the team's limit after a task has ended, and starts queued requests. */
  taskEnded(n: number): void {
    const { team } = this.#options.requests[n]!;
    this.#remainingLimits.set(team, this.#remainingLimits.get(team)! + 1);
    this.startQueued();
  }

  /** Drops the queues and returns every request without a reply. Running tasks continue. */
  kill(): readonly number[] {
    this.dead = true;
    const lost = [...this.waiting];
    this.waiting.clear();
    for (const queue of this.#queues.values()) queue.clear();
    return lost;
  }

  /** Starts queued requests for which there is a free slot and the team's limit allows it. */
  startQueued(): void {
    if (this.dead) return;
    for (const [pool, queue] of this.#queues) {
      if (queue.size > 0) this.#startQueuedInPool(pool, queue);
    }
  }

  #startQueuedInPool(pool: string, queue: Set<number>): void {
    const { slots, requests, acceptsWork, start } = this.#options;
    const free = slots.filter(
      (slot) => slot.pool === pool && slot.running === undefined && acceptsWork(slot.server),
    );
    const teamsAtLimit = new Set<string>();
    for (const n of queue) {
      if (free.length === 0 || teamsAtLimit.size === this.#remainingLimits.size) return;
      const { team } = requests[n]!;
      const remaining = this.#remainingLimits.get(team)!;
      if (remaining <= 0) {
        teamsAtLimit.add(team);
        continue;
      }
      queue.delete(n);
      this.#remainingLimits.set(team, remaining - 1);
      start(n, free.shift()!);
    }
  }

  #queueOf(n: number): Set<number> {
    return this.#queues.get(this.#options.requests[n]!.queue)!;
  }
}

/** Splits a whole number into parts that differ by at most one, and returns one of them. */
function equalPart(whole: number, index: number, parts: number): number {
  return Math.floor(whole / parts) + (index < whole % parts ? 1 : 0);
}
