import type { Result } from "ts-results";

/** One stored value. Revisions of a key only increase; 0 means that the key is absent. */
export interface KvEntry {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}

/** Why a call to the key-value service failed. */
export type KvError =
  /** The expected revision was not the current one; nothing was written. */
  | { readonly kind: "conflict"; readonly current: KvEntry | undefined }
  /** The service was not reached, or refused the call; nothing was written. */
  | { readonly kind: "unavailable"; readonly detail: string }
  /** No reply arrived; a write may or may not have taken effect. */
  | { readonly kind: "ambiguous"; readonly detail: string }
  /** The lease has lapsed or was never granted; nothing was written. */
  | { readonly kind: "lease-lapsed" };

/** A compare-and-swap write. */
export interface KvPut {
  readonly key: string;
  readonly value: string;
  /** Revision the key must have; 0 requires an absent key. */
  readonly expectedRevision: number;
  /** Lease that deletes the key when it lapses. */
  readonly leaseId?: string;
}

/** A compare-and-swap deletion. */
export interface KvDelete {
  readonly key: string;
  readonly expectedRevision: number;
}

/** A long poll for a change of one key. */
export interface KvWatch {
  readonly key: string;
  /** Returns as soon as the revision differs from this one. */
  readonly afterRevision: number;
  /** Maximum wait in milliseconds, after which the reply states that nothing changed. */
  readonly waitMs: number;
}

/** Reply of a watch. `changed: false` confirms that the watched revision was current. */
export type KvWatchReply =
  { readonly changed: false } | { readonly changed: true; readonly entry: KvEntry | undefined };

/** The platform's key-value service: compare-and-swap, leases and watches. */
export abstract class KeyValueService {
  abstract get(key: string): Promise<Result<KvEntry | undefined, KvError>>;
  abstract list(prefix: string): Promise<Result<readonly KvEntry[], KvError>>;
  /** Writes and returns the new revision. */
  abstract put(put: KvPut): Promise<Result<number, KvError>>;
  abstract delete(del: KvDelete): Promise<Result<void, KvError>>;
  abstract watch(watch: KvWatch): Promise<Result<KvWatchReply, KvError>>;
  /** Grants a lease for the given time to live in milliseconds and returns its id. */
  abstract grantLease(ttlMs: number): Promise<Result<string, KvError>>;
  abstract renewLease(leaseId: string): Promise<Result<void, KvError>>;
  abstract revokeLease(leaseId: string): Promise<Result<void, KvError>>;
}
