import { Err } from "ts-results";
import type { Clock, ClockReading, Timer } from "../../../ports/clock.ts";
import type { JobBackend, JobBackendConnector, OrderError } from "../../../ports/job-backend.ts";
import type { Log } from "../../../ports/log.ts";
import type { OrderBatchRequest, OrderResultsReply } from "../../../protocol/peer-messages.ts";
import {
  decodeOrderBatch,
  encodeOrderResults,
  resultBytes,
  resultRow,
  type OrderBatch,
  type RelayedOrder,
  type RelayedResult,
  type ResultRow,
} from "../../../protocol/order-batch.ts";
import { ReceivedSpecs } from "../../../state/jobs/execution/relayed-specs.ts";
import type { Counters } from "../../ports.ts";

/** Time in ms within which results share a reply, and shortest time between two such replies. */
const MIN_REPLY_DELAY_MS = 2;
const REPLY_INTERVAL_MS = 20;
/** Longest time in ms for which a reply is held, whatever the batch asks for. */
const MAX_HOLD_MS = 500;
/** A reply takes further results up to this estimated size; frames are limited to 1 MB. */
const MAX_REPLY_BYTES = 256 * 1024;
/** A single result above this estimated size is not relayed. */
const MAX_RESULT_BYTES = 700 * 1024;
/** Time in ms without a batch after which the state of a channel is dropped. */
const CHANNEL_IDLE_MS = 10_000;

/** Options of {@link OrderExecutor}. */
export interface OrderExecutorOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly counters: Counters;
  readonly connector: JobBackendConnector;
}

/**
 * Sends a scheduler's orders to backend servers and returns their results. Token, run, deadline and
 * acknowledged position are the scheduler's, and orders are never repeated. A batch past its expiry is
 * not sent: a server that has rebooted since can't tell that its orders are late.
 */
export class OrderExecutor {
  readonly #options: OrderExecutorOptions;
  readonly #channels = new Map<string, Channel>();
  #stopping = false;

  constructor(options: OrderExecutorOptions) {
    this.#options = options;
  }

  /** Refuses further orders. Results of earlier ones are still returned. */
  stop(): void {
    this.#stopping = true;
  }

  /** Handles a batch from the peer with the given incarnation. Never rejects. */
  async handle(incarnation: string, req: OrderBatchRequest): Promise<OrderResultsReply> {
    const { clock, counters } = this.#options;
    const batch = decodeOrderBatch(req.batch);
    if (batch === undefined) {
      counters.event("relay_batch_malformed");
      return { type: "order-results", results: encodeOrderResults(false, clock.read(), []) };
    }
    const channel = this.#channel(`${incarnation} ${batch.channel}`);
    const collects = batch.orders.length === 0 && batch.holdMs > 0;
    const accepted = collects || !this.#stopping;
    if (accepted) this.#execute(channel, batch);
    const rows = await channel.nextResults(accepted ? Math.min(MAX_HOLD_MS, batch.holdMs) : 0);
    return { type: "order-results", results: encodeOrderResults(accepted, clock.read(), rows) };
  }

  #channel(key: string): Channel {
    const { clock } = this.#options;
    for (const [other, { idleMs }] of this.#channels)
      if (other !== key && idleMs > CHANNEL_IDLE_MS) this.#channels.delete(other);
    let channel = this.#channels.get(key);
    if (channel === undefined) {
      channel = new Channel(clock);
      this.#channels.set(key, channel);
    }
    return channel;
  }

  #execute(channel: Channel, { expiry, specs, orders }: OrderBatch): void {
    // Specs of an expired batch are kept too: later batches refer to them by number.
    for (const [number, spec] of specs) channel.specs.add(number, spec);
    // The decoder accepts orders only with an expiry.
    if (expiry === undefined || orders.length === 0) return;
    const lateMs = this.#lateMs(expiry);
    if (lateMs >= 0) {
      this.#refuseExpired(channel, orders, lateMs);
      return;
    }
    this.#options.counters.event("executor_orders", orders.length);
    for (const order of orders) void this.#executeOrder(channel, order);
  }

  /**
   * Time in ms since the expiry, by the clock on which it is later; negative before it. Both are read
   * because the monotonic clock stops while the machine is suspended.
   */
  #lateMs(expiry: ClockReading): number {
    const { now, wallTime } = this.#options.clock.read();
    return Math.max(now - expiry.now, wallTime - expiry.wallTime);
  }

  #refuseExpired(channel: Channel, orders: readonly RelayedOrder[], lateMs: number): void {
    const { counters, log } = this.#options;
    counters.event("relay_orders_expired", orders.length);
    log.warn({ orders: orders.length, lateMs: Math.round(lateMs) }, "relayed orders had expired");
    const expired = Err<OrderError>({ kind: "not-sent", detail: "the order had expired" });
    for (const { id } of orders) channel.add(id, expired);
  }

  async #executeOrder(channel: Channel, order: RelayedOrder): Promise<void> {
    try {
      channel.add(order.id, await this.#sendOrder(channel.specs, order));
    } catch (err) {
      // An error of the client does not tell whether the order was sent.
      this.#options.log.error({ err, server: order.server }, "relayed order failed");
      channel.add(order.id, Err<OrderError>({ kind: "unknown", detail: "internal error" }));
    }
  }

  async #sendOrder(specs: ReceivedSpecs, relayed: RelayedOrder): Promise<RelayedResult> {
    const backend = (): JobBackend =>
      this.#options.connector.connect(relayed.address, relayed.server);
    switch (relayed.kind) {
      case "start": {
        const spec = specs.get(relayed.spec);
        return spec === undefined ? "no-spec" : backend().start({ ...relayed.order, spec });
      }
      case "stop":
        return backend().stop(relayed.order);
      case "poll":
        return backend().poll(relayed.order);
      case "pace":
        return backend().pace(relayed.order);
      case "unknown":
        return Err<OrderError>({ kind: "not-sent", detail: "order of an unknown kind" });
    }
  }
}

/** Results for one scheduler, and the reply that waits for them. */
class Channel {
  readonly specs = new ReceivedSpecs();
  readonly #clock: Clock;
  #rows: { readonly row: ResultRow; readonly bytes: number }[] = [];
  #waiting: ((rows: readonly ResultRow[]) => void) | undefined;
  #timer: Timer | undefined;
  #releasing = false;
  #repliedAt = -Infinity;
  #usedAt: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#usedAt = clock.now();
  }

  /** Time in ms since the last batch. */
  get idleMs(): number {
    return this.#clock.now() - this.#usedAt;
  }

  add(id: number, result: RelayedResult): void {
    const bytes = resultBytes(result);
    if (bytes > MAX_RESULT_BYTES) {
      const err: OrderError = { kind: "unknown", detail: "the result is too large" };
      this.#rows.push({ row: resultRow(id, Err(err)), bytes: 0 });
    } else this.#rows.push({ row: resultRow(id, result), bytes });
    this.#releaseSoon();
  }

  /** Resolves with results, or without any after `holdMs`, or when the next batch arrives. */
  nextResults(holdMs: number): Promise<readonly ResultRow[]> {
    this.#usedAt = this.#clock.now();
    // One held reply is enough. The former one tells the scheduler that its batch has arrived.
    this.#reply();
    if (holdMs <= 0) return Promise.resolve(this.#take());
    return new Promise((resolve) => {
      this.#waiting = resolve;
      this.#releasing = false;
      if (this.#rows.length > 0) this.#releaseSoon();
      else this.#replyAfter(holdMs);
    });
  }

  #releaseSoon(): void {
    if (this.#waiting === undefined || this.#releasing) return;
    this.#releasing = true;
    const delayMs = this.#repliedAt + REPLY_INTERVAL_MS - this.#clock.now();
    this.#replyAfter(Math.max(MIN_REPLY_DELAY_MS, delayMs));
  }

  #replyAfter(delayMs: number): void {
    this.#timer?.cancel();
    this.#timer = this.#clock.schedule(delayMs, () => {
      this.#reply();
    });
  }

  #reply(): void {
    this.#timer?.cancel();
    const resolve = this.#waiting;
    if (resolve === undefined) return;
    this.#waiting = undefined;
    this.#repliedAt = this.#clock.now();
    resolve(this.#take());
  }

  #take(): readonly ResultRow[] {
    let bytes = 0;
    let count = 0;
    for (const each of this.#rows) {
      if (count > 0 && bytes + each.bytes > MAX_REPLY_BYTES) break;
      bytes += each.bytes;
      count++;
    }
    return this.#rows.splice(0, count).map(({ row }) => row);
  }
}
