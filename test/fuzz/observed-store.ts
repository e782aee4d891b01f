import type { Result } from "ts-results";
import {
  KeyValueService,
  type KvDelete,
  type KvEntry,
  type KvError,
  type KvPut,
  type KvWatch,
  type KvWatchReply,
} from "../../src/ports/key-value-service.ts";

/** Forwards every call. Base class of wrappers that change some of the calls. */
export class ForwardingKeyValue extends KeyValueService {
  protected readonly inner: KeyValueService;

  constructor({ inner }: { readonly inner: KeyValueService }) {
    super();
    this.inner = inner;
  }

  get(key: string): Promise<Result<KvEntry | undefined, KvError>> {
    return this.inner.get(key);
  }

  list(prefix: string): Promise<Result<readonly KvEntry[], KvError>> {
    return this.inner.list(prefix);
  }

  put(put: KvPut): Promise<Result<number, KvError>> {
    return this.inner.put(put);
  }

  delete(del: KvDelete): Promise<Result<void, KvError>> {
    return this.inner.delete(del);
  }

  watch(watch: KvWatch): Promise<Result<KvWatchReply, KvError>> {
    return this.inner.watch(watch);
  }

  grantLease(ttlMs: number): Promise<Result<string, KvError>> {
    return this.inner.grantLease(ttlMs);
  }

  renewLease(leaseId: string): Promise<Result<void, KvError>> {
    return this.inner.renewLease(leaseId);
  }

  revokeLease(leaseId: string): Promise<Result<void, KvError>> {
    return this.inner.revokeLease(leaseId);
  }
}

/** Options of {@link ObservedStore}. */
export interface ObservedStoreOptions {
  readonly inner: KeyValueService;
  /** Called after each `put` that took effect. */
  readonly onWrite: (key: string, value: string) => void;
}

/** A key-value service that reports every successful `put` to a callback. */
export class ObservedStore extends ForwardingKeyValue {
  readonly #onWrite: (key: string, value: string) => void;

  constructor({ inner, onWrite }: ObservedStoreOptions) {
    super({ inner });
    this.#onWrite = onWrite;
  }

  override async put(put: KvPut): Promise<Result<number, KvError>> {
    const result = await this.inner.put(put);
    if (result.ok) this.#onWrite(put.key, put.value);
    return result;
  }
}
