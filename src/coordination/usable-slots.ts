import type { Clock } from "../ports/clock.ts";
import type { HeldServers } from "./ports.ts";

/** Maximum age of a cached count in milliseconds; every start needs the count. */
const MAX_COUNT_AGE_MS = 20;
/**
 * Budget that a team with queued work may request beyond its running tasks when no slot is free.
 * A raise takes about a second; with 1, a team gained too little budget in that time.
 */
const MIN_SLOTS = 2;

/** Options of {@link UsableSlots}. */
export interface UsableSlotsOptions {
  readonly clock: Clock;
  /** Without it, slots are not bounded. */
  readonly held: HeldServers | undefined;
}

/** Counts how many more tasks the held servers could run. */
export class UsableSlots {
  readonly #options: UsableSlotsOptions;
  #count = 0;
  #countedAt = -Infinity;

  constructor(options: UsableSlotsOptions) {
    this.#options = options;
  }

  /**
   * Number of free slots, at least {@link MIN_SLOTS} if any server is usable. Under full load a
   * slot is taken again as soon as it is free, so a team without budget here would never get one.
   */
  count(): number {
    const { held, clock } = this.#options;
    if (held === undefined) return Infinity;
    if (clock.now() - this.#countedAt >= MAX_COUNT_AGE_MS) {
      const usable = held.list().filter(({ dispatchable }) => dispatchable);
      const free = usable.reduce((sum, { slots, running }) => sum + slots - running, 0);
      this.#count = usable.length === 0 ? 0 : Math.max(MIN_SLOTS, free);
      this.#countedAt = clock.now();
    }
    return this.#count;
  }
}
