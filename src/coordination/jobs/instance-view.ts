import type { Clock } from "../../ports/clock.ts";
import type { ControlledInstance, InstanceControl } from "../../ports/instance-control.ts";
import type { Log } from "../../ports/log.ts";

/** Readings of the list are shared for this time in ms, because they are limited and priced. */
const LEAST_SHARED_MS = 250;
/** A reading is shared for this multiple of the time that it took: large lists fill small links. */
const SHARED_FACTOR = 8;
const MOST_SHARED_MS = 1500;

/** Options of {@link InstanceView}. */
export interface InstanceViewOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly instances: InstanceControl;
}

/** The list of instances, read at most once in a short time for all who ask. */
export class InstanceView {
  readonly #options: InstanceViewOptions;
  #readAt = -Infinity;
  #sharedMs = LEAST_SHARED_MS;
  #reading: Promise<readonly ControlledInstance[] | undefined> | undefined;

  constructor(options: InstanceViewOptions) {
    this.#options = options;
  }

  /** The instances; undefined if they can't be read now. */
  read(): Promise<readonly ControlledInstance[] | undefined> {
    const now = this.#options.clock.now();
    if (this.#reading === undefined || now - this.#readAt >= this.#sharedMs) {
      this.#readAt = now;
      this.#reading = this.#list();
    }
    return this.#reading;
  }

  async #list(): Promise<readonly ControlledInstance[] | undefined> {
    const { clock, instances } = this.#options;
    const begunAt = clock.now();
    const listed = await instances.list();
    const tookMs = clock.now() - begunAt;
    this.#sharedMs = Math.min(MOST_SHARED_MS, Math.max(LEAST_SHARED_MS, tookMs * SHARED_FACTOR));
    if (listed.ok) return listed.val;
    this.#options.log.warn({ err: listed.val }, "instances cannot be listed");
    return undefined;
  }
}
