import { Err, Ok, type Result } from "ts-results";
import type { Clock } from "../ports/clock.ts";
import {
  KeyValueService,
  type KvDelete,
  type KvEntry,
  type KvError,
  type KvPut,
  type KvWatch,
  type KvWatchReply,
} from "../ports/key-value-service.ts";

interface Lease {
  readonly ttlMs: number;
  expiresAt: number;
}

interface StoredEntry {
  readonly entry: KvEntry;
  readonly leaseId: string | undefined;
}

/** Options of {@link KeyValueStore}. */
export interface KeyValueStoreOptions {
  readonly clock: Clock;
}

/** In-memory key-value service with compare-and-swap, leases and watches. */
export class KeyValueStore extends KeyValueService {
  readonly #clock: Clock;
  readonly #stored = new Map<string, StoredEntry>();
  readonly #leases = new Map<string, Lease>();
  readonly #watchers = new Map<string, Set<() => void>>();
  /** Shared by all keys, so that a key that is deleted and recreated never reuses a revision. */
  #revision = 0;
  #leaseCount = 0;

  constructor({ clock }: KeyValueStoreOptions) {
    super();
    this.#clock = clock;
  }

  get(key: string): Promise<Result<KvEntry | undefined, KvError>> {
    return Promise.resolve(Ok(this.#read(key)));
  }

  list(prefix: string): Promise<Result<readonly KvEntry[], KvError>> {
    this.#expireLeases();
    const entries = [...this.#stored.values()]
      .map((stored) => stored.entry)
      .filter((entry) => entry.key.startsWith(prefix))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return Promise.resolve(Ok(entries));
  }

  put(put: KvPut): Promise<Result<number, KvError>> {
    const current = this.#read(put.key);
    if ((current?.revision ?? 0) !== put.expectedRevision) {
      return Promise.resolve(Err({ kind: "conflict", current }));
    }
    if (put.leaseId !== undefined && !this.#leases.has(put.leaseId)) {
      return Promise.resolve(Err({ kind: "lease-lapsed" }));
    }
    const entry = { key: put.key, value: put.value, revision: ++this.#revision };
    this.#stored.set(put.key, { entry, leaseId: put.leaseId });
    this.#notify(put.key);
    return Promise.resolve(Ok(entry.revision));
  }

  delete(del: KvDelete): Promise<Result<void, KvError>> {
    const current = this.#read(del.key);
    if (current?.revision !== del.expectedRevision) {
      return Promise.resolve(Err({ kind: "conflict", current }));
    }
    this.#remove(del.key);
    return Promise.resolve(Ok(undefined));
  }

  async watch({ key, afterRevision, waitMs }: KvWatch): Promise<Result<KvWatchReply, KvError>> {
    const abort = new AbortController();
    const onChange = (): void => {
      abort.abort();
    };
    const deadline = this.#clock.now() + waitMs;
    const watchers = this.#watchers.get(key) ?? new Set();
    this.#watchers.set(key, watchers.add(onChange));
    while (this.#clock.now() < deadline && !abort.signal.aborted) {
      if ((this.#read(key)?.revision ?? 0) !== afterRevision) break;
      await this.#clock.sleep(
        Math.min(deadline, this.#nextExpiry()) - this.#clock.now(),
        abort.signal,
      );
    }
    watchers.delete(onChange);
    const entry = this.#read(key);
    if ((entry?.revision ?? 0) === afterRevision) return Ok({ changed: false });
    return Ok({ changed: true, entry });
  }

  grantLease(ttlMs: number): Promise<Result<string, KvError>> {
    const id = `lease-${++this.#leaseCount}`;
    this.#leases.set(id, { ttlMs, expiresAt: this.#clock.now() + ttlMs });
    return Promise.resolve(Ok(id));
  }

  renewLease(leaseId: string): Promise<Result<void, KvError>> {
    this.#expireLeases();
    const lease = this.#leases.get(leaseId);
    if (lease === undefined) return Promise.resolve(Err({ kind: "lease-lapsed" }));
    lease.expiresAt = this.#clock.now() + lease.ttlMs;
    return Promise.resolve(Ok(undefined));
  }

  revokeLease(leaseId: string): Promise<Result<void, KvError>> {
    this.#dropLease(leaseId);
    return Promise.resolve(Ok(undefined));
  }

  #read(key: string): KvEntry | undefined {
    this.#expireLeases();
    return this.#stored.get(key)?.entry;
  }

  #expireLeases(): void {
    for (const [id, lease] of this.#leases) {
      if (lease.expiresAt <= this.#clock.now()) this.#dropLease(id);
    }
  }

  #nextExpiry(): number {
    return Math.min(...[...this.#leases.values()].map((lease) => lease.expiresAt), Infinity);
  }

  #dropLease(leaseId: string): void {
    this.#leases.delete(leaseId);
    for (const [key, stored] of this.#stored) {
      if (stored.leaseId === leaseId) this.#remove(key);
    }
  }

  #remove(key: string): void {
    this.#revision++;
    this.#stored.delete(key);
    this.#notify(key);
  }

  #notify(key: string): void {
    for (const onChange of this.#watchers.get(key) ?? []) onChange();
  }
}
