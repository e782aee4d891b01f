import type { Result } from "ts-results";

/** One stored value. Revisions come from one store-wide counter and only increase. */
export interface StoredRecord {
  readonly key: string;
  readonly value: Uint8Array;
  /** Revision of the last change. */
  readonly revision: number;
}

/** A change of one key. */
export type RecordEvent =
  | { readonly kind: "written"; readonly record: StoredRecord }
  | { readonly kind: "deleted"; readonly key: string; readonly revision: number };

/** Records under a prefix. Pages are read one after another, so they are not a snapshot. */
export interface RecordRange {
  readonly records: readonly StoredRecord[];
  /** Store revision at the first page; a watch from this revision misses no change. */
  readonly revision: number;
}

/** Changes under a prefix since the requested revision. */
export interface RecordChanges {
  readonly events: readonly RecordEvent[];
  /** Revision to continue from. */
  readonly revision: number;
}

/** Requires a key to have a revision; 0 requires it to be absent. */
export interface RecordCondition {
  readonly key: string;
  readonly revision: number;
}

/** A value to write. */
export interface RecordPut {
  readonly key: string;
  readonly value: Uint8Array;
  /** Lease that deletes the key when it ends. */
  readonly lease?: number;
}

/** Changes that are applied atomically if all conditions hold. */
export interface RecordTransaction {
  readonly conditions: readonly RecordCondition[];
  readonly puts: readonly RecordPut[];
  readonly deletes?: readonly string[];
}

/** A granted lease. */
export interface RecordLease {
  readonly id: number;
  /** Time to live applied by the store, in milliseconds. */
  readonly ttlMs: number;
}

/** Why a call to the store failed. */
export type StoreError =
  /** A condition failed; nothing was written. `current` has the existing keys of the conditions. */
  | { readonly kind: "conflict"; readonly current: readonly StoredRecord[] }
  /** The lease has ended; nothing was written. */
  | { readonly kind: "lease-ended" }
  /** The history after the given revision is no longer available. */
  | { readonly kind: "compacted" }
  /** The call failed; nothing was done. */
  | { readonly kind: "unavailable"; readonly detail: string }
  /** The call may have been executed, or may still be. */
  | { readonly kind: "unknown"; readonly detail: string };

/** Result of a call to the store. */
export type StoreResult<T> = Promise<Result<T, StoreError>>;

/** Maximum entries of a transaction, counting conditions, puts and deletes together. */
export const MAX_TRANSACTION_ENTRIES = 32;

/** The platform's record store: prefix reads, prefix watches, transactions and leases. */
export abstract class RecordStore {
  /** Reads one key; undefined if it is absent. */
  abstract get(key: string): StoreResult<StoredRecord | undefined>;
  /** Reads every key under a prefix. */
  abstract range(prefix: string): StoreResult<RecordRange>;
  /** Waits up to `waitMs` for changes after a revision. */
  abstract watch(prefix: string, after: number, waitMs: number): StoreResult<RecordChanges>;
  /** Applies all changes or none, and returns the new revision. */
  abstract commit(txn: RecordTransaction): StoreResult<number>;
  abstract grantLease(ttlMs: number): StoreResult<RecordLease>;
  /** Renews a lease. Its time to live restarts when the call arrives at the store. */
  abstract renewLease(id: number): StoreResult<void>;
  abstract revokeLease(id: number): StoreResult<void>;
}
