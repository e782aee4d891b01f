import type { Clock } from "../ports/clock.ts";
import type { RequestState } from "../protocol/peer-messages.ts";
import type { RequestRecord } from "./request-record.ts";

/** Fraction of the table reserved for evictable requests when pinned requests fill the table. */
const EVICTABLE_FRACTION = 0.1;
/** Maximum bytes of retained results. An entry instance has about 128 MB of memory. */
const RETAINED_BYTES = 32 * 1024 * 1024;

/** Options of {@link RequestTable}. Times are in milliseconds. */
export interface RequestTableOptions {
  readonly clock: Clock;
  readonly idempotencyWindowMs: number;
  readonly idMemoryEntries: number;
  readonly resultRetentionMs: number;
  /** @default 33554432 */
  readonly retainedBytes?: number;
}

/** A finished request whose answer is stored, with the size of the answer. */
interface RetainedResult {
  readonly record: RequestRecord;
  readonly finishedAt: number;
  readonly bytes: number;
}

/** Requests that this entry instance owns, by request id. */
export class RequestTable {
  readonly #options: Required<RequestTableOptions>;
  /** In order of acceptance. */
  readonly #records = new Map<string, RequestRecord>();
  readonly #waiters = new Map<RequestRecord, Set<() => void>>();
  readonly #retained = new Set<RetainedResult>();
  #retainedBytes = 0;
  #pendingBytes = 0;
  #pinned = 0;
  #evictedThrough = -1;

  constructor({ retainedBytes = RETAINED_BYTES, ...rest }: RequestTableOptions) {
    this.#options = { retainedBytes, ...rest };
  }

  get size(): number {
    return this.#records.size;
  }

  /** Wall-clock acceptance time of the newest non-idempotent record evicted early, -1 if none. */
  get evictedThrough(): number {
    return this.#evictedThrough;
  }

  find(requestId: string): RequestRecord | undefined {
    this.expire();
    return this.#records.get(requestId);
  }

  /** All records in order of acceptance. */
  records(): Iterable<RequestRecord> {
    return this.#records.values();
  }

  /** True if there is capacity for another request that must be kept for the whole window. */
  canAddPinned(): boolean {
    return this.#pinned < this.#options.idMemoryEntries;
  }

  /** Total size in bytes of the bodies of pending requests. */
  get pendingBytes(): number {
    return this.#pendingBytes;
  }

  /** Adds a record. Replaces an existing record with the same id. */
  add(record: RequestRecord): void {
    this.remove(record.requestId);
    this.#records.set(record.requestId, record);
    if (record.pinned) this.#pinned++;
    this.#pendingBytes += bodyBytes(record);
    this.#evict();
  }

  /** Removes a record, for example when it moves to another owner. */
  remove(requestId: string): void {
    const record = this.#records.get(requestId);
    if (record === undefined) return;
    this.#records.delete(requestId);
    if (record.pinned) this.#pinned--;
    this.#pendingBytes -= bodyBytes(record);
  }

  /** Stores the outcome of a request and notifies its waiters. */
  finish(record: RequestRecord, state: RequestState): void {
    record.state = state;
    if (this.#records.get(record.requestId) === record) this.#pendingBytes -= bodyBytes(record);
    record.payload = undefined;
    if (state.kind === "answered") this.#retain(record, state.payload.body.byteLength);
    this.#notifyWaiters(record);
  }

  /** Waits up to `waitMs` milliseconds for an outcome of the request. Returns its state. */
  async wait(record: RequestRecord, waitMs: number): Promise<RequestState> {
    if (record.state.kind !== "pending" || waitMs <= 0) return record.state;
    const abort = new AbortController();
    const notify = (): void => {
      // Without an explicit reason, abort() would create an error with a stack trace.
      abort.abort("finished");
    };
    const waiters = this.#waiters.get(record) ?? new Set();
    this.#waiters.set(record, waiters.add(notify));
    await this.#options.clock.sleep(waitMs, abort.signal);
    waiters.delete(notify);
    if (waiters.size === 0) this.#waiters.delete(record);
    return record.state;
  }

  /** Number of requests that currently have waiters. */
  countAwaited(): number {
    return this.#waiters.size;
  }

  /**
   * Drops results past their retention time or above the byte limit, and finished records past the
   * idempotency window.
   */
  expire(): void {
    const { clock, idempotencyWindowMs, resultRetentionMs, retainedBytes } = this.#options;
    for (const retained of this.#retained) {
      const old = retained.finishedAt + resultRetentionMs <= clock.now();
      if (!old && this.#retainedBytes <= retainedBytes) break;
      this.#dropResult(retained);
    }
    for (const record of this.#records.values()) {
      if (record.acceptedAt + idempotencyWindowMs > clock.wallTime()) break;
      if (record.state.kind !== "pending") this.remove(record.requestId);
    }
  }

  #retain(record: RequestRecord, bytes: number): void {
    this.#retained.add({ record, finishedAt: this.#options.clock.now(), bytes });
    this.#retainedBytes += bytes;
    this.expire();
  }

  #dropResult(retained: RetainedResult): void {
    this.#retained.delete(retained);
    this.#retainedBytes -= retained.bytes;
    if (retained.record.state.kind !== "answered") return;
    retained.record.state = {
      kind: "refused",
      reason: "outcome_unknown",
      detail: "The request ran and succeeded; its answer is no longer stored.",
      ran: "yes",
    };
  }

  #evict(): void {
    const max = this.#options.idMemoryEntries;
    const evictableCapacity = Math.max(Math.ceil(max * EVICTABLE_FRACTION), max - this.#pinned);
    let excess = this.#records.size - this.#pinned - evictableCapacity;
    if (excess <= 0) return;
    for (const record of this.#records.values()) {
      if (record.pinned || record.state.kind === "pending") continue;
      this.remove(record.requestId);
      if (!record.idempotent)
        this.#evictedThrough = Math.max(this.#evictedThrough, record.acceptedAt);
      if (--excess <= 0) return;
    }
  }

  #notifyWaiters(record: RequestRecord): void {
    for (const notify of this.#waiters.get(record) ?? []) notify();
  }
}

function bodyBytes(record: RequestRecord): number {
  return record.payload?.body.byteLength ?? 0;
}
