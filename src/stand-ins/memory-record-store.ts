/** In-memory record store of the platform, with separate fault switches for each client. */
import { Err, Ok, type Result } from "ts-results";
import type { Clock, Timer } from "../ports/clock.ts";
import {
  RecordStore,
  type RecordChanges,
  type RecordEvent,
  type RecordLease,
  type RecordRange,
  type RecordTransaction,
  type StoredRecord,
  type StoreError,
  type StoreResult,
} from "../ports/record-store.ts";

interface RecordEntry {
  readonly record: StoredRecord;
  /** Id of the lease that the record is bound to; 0 if there is none. */
  readonly lease: number;
}

interface Lease {
  readonly id: number;
  readonly ttlMs: number;
  timer: Timer;
}

interface Waiter {
  readonly prefix: string;
  readonly after: number;
  readonly resolve: () => void;
}

/** Faults on the connection between one client and the store. */
export interface StoreFaults {
  /** Calls get no reply and have no effect. */
  unresponsive: boolean;
  /** Calls fail as unavailable and have no effect. */
  refusing: boolean;
  /** Number of upcoming commits that take effect but get no reply. */
  lostReplies: number;
  /** Delay in milliseconds before a commit whose reply is lost takes effect. */
  lostCommitDelayMs: number;
  /** Watches reply only after their wait, and without the changes that occurred. */
  dropWatchEvents: boolean;
}

/** Timeout of a client's calls in milliseconds. */
const CALL_TIMEOUT_MS = 900;

/** The state of the store, shared by its clients. */
export class MemoryRecordStore {
  readonly #clock: Clock;
  readonly #latencyMs: number;
  readonly #records = new Map<string, RecordEntry>();
  readonly #leases = new Map<number, Lease>();
  readonly #waiters = new Set<Waiter>();
  #history: { readonly revision: number; readonly key: string; readonly event: RecordEvent }[] = [];
  #compactedRevision = 0;
  #revision = 1;
  #nextLeaseId = 1;

  constructor(clock: Clock, { latencyMs = 4 }: { readonly latencyMs?: number } = {}) {
    this.#clock = clock;
    this.#latencyMs = latencyMs;
  }

  get revision(): number {
    return this.#revision;
  }

  /** Creates a client with its own fault switches. */
  client(): MemoryRecordClient {
    return new MemoryRecordClient(this, this.#clock, this.#latencyMs);
  }

  /** Discards the event history, so that waiting watches have to read the records again. */
  compact(): void {
    this.#history = [];
    this.#compactedRevision = this.#revision;
    this.#notify("");
  }

  read(key: string): StoredRecord | undefined {
    return this.#records.get(key)?.record;
  }

  range(prefix: string): RecordRange {
    const records = [...this.#records.values()].map(({ record }) => record);
    const matching = records.filter(({ key }) => key.startsWith(prefix));
    matching.sort((a, b) => (a.key < b.key ? -1 : 1));
    return { records: matching, revision: this.#revision };
  }

  /** Writes unconditionally, as operators and backend servers do. */
  write(key: string, value: Uint8Array): void {
    this.#revision++;
    this.#put(key, value, 0);
  }

  delete(key: string): void {
    this.#revision++;
    this.#delete(key);
  }

  commit({ conditions, puts, deletes = [] }: RecordTransaction): Result<number, StoreError> {
    const conditionsHold = conditions.every(
      ({ key, revision }) => (this.#records.get(key)?.record.revision ?? 0) === revision,
    );
    if (!conditionsHold) {
      const current = conditions.flatMap(({ key }) => this.read(key) ?? []);
      return Err({ kind: "conflict", current });
    }
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.#leases.has(lease)))
      return Err({ kind: "lease-ended" });
    // All changes of a transaction share one revision, which is returned.
    this.#revision++;
    for (const key of deletes) this.#delete(key);
    for (const { key, value, lease = 0 } of puts) this.#put(key, value, lease);
    return Ok(this.#revision);
  }

  grantLease(ttlMs: number): RecordLease {
    const id = this.#nextLeaseId++;
    this.#leases.set(id, { id, ttlMs, timer: this.#scheduleExpiry(id, ttlMs) });
    return { id, ttlMs };
  }

  /** Renews a lease; false if it has ended. */
  renewLease(id: number): boolean {
    const lease = this.#leases.get(id);
    if (lease === undefined) return false;
    lease.timer.cancel();
    lease.timer = this.#scheduleExpiry(id, lease.ttlMs);
    return true;
  }

  /** Ends a lease and deletes its keys; false if it had already ended. */
  revokeLease(id: number): boolean {
    const lease = this.#leases.get(id);
    if (lease === undefined) return false;
    lease.timer.cancel();
    this.#leases.delete(id);
    for (const [key, entry] of [...this.#records]) if (entry.lease === id) this.delete(key);
    return true;
  }

  /** Events under a prefix after a revision; undefined if that history has been compacted. */
  events(prefix: string, after: number): readonly RecordEvent[] | undefined {
    if (after < this.#compactedRevision) return undefined;
    return this.#history
      .filter(({ revision, key }) => revision > after && key.startsWith(prefix))
      .map(({ event }) => event);
  }

  /** Resolves on a change under the prefix or a compaction, or after `waitMs`. */
  async waitForChange(prefix: string, after: number, waitMs: number): Promise<void> {
    const abort = new AbortController();
    await new Promise<void>((resolve) => {
      const waiter = { prefix, after, resolve };
      this.#waiters.add(waiter);
      void this.#clock.sleep(waitMs, abort.signal).then(() => {
        this.#waiters.delete(waiter);
        resolve();
      });
    });
    abort.abort();
  }

  #delete(key: string): void {
    if (!this.#records.delete(key)) return;
    this.#appendEvent(key, { kind: "deleted", key, revision: this.#revision });
  }

  #put(key: string, value: Uint8Array, lease: number): void {
    const record = { key, value: Uint8Array.from(value), revision: this.#revision };
    this.#records.set(key, { record, lease });
    this.#appendEvent(key, { kind: "written", record });
  }

  #appendEvent(key: string, event: RecordEvent): void {
    this.#history.push({ revision: this.#revision, key, event });
    this.#notify(key);
  }

  #notify(key: string): void {
    for (const waiter of [...this.#waiters])
      if (key === "" || key.startsWith(waiter.prefix)) waiter.resolve();
  }

  #scheduleExpiry(id: number, ttlMs: number): Timer {
    return this.#clock.schedule(ttlMs, () => {
      this.revokeLease(id);
    });
  }
}

/** A client of {@link MemoryRecordStore} over a connection with switchable faults. */
export class MemoryRecordClient extends RecordStore {
  readonly faults: StoreFaults = {
    ...{ unresponsive: false, refusing: false, lostReplies: 0, lostCommitDelayMs: 0 },
    dropWatchEvents: false,
  };
  readonly #store: MemoryRecordStore;
  readonly #clock: Clock;
  readonly #latencyMs: number;

  constructor(store: MemoryRecordStore, clock: Clock, latencyMs: number) {
    super();
    this.#store = store;
    this.#clock = clock;
    this.#latencyMs = latencyMs;
  }

  get(key: string): StoreResult<StoredRecord | undefined> {
    return this.#call(() => Ok(this.#store.read(key)), "unavailable");
  }

  range(prefix: string): StoreResult<RecordRange> {
    return this.#call(() => Ok(this.#store.range(prefix)), "unavailable");
  }

  async watch(prefix: string, after: number, waitMs: number): StoreResult<RecordChanges> {
    if ((this.#store.events(prefix, after)?.length ?? 1) === 0)
      await this.#store.waitForChange(prefix, after, waitMs);
    if (this.faults.dropWatchEvents) {
      await this.#clock.sleep(waitMs);
      return this.#call(() => Ok({ events: [], revision: this.#store.revision }), "unavailable");
    }
    return this.#call(() => {
      const events = this.#store.events(prefix, after);
      if (events === undefined) return Err({ kind: "compacted" });
      return Ok({ events, revision: this.#store.revision });
    }, "unavailable");
  }

  async commit(txn: RecordTransaction): StoreResult<number> {
    if (this.faults.lostReplies > 0 && !this.faults.unresponsive) {
      this.faults.lostReplies--;
      this.#clock.schedule(this.faults.lostCommitDelayMs, () => this.#store.commit(txn));
      await this.#clock.sleep(CALL_TIMEOUT_MS);
      return Err({ kind: "unknown", detail: "the reply was lost" });
    }
    return this.#call(() => this.#store.commit(txn), "unknown");
  }

  grantLease(ttlMs: number): StoreResult<RecordLease> {
    return this.#call(() => Ok(this.#store.grantLease(ttlMs)), "unknown");
  }

  renewLease(id: number): StoreResult<void> {
    return this.#call(() => this.#leaseResult(this.#store.renewLease(id)), "unknown");
  }

  revokeLease(id: number): StoreResult<void> {
    return this.#call(() => this.#leaseResult(this.#store.revokeLease(id)), "unknown");
  }

  #leaseResult(found: boolean): Result<void, StoreError> {
    return found ? Ok(undefined) : Err({ kind: "lease-ended" });
  }

  async #call<T>(
    execute: () => Result<T, StoreError>,
    timeoutKind: "unavailable" | "unknown",
  ): StoreResult<T> {
    if (this.faults.unresponsive) {
      await this.#clock.sleep(CALL_TIMEOUT_MS);
      return Err({ kind: timeoutKind, detail: "no reply" });
    }
    await this.#clock.sleep(this.#latencyMs);
    if (this.faults.refusing) return Err({ kind: "unavailable", detail: "refused" });
    return execute();
  }
}
