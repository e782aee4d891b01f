import type { Clock } from "../../../ports/clock.ts";
import type { Log } from "../../../ports/log.ts";
import type { RecordStore } from "../../../ports/record-store.ts";
import {
  decodeInstanceOrders,
  encodeInstanceOrders,
  INSTANCE_ORDERS_KEY,
} from "../../../protocol/job-records.ts";
import type { LockTenure } from "../election/scheduler-lock.ts";

/** Allowance in ms for clock skew between the entry instances that write and read the orders. */
const CLOCK_SKEW_MARGIN_MS = 1500;

/** Options of {@link InstanceOrderTimes}. */
export interface InstanceOrderTimesOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly tenure: LockTenure;
  /** Minimum time in ms between orders of two successive schedulers to the same instance. */
  readonly takeoverPauseMs: number;
}

/**
 * Stores when each instance last received an order, so that a new scheduler delays its orders only
 * to the instances that were ordered recently.
 */
export class InstanceOrderTimes {
  readonly #options: InstanceOrderTimesOptions;
  /** Wall time in ms of this scheduler's recent orders, by instance. */
  readonly #recent = new Map<string, number>();
  /** Wall time in ms of the previous scheduler's last order, by instance; undefined until read. */
  #inherited: ReadonlyMap<string, number> | undefined;

  constructor(options: InstanceOrderTimesOptions) {
    this.#options = options;
  }

  /** Reads the previous scheduler's order times. Resolves false if the store can't be read. */
  async load(): Promise<boolean> {
    if (this.#inherited !== undefined) return true;
    const { store, log } = this.#options;
    const record = await store.get(INSTANCE_ORDERS_KEY);
    if (record.err) return false;
    const orders = record.val === undefined ? {} : decodeInstanceOrders(record.val.value)?.orders;
    if (orders === undefined) log.error({ key: INSTANCE_ORDERS_KEY }, "record is unreadable");
    this.#inherited = new Map(Object.entries(orders ?? {}));
    return true;
  }

  /** False while the previous scheduler's last order to the instance is too recent. */
  allowed(instance: string): boolean {
    const at = this.#inherited?.get(instance);
    if (at === undefined) return true;
    const { clock, takeoverPauseMs } = this.#options;
    return Math.abs(clock.wallTime() - at) > takeoverPauseMs + CLOCK_SKEW_MARGIN_MS;
  }

  /** Stores the time of orders that are about to be sent. Resolves false if they must not be sent. */
  async persist(instances: readonly string[]): Promise<boolean> {
    if (instances.length === 0) return true;
    const { store, clock, log, tenure, takeoverPauseMs } = this.#options;
    const now = clock.wallTime();
    for (const [name, at] of this.#recent)
      if (now - at > takeoverPauseMs + CLOCK_SKEW_MARGIN_MS) this.#recent.delete(name);
    for (const name of instances) this.#recent.set(name, now);
    const value = encodeInstanceOrders({ orders: Object.fromEntries(this.#recent) });
    const put = { key: INSTANCE_ORDERS_KEY, value };
    const written = await store.commit({ conditions: [tenure.condition], puts: [put] });
    if (written.err) log.warn({ err: written.val }, "orders to instances not stored");
    return written.ok && tenure.valid;
  }
}
