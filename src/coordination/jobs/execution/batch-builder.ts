import type { ClockReading } from "../../../ports/clock.ts";
import {
  encodeOrderBatch,
  type RelayedContent,
  type RelayedOrder,
} from "../../../protocol/order-batch.ts";
import type { SentSpecs } from "../../../state/jobs/execution/relayed-specs.ts";

/** Limits of one batch. A longer one would delay what is queued behind it on the connection. */
export const MAX_BATCH_ORDERS = 200;
export const MAX_BATCH_BYTES = 64 * 1024;
/** Estimated bytes of an order without its job spec. */
export const ORDER_BYTES = 150;

/** An order that waits for a batch. */
export interface QueuedOrder {
  readonly order: RelayedOrder;
  /** Job spec of a start. */
  readonly spec: string | undefined;
}

/** Content of an order before its job spec has a number. */
export type OrderContent =
  | Exclude<RelayedContent, { readonly kind: "start" }>
  | Omit<Extract<RelayedContent, { readonly kind: "start" }>, "spec">;

/** Collects the orders of one batch, and the job specs that the executor does not have yet. */
export class BatchBuilder {
  readonly orders: RelayedOrder[] = [];
  readonly specs: (readonly [number, string])[] = [];
  readonly #sent: SentSpecs;
  #bytes = 0;

  constructor(sent: SentSpecs) {
    this.#sent = sent;
  }

  get full(): boolean {
    return this.orders.length >= MAX_BATCH_ORDERS || this.#bytes >= MAX_BATCH_BYTES;
  }

  /** Adds an order; `spec` is the job spec of a start. */
  add({ order, spec }: QueuedOrder): void {
    this.#bytes += ORDER_BYTES;
    if (order.kind !== "start" || spec === undefined) {
      this.orders.push(order);
      return;
    }
    const { number, known } = this.#sent.use(spec);
    if (!known) {
      this.specs.push([number, spec]);
      this.#bytes += spec.length;
    }
    this.orders.push({ ...order, spec: number });
  }

  /** `holdMs`: time for which the executor may hold its reply; `expiry`: time on its clocks from which the orders are not sent. */
  encode(channel: string, holdMs: number, expiry: ClockReading | undefined): Uint8Array {
    const { specs, orders } = this;
    return encodeOrderBatch({ channel, holdMs, expiry, specs, orders });
  }
}
