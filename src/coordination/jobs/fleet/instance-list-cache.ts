import type { Clock } from "../../../ports/clock.ts";
import type { ControlledInstance, InstanceControl } from "../../../ports/instance-control.ts";
import type { Log } from "../../../ports/log.ts";

/** Minimum time in ms that a list is cached. List calls are rate limited and billed. */
const MIN_CACHE_MS = 250;
/** A list is cached for this multiple of its read time, because large lists fill slow links. */
const CACHE_TIME_FACTOR = 8;
/** Maximum time in ms that a list is cached. */
const MAX_CACHE_MS = 1500;

/** Options of {@link InstanceListCache}. */
export interface InstanceListCacheOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly instances: InstanceControl;
}

/** Lists the instances, and shares each result between all callers for a short time. */
export class InstanceListCache {
  readonly #options: InstanceListCacheOptions;
  #readAt = -Infinity;
  #cacheMs = MIN_CACHE_MS;
  #cached: Promise<readonly ControlledInstance[] | undefined> | undefined;

  constructor(options: InstanceListCacheOptions) {
    this.#options = options;
  }

  /** Returns the instances, or undefined if the list call failed. */
  read(): Promise<readonly ControlledInstance[] | undefined> {
    const now = this.#options.clock.now();
    if (this.#cached === undefined || now - this.#readAt >= this.#cacheMs) {
      this.#readAt = now;
      this.#cached = this.#list();
    }
    return this.#cached;
  }

  async #list(): Promise<readonly ControlledInstance[] | undefined> {
    const { clock, instances } = this.#options;
    const begunAt = clock.now();
    const listed = await instances.list();
    const tookMs = clock.now() - begunAt;
    this.#cacheMs = Math.min(MAX_CACHE_MS, Math.max(MIN_CACHE_MS, tookMs * CACHE_TIME_FACTOR));
    if (listed.ok) return listed.val;
    this.#options.log.warn({ err: listed.val }, "listing instances failed");
    return undefined;
  }
}
