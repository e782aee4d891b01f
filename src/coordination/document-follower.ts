/** Follows one document of the key-value service with watches. */
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

/** Last known value of a document. Never goes back to a lower revision. */
export class DocumentFollower<T extends StoredDocument> {
  readonly #options: DocumentFollowerOptions<T>;
  readonly #listeners = new Set<(current: Versioned<T>) => void>();
  readonly #stopped = new AbortController();
  #current: Versioned<T> | undefined;
  /** Revision last seen in the service, also of a value that does not match the schema. */
  #seenRevision = 0;
  #confirmedAt: number | undefined;
  #started = false;
  #failing = false;
  #refreshing: Promise<boolean> | undefined;

  constructor(options: DocumentFollowerOptions<T>) {
    this.#options = options;
  }

  /** Undefined until the document was read, or while it does not exist. */
  get current(): Versioned<T> | undefined {
    return this.#current;
  }

  /** Revision of {@link current}, 0 if there is none. */
  get revision(): number {
    return this.#current?.revision ?? 0;
  }

  /**
   * Monotonic time in milliseconds at which the last call was sent that showed the current value
   * to be the newest; undefined until the first.
   */
  get confirmedAt(): number | undefined {
    return this.#confirmedAt;
  }

  /** Age in milliseconds of the last confirmation; infinite before the first. */
  get ageMs(): number {
    if (this.#confirmedAt === undefined) return Infinity;
    return this.#options.clock.now() - this.#confirmedAt;
  }

  /** False while the last call to the service failed. */
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
      const ok = await (this.#started ? this.#watch() : this.refresh());
      if (ok) {
        retry = 0;
        continue;
      }
      const maxMs = this.#options.maxBackoffMs ?? OUTAGE_BACKOFF.maxMs;
      const delay = fullJitterMs(this.#options.random, retry++, { ...OUTAGE_BACKOFF, maxMs });
      // At least a few milliseconds, so that a service that fails at once is not called in a loop.
      await this.#options.clock.sleep(10 + delay, this.#stopped.signal);
    }
  }

  stop(): void {
    this.#stopped.abort();
  }

  /** Reads the document now; true if that succeeded. A read in progress is not shared. */
  async refresh(): Promise<boolean> {
    // A read that is already under way was sent earlier and would confirm an earlier time.
    if (this.#refreshing !== undefined) await this.#refreshing;
    this.#refreshing ??= this.#get().finally(() => {
      this.#refreshing = undefined;
    });
    return this.#refreshing;
  }

  /** Takes over a value learned elsewhere: from an own write or from a peer. */
  adopt(next: Versioned<T>): void {
    if (next.revision <= this.revision) return;
    this.#current = next;
    this.#seenRevision = Math.max(this.#seenRevision, next.revision);
    for (const listener of this.#listeners) listener(next);
  }

  async #get(): Promise<boolean> {
    const sentAt = this.#options.clock.now();
    const reply = await this.#options.kv.get(this.#options.kind.key);
    return this.#take(sentAt, reply);
  }

  async #watch(): Promise<boolean> {
    const { kv, clock, kind, waitMs = DEFAULT_WAIT_MS } = this.#options;
    const sentAt = clock.now();
    const afterRevision = this.#seenRevision;
    const reply = await kv.watch({ key: kind.key, afterRevision, waitMs });
    if (!reply.ok) return this.#take(sentAt, reply);
    if (reply.val.changed) return this.#takeEntry(sentAt, reply.val.entry);
    this.#failing = false;
    if (afterRevision === this.#seenRevision && afterRevision === this.revision) {
      this.#confirm(sentAt);
    }
    return true;
  }

  #take(sentAt: number, reply: Result<KvEntry | undefined, KvError>): boolean {
    if (reply.ok) return this.#takeEntry(sentAt, reply.val);
    this.#failing = true;
    this.#options.counters.retry("kv_unavailable");
    return false;
  }

  /** False if the entry is older than the known value, so that the next call waits a little. */
  #takeEntry(sentAt: number, entry: KvEntry | undefined): boolean {
    this.#failing = false;
    const revision = entry?.revision ?? 0;
    if (revision < this.#seenRevision) return false;
    this.#seenRevision = revision;
    this.#started = true;
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
