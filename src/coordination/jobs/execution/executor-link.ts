import type { Clock } from "../../../ports/clock.ts";
import type { Log } from "../../../ports/log.ts";
import type { PeerConnection } from "../../../ports/peer-transport.ts";
import {
  decodeOrderResults,
  matchesKind,
  type RelayedResult,
} from "../../../protocol/order-batch.ts";
import type { SessionRecord } from "../../../protocol/job-records.ts";
import { ExecutorClocks } from "../../../state/jobs/execution/executor-clocks.ts";
import { SentSpecs } from "../../../state/jobs/execution/relayed-specs.ts";
import type { Counters } from "../../ports.ts";
import type { LockTenure } from "../election/scheduler-lock.ts";
import type { PeerConnections } from "../peer-connections.ts";
import {
  BatchBuilder,
  MAX_BATCH_BYTES,
  MAX_BATCH_ORDERS,
  ORDER_BYTES,
  type OrderContent,
  type QueuedOrder,
} from "./batch-builder.ts";
import type { RelayOutcome } from "./relay-outcome.ts";

/** Time in ms within which orders share a batch, and shortest time between two batches. */
const MIN_BATCH_DELAY_MS = 1;
const BATCH_INTERVAL_MS = 10;
/** Time in ms for which an executor may hold a reply while there are no results. */
const HOLD_MS = 300;
/** Time in ms without a reply, beyond the transfer time of a full batch, after which an executor has failed. */
const REPLY_TIMEOUT_MS = 600;
/** Batches without a reply above which further orders are sent directly. */
const MAX_UNANSWERED = 24;
/** Time in ms for which a failed executor gets nothing. Doubles as long as probes fail. */
const BACKOFF_MS = 2000;
const MAX_BACKOFF_MS = 8000;
/** Time in ms after which an order without a result is given up; executors wait up to 900 ms. */
const RESULT_TIMEOUT_MS = 1500;
const SWEEP_INTERVAL_MS = 300;

/** A backend server that orders are for. */
export interface OrderTarget {
  readonly address: string;
  readonly id: string;
}

interface PendingOrder extends QueuedOrder {
  /** Monotonic time in ms at which the order is given up. */
  readonly giveUpAt: number;
  readonly resolve: (outcome: RelayOutcome) => void;
  specRepeated: boolean;
}

/** Options of {@link ExecutorLink}. */
export interface ExecutorLinkOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly counters: Counters;
  readonly tenure: LockTenure;
  readonly connections: PeerConnections;
  /** Bandwidth of this entry instance's network link, in bytes per millisecond. */
  readonly linkBytesPerMs: number;
}

/**
 * Sends orders to one executor in batches. Every reply carries the results that are complete, and
 * while results are outstanding the executor always has a batch to reply to, which is empty if there
 * is nothing to send. So a slow poll delays no other order. Orders are sent only after an empty
 * batch was answered, so that none depends on an entry instance that can't relay. Orders expire on
 * the executor's clocks when the link would fail for lack of a reply, because a server that has
 * rebooted can't tell that an order is late.
 */
export class ExecutorLink {
  readonly #options: ExecutorLinkOptions;
  readonly #executor: SessionRecord;
  readonly #replyTimeoutMs: number;
  readonly #pending = new Map<number, PendingOrder>();
  #urgent: PendingOrder[] = [];
  #starts: PendingOrder[] = [];
  #queuedBytes = 0;
  #specs = new SentSpecs();
  #executorClocks = new ExecutorClocks();
  #connection: PeerConnection | undefined;
  #state: "idle" | "probing" | "ready" = "idle";
  /** Monotonic time in ms before which no probe is sent. */
  #probeAt = 0;
  #backoffMs = BACKOFF_MS;
  /** Monotonic time in ms before which no orders are given to an executor that refused some. */
  #refusedUntil = 0;
  /** Number of the current channel. Replies on earlier channels are ignored. */
  #channel = 0;
  #orderId = 0;
  /** Batches without a reply, and the monotonic time in ms by which each must be answered. */
  readonly #unanswered = new Map<BatchBuilder, number>();
  #flushScheduled = false;
  #flushedAt = -Infinity;
  #sweeping = false;

  constructor(options: ExecutorLinkOptions, executor: SessionRecord) {
    this.#options = options;
    this.#executor = executor;
    this.#replyTimeoutMs = REPLY_TIMEOUT_MS + MAX_BATCH_BYTES / options.linkBytesPerMs;
    options.tenure.signal.addEventListener("abort", () => {
      this.#giveUp("the lock was lost");
    });
  }

  /** True if orders can be given to the executor now. Probes a failed executor when it is time. */
  get ready(): boolean {
    const { clock, tenure } = this.#options;
    if (this.#state === "ready")
      return this.#unanswered.size < MAX_UNANSWERED && clock.now() >= this.#refusedUntil;
    if (this.#state !== "idle" || clock.now() < this.#probeAt || tenure.signal.aborted)
      return false;
    void this.#probe();
    return false;
  }

  /** Gives an order to the executor. `spec` is the job spec of a start. */
  submit(target: OrderTarget, content: OrderContent, spec?: string): Promise<RelayOutcome> {
    return new Promise((resolve) => {
      const { clock } = this.#options;
      const id = ++this.#orderId;
      const waitMs = content.kind === "poll" ? content.order.waitMs : 0;
      const relayed = content.kind === "start" ? { ...content, spec: 0 } : content;
      const pending: PendingOrder = {
        order: { ...relayed, id, address: target.address, server: target.id },
        giveUpAt: clock.now() + waitMs + RESULT_TIMEOUT_MS,
        ...{ spec, resolve, specRepeated: false },
      };
      this.#pending.set(id, pending);
      this.#enqueue(pending);
      this.#sweepLater();
    });
  }

  #enqueue(pending: PendingOrder): void {
    // Renewals, acknowledgements and stops precede starts.
    (pending.spec === undefined ? this.#urgent : this.#starts).push(pending);
    this.#queuedBytes += ORDER_BYTES + (pending.spec?.length ?? 0);
    const queued = this.#urgent.length + this.#starts.length;
    if (queued >= MAX_BATCH_ORDERS || this.#queuedBytes >= MAX_BATCH_BYTES) this.#flush();
    else this.#flushLater();
  }

  #flushLater(): void {
    if (this.#flushScheduled) return;
    this.#flushScheduled = true;
    const { clock } = this.#options;
    const delayMs = Math.max(MIN_BATCH_DELAY_MS, this.#flushedAt + BATCH_INTERVAL_MS - clock.now());
    clock.schedule(delayMs, () => {
      this.#flushScheduled = false;
      this.#flush();
    });
  }

  #flush(): void {
    const { tenure, clock } = this.#options;
    const queued = [...this.#urgent, ...this.#starts];
    this.#urgent = [];
    this.#starts = [];
    this.#queuedBytes = 0;
    if (queued.length === 0) return;
    if (!tenure.valid) {
      this.#settleAll(queued, { kind: "not-sent", detail: "the lock may have ended" });
      return;
    }
    this.#flushedAt = clock.now();
    let batch = new BatchBuilder(this.#specs);
    for (const pending of queued) {
      batch.add(pending);
      if (!batch.full) continue;
      void this.#send(batch, HOLD_MS);
      batch = new BatchBuilder(this.#specs);
    }
    if (batch.orders.length > 0) void this.#send(batch, HOLD_MS);
  }

  /** Earliest of the times by which batches must be answered; Infinity without such batches. */
  get #failsAt(): number {
    return Math.min(...this.#unanswered.values());
  }

  /** Sends one batch and handles its reply. */
  async #send(batch: BatchBuilder, holdMs: number): Promise<void> {
    const { clock, counters, tenure } = this.#options;
    const channel = this.#channel;
    const connection = this.#connection;
    if (connection === undefined) {
      this.#settleBatch(batch, "no connection to the executor");
      return;
    }
    this.#unanswered.set(batch, clock.now() + this.#replyTimeoutMs);
    counters.event("relay_batches");
    counters.event(`relay_orders_${this.#executor.name}`, batch.orders.length);
    const name = `${tenure.token}.${channel}`;
    // The link fails with its oldest unanswered batch, so later batches expire with that one.
    const encoded = batch.encode(name, holdMs, this.#executorClocks.at(this.#failsAt));
    const reply = await connection.call(
      { type: "order-batch", batch: encoded },
      this.#replyTimeoutMs,
    );
    if (channel !== this.#channel) return;
    this.#unanswered.delete(batch);
    if (reply.ok) this.#handleReply(reply.val.results, batch);
    else if (reply.val.kind === "ambiguous") this.#fail("no_reply");
    else {
      this.#settleBatch(batch, "the batch was not sent");
      this.#fail(reply.val.kind === "busy" ? "busy" : "not_sent");
    }
  }

  #handleReply(bytes: Uint8Array, batch: BatchBuilder): void {
    const reply = decodeOrderResults(bytes);
    if (reply === undefined) {
      this.#fail("malformed");
      return;
    }
    this.#executorClocks.update(reply.clocks, this.#options.clock.now());
    for (const { id, result } of reply.results) {
      const pending = this.#pending.get(id);
      if (pending !== undefined) this.#handleResult(pending, result);
    }
    if (!reply.accepted) this.#refused(batch);
    this.#collect();
  }

  #handleResult(pending: PendingOrder, result: RelayedResult): void {
    if (result !== "no-spec") {
      if (pending.spec !== undefined) this.#recordRoundTrip(pending);
      if (matchesKind(pending.order.kind, result))
        this.#settle(pending, { kind: "answered", result });
      else this.#settle(pending, { kind: "unknown", detail: "result of another kind" });
      return;
    }
    this.#options.counters.event("relay_spec_repeated");
    if (pending.spec === undefined || pending.specRepeated) {
      this.#settle(pending, { kind: "not-sent", detail: "the executor has no job spec" });
      return;
    }
    pending.specRepeated = true;
    this.#specs.forget(pending.spec);
    this.#enqueue(pending);
  }

  #recordRoundTrip({ giveUpAt }: PendingOrder): void {
    const { clock, counters } = this.#options;
    counters.duration("relay_start", clock.now() - (giveUpAt - RESULT_TIMEOUT_MS));
  }

  /** Keeps one batch at the executor while results are outstanding. */
  #collect(): void {
    if (this.#state !== "ready" || this.#unanswered.size > 0 || this.#pending.size === 0) return;
    if (this.#urgent.length + this.#starts.length > 0) return;
    void this.#send(new BatchBuilder(this.#specs), HOLD_MS);
  }

  async #probe(): Promise<void> {
    const { clock, connections, counters, log } = this.#options;
    this.#state = "probing";
    const channel = ++this.#channel;
    this.#specs = new SentSpecs();
    this.#executorClocks = new ExecutorClocks();
    this.#unanswered.clear();
    const connection = await connections.get(this.#executor.peerAddress);
    if (channel !== this.#channel) return;
    this.#connection = connection;
    if (connection === undefined) {
      this.#fail("unreachable");
      return;
    }
    const name = `${this.#options.tenure.token}.${channel}`;
    const batch = new BatchBuilder(this.#specs).encode(name, 0, undefined);
    const reply = await connection.call({ type: "order-batch", batch }, this.#replyTimeoutMs);
    if (channel !== this.#channel) return;
    const answer = reply.ok ? decodeOrderResults(reply.val.results) : undefined;
    if (answer?.accepted !== true) {
      this.#fail("probe");
      return;
    }
    this.#executorClocks.update(answer.clocks, clock.now());
    counters.event("relay_executor_ready");
    log.info({ executor: this.#executor.name }, "executor relays orders");
    this.#state = "ready";
    this.#backoffMs = BACKOFF_MS;
  }

  /**
   * The executor did nothing with this batch, because it is stopping for instance. Results of
   * earlier orders are still collected from it.
   */
  #refused(batch: BatchBuilder): void {
    const { clock, counters } = this.#options;
    counters.event("relay_failed_refused");
    this.#refusedUntil = clock.now() + BACKOFF_MS;
    for (const [, spec] of batch.specs) this.#specs.forget(spec);
    this.#settleBatch(batch, "the executor refused the batch");
  }

  #fail(reason: string): void {
    const { clock, log, counters, connections } = this.#options;
    counters.event(`relay_failed_${reason}`);
    log.warn(
      { executor: this.#executor.name, reason, orders: this.#pending.size },
      "executor failed, its servers get their orders directly",
    );
    this.#probeAt = clock.now() + this.#backoffMs;
    if (this.#state === "probing") this.#backoffMs = Math.min(MAX_BACKOFF_MS, 2 * this.#backoffMs);
    connections.drop(this.#executor.peerAddress);
    this.#giveUp(`executor: ${reason}`);
  }

  #giveUp(detail: string): void {
    this.#state = "idle";
    this.#channel++;
    this.#connection = undefined;
    const queued = [...this.#urgent, ...this.#starts];
    this.#urgent = [];
    this.#starts = [];
    this.#queuedBytes = 0;
    this.#settleAll(queued, { kind: "not-sent", detail });
    this.#settleAll([...this.#pending.values()], { kind: "unknown", detail });
  }

  /** One timer per executor gives up orders whose results are overdue. */
  #sweepLater(): void {
    if (this.#sweeping) return;
    this.#sweeping = true;
    const { clock } = this.#options;
    clock.schedule(SWEEP_INTERVAL_MS, () => {
      this.#sweeping = false;
      const now = clock.now();
      for (const pending of [...this.#pending.values()])
        if (pending.giveUpAt <= now)
          this.#settle(pending, { kind: "unknown", detail: "no result from the executor" });
      if (this.#pending.size > 0) this.#sweepLater();
    });
  }

  #settleBatch({ orders }: BatchBuilder, detail: string): void {
    for (const { id } of orders) {
      const pending = this.#pending.get(id);
      if (pending !== undefined) this.#settle(pending, { kind: "not-sent", detail });
    }
  }

  #settleAll(orders: readonly PendingOrder[], outcome: RelayOutcome): void {
    for (const pending of orders) this.#settle(pending, outcome);
  }

  #settle(pending: PendingOrder, outcome: RelayOutcome): void {
    if (this.#pending.delete(pending.order.id)) pending.resolve(outcome);
  }
}
