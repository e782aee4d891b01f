import { Err, type Result } from "ts-results";
import {
  KeyValueService,
  type KvDelete,
  type KvEntry,
  type KvError,
  type KvPut,
  type KvWatch,
  type KvWatchReply,
} from "../../src/platform/key-value-service.ts";
import type { Links, Party } from "./links.ts";

/** Time a call may take, in milliseconds, as the HTTP client allows. */
const CALL_TIMEOUT_MS = 1000;

/** Options of {@link FaultyKeyValue}. */
export interface FaultyKeyValueOptions {
  readonly links: Links;
  /** The process that calls. */
  readonly party: Party;
  /** The key-value service as a party of the network. */
  readonly platform: Party;
  readonly store: KeyValueService;
}

/** One process's client of the key-value service, over a link that can fail. */
export class FaultyKeyValue extends KeyValueService {
  readonly #options: FaultyKeyValueOptions;

  constructor(options: FaultyKeyValueOptions) {
    super();
    this.#options = options;
  }

  get(key: string): Promise<Result<KvEntry | undefined, KvError>> {
    return this.#call(() => this.#options.store.get(key));
  }

  list(prefix: string): Promise<Result<readonly KvEntry[], KvError>> {
    return this.#call(() => this.#options.store.list(prefix));
  }

  put(put: KvPut): Promise<Result<number, KvError>> {
    return this.#call(() => this.#options.store.put(put));
  }

  delete(del: KvDelete): Promise<Result<void, KvError>> {
    return this.#call(() => this.#options.store.delete(del));
  }

  watch(watch: KvWatch): Promise<Result<KvWatchReply, KvError>> {
    return this.#call(() => this.#options.store.watch(watch), CALL_TIMEOUT_MS + watch.waitMs);
  }

  grantLease(ttlMs: number): Promise<Result<string, KvError>> {
    return this.#call(() => this.#options.store.grantLease(ttlMs));
  }

  renewLease(leaseId: string): Promise<Result<void, KvError>> {
    return this.#call(() => this.#options.store.renewLease(leaseId));
  }

  revokeLease(leaseId: string): Promise<Result<void, KvError>> {
    return this.#call(() => this.#options.store.revokeLease(leaseId));
  }

  async #call<T>(
    op: () => Promise<Result<T, KvError>>,
    timeoutMs = CALL_TIMEOUT_MS,
  ): Promise<Result<T, KvError>> {
    const { links, party, platform } = this.#options;
    const outcome = await links.call(party, platform, op, timeoutMs);
    if (outcome.kind === "ok") return outcome.value;
    if (outcome.kind === "not-sent") return Err({ kind: "unavailable", detail: "no connection" });
    return Err({ kind: "ambiguous", detail: "no reply" });
  }
}
