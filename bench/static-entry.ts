import type { Arrival } from "./scenario.ts";
import type { Site, TeamPlan } from "./site.ts";

/** One execution slot of a server, which belongs to one entry instance. */
export interface StaticSlot {
  readonly server: string;
  readonly pool: string;
  /** Number of the request that runs. */
  running: number | undefined;
}

/** Options of {@link StaticEntry}. */
export interface StaticEntryOptions {
  readonly site: Site;
  readonly teams: readonly TeamPlan[];
  readonly index: number;
  readonly entries: number;
  readonly slots: readonly StaticSlot[];
  readonly requests: readonly Arrival[];
  /** Whether the server takes new work. */
  readonly acceptsWork: (server: string) => boolean;
  readonly start: (n: number, slot: StaticSlot) => void;
}

/** An entry instance of the baseline: first come first served on its own slots. */
export class StaticEntry {
  readonly #options: StaticEntryOptions;
  readonly #queues: ReadonlyMap<string, Set<number>>;
  readonly #room: Map<string, number>;
  /** Requests whose callers wait here. */
  readonly waiting = new Set<number>();
  dead = false;

  constructor(options: StaticEntryOptions) {
    this.#options = options;
    const { site, teams, index, entries } = options;
    this.#queues = new Map(site.pools.map(({ name }) => [name, new Set<number>()]));
    this.#room = new Map(
      teams.map(({ name, upperLimit }) => [name, equalPart(upperLimit, index, entries)]),
    );
  }

  /** Whether the slot is part of this entry's share. */
  owns(slot: StaticSlot): boolean {
    return this.#options.slots.includes(slot);
  }

  submit(n: number): void {
    this.waiting.add(n);
    this.#queueOf(n).add(n);
    this.startQueued();
  }

  /** True if the request was still queued. */
  removeQueued(n: number): boolean {
    return this.#queueOf(n).delete(n);
  }

  /** The slot's task ended. */
  taskEnded(n: number): void {
    const { team } = this.#options.requests[n]!;
    this.#room.set(team, this.#room.get(team)! + 1);
    this.startQueued();
  }

  kill(): readonly number[] {
    this.dead = true;
    const lost = [...this.waiting];
    this.waiting.clear();
    for (const queue of this.#queues.values()) queue.clear();
    return lost;
  }

  startQueued(): void {
    if (this.dead) return;
    for (const [pool, queue] of this.#queues) {
      if (queue.size > 0) this.#startPool(pool, queue);
    }
  }

  #startPool(pool: string, queue: Set<number>): void {
    const { slots, requests, acceptsWork: serves, start } = this.#options;
    const free = slots.filter(
      (slot) => slot.pool === pool && slot.running === undefined && serves(slot.server),
    );
    const full = new Set<string>();
    for (const n of queue) {
      if (free.length === 0 || full.size === this.#room.size) return;
      const { team } = requests[n]!;
      const room = this.#room.get(team)!;
      if (room <= 0) {
        full.add(team);
        continue;
      }
      queue.delete(n);
      this.#room.set(team, room - 1);
      start(n, free.shift()!);
    }
  }

  #queueOf(n: number): Set<number> {
    return this.#queues.get(this.#options.requests[n]!.queue)!;
  }
}

/** Part of a whole number; parts differ by at most one. */
function equalPart(whole: number, index: number, parts: number): number {
  return Math.floor(whole / parts) + (index < whole % parts ? 1 : 0);
}
