/** Follows one document of the key-value service through watches. */
import type { Result } from "ts-results";
import type { Clock } from "../ports/clock.ts";
import type { KeyValueService, KvEntry, KvError } from "../ports/key-value-service.ts";
import type { Random } from "../ports/random.ts";
import { fullJitterMs } from "./backoff.ts";
import {
  decodeDocument,
  type DocumentKind,
  type StoredDocument,
  type Versioned,
} from "./document-store.ts";
import type { Counters, Unsubscribe } from "./ports.ts";

const OUTAGE_BACKOFF = { baseMs: 100, maxMs: 5000 };
const DEFAULT_WAIT_MS = 5000;

/** Options of {@link DocumentFollower}. */
export interface DocumentFollowerOptions<T extends StoredDocument> {
  readonly kind: DocumentKind<T>;
  readonly kv: KeyValueService;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  /** Longest wait of one watch in milliseconds. @default 5000 */
  readonly waitMs?: number;
  /** Longest pause after a failed call in milliseconds. @default 5000 */
  readonly maxBackoffMs?: number;
}

/** Holds the last known value of a document. Never returns to a lower revision. */
export class DocumentFollower<T extends StoredDocument> {
  readonly #options: DocumentFollowerOptions<T>;
  readonly #listeners = new Set<(current: Versioned<T>) => void>();
  readonly #stopped = new AbortController();
  #current: Versioned<T> | undefined;
  /** Last revision read from the service, including values that do not match the schema. */
  #seenRevision = 0;
  #confirmedAt: number | undefined;
  /** True after the first read, so that the document is watched from then on. */
  #hasRead = false;
  #failing = false;
  #refreshing: Promise<boolean> | undefined;

  constructor(options: DocumentFollowerOptions<T>) {
    this.#options = options;
  }

  /** Last known value; undefined until an existing document was read or adopted. */
  get current(): Versioned<T> | undefined {
    return this.#current;
  }

  /** Revision of {@link current}; 0 if undefined. */
  get revision(): number {
    return this.#current?.revision ?? 0;
  }

  /**
   * Monotonic send time in milliseconds of the last call that confirmed the current value as the
   * newest; undefined before the first confirmation.
   */
  get confirmedAt(): number | undefined {
    return this.#confirmedAt;
  }

  /** Age in milliseconds of the last confirmation; infinite before the first. */
  get ageMs(): number {
    if (this.#confirmedAt === undefined) return Infinity;
    return this.#options.clock.now() - this.#confirmedAt;
  }

  /** False if the last call to the service failed. */
  get reachable(): boolean {
    return !this.#failing;
  }

  onChange(listener: (current: Versioned<T>) => void): Unsubscribe {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Follows the document until {@link stop}. */
  async run(): Promise<void> {
    let retry = 0;
    while (!this.#stopped.signal.aborted) {
      const ok = await (this.#hasRead ? this.#watch() : this.refresh());
      if (ok) {
        retry = 0;
        continue;
      }
      const maxMs = this.#options.maxBackoffMs ?? OUTAGE_BACKOFF.maxMs;
      const delay = fullJitterMs(this.#options.random, retry++, { ...OUTAGE_BACKOFF, maxMs });
      // At least 10 ms, so that a service that fails immediately is not called in a tight loop.
      await this.#options.clock.sleep(10 + delay, this.#stopped.signal);
    }
  }

  stop(): void {
    this.#stopped.abort();
  }

  /** Reads the document now. Returns true on success. Does not share a read in progress. */
  async refresh(): Promise<boolean> {
    // A read in progress was sent earlier, so it would confirm the value only as of that time.
    if (this.#refreshing !== undefined) await this.#refreshing;
    this.#refreshing ??= this.#get().finally(() => {
      this.#refreshing = undefined;
    });
    return this.#refreshing;
  }

  /** Adopts a newer value from another source: a write of this entry or a peer. */
  adopt(next: Versioned<T>): void {
    if (next.revision <= this.revision) return;
    this.#current = next;
    this.#seenRevision = Math.max(this.#seenRevision, next.revision);
    for (const listener of this.#listeners) listener(next);
  }

  async #get(): Promise<boolean> {
    const sentAt = this.#options.clock.now();
    const reply = await this.#options.kv.get(this.#options.kind.key);
    return this.#handleReply(sentAt, reply);
  }

  async #watch(): Promise<boolean> {
    const { kv, clock, kind, waitMs = DEFAULT_WAIT_MS } = this.#options;
    const sentAt = clock.now();
    const afterRevision = this.#seenRevision;
    const reply = await kv.watch({ key: kind.key, afterRevision, waitMs });
    if (!reply.ok) return this.#handleReply(sentAt, reply);
    if (reply.val.changed) return this.#applyEntry(sentAt, reply.val.entry);
    this.#failing = false;
    if (afterRevision === this.#seenRevision && afterRevision === this.revision) {
      this.#confirm(sentAt);
    }
    return true;
  }

  #handleReply(sentAt: number, reply: Result<KvEntry | undefined, KvError>): boolean {
    if (reply.ok) return this.#applyEntry(sentAt, reply.val);
    this.#failing = true;
    this.#options.counters.retry("kv_unavailable");
    return false;
  }

  /** Returns false if the entry is older than the last one read, which delays the next call. */
  #applyEntry(sentAt: number, entry: KvEntry | undefined): boolean {
    this.#failing = false;
    const revision = entry?.revision ?? 0;
    if (revision < this.#seenRevision) return false;
    this.#seenRevision = revision;
    this.#hasRead = true;
    const decoded = decodeDocument(this.#options.kind, entry);
    if (!decoded.ok) {
      this.#options.counters.event("document_malformed");
      return true;
    }
    if (decoded.val !== undefined) this.adopt(decoded.val);
    if (revision === this.revision) this.#confirm(sentAt);
    return true;
  }

  #confirm(sentAt: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt ?? sentAt, sentAt);
  }
}
