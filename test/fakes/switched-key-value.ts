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

/** A key-value service that one client can be cut off from. */
export class SwitchedKeyValue extends KeyValueService {
  readonly #inner: KeyValueService;
  /** `down` refuses calls at once, `silent` never replies. */
  mode: "up" | "down" | "silent" = "up";
  /** Number of coming writes that take effect and whose reply is lost. */
  lostReplies = 0;
  /** Runs before each write reaches the service, for races. */
  beforePut: (put: KvPut) => Promise<void> = () => Promise.resolve();

  constructor(inner: KeyValueService) {
    super();
    this.#inner = inner;
  }

  get(key: string): Promise<Result<KvEntry | undefined, KvError>> {
    return this.#call(() => this.#inner.get(key));
  }

  list(prefix: string): Promise<Result<readonly KvEntry[], KvError>> {
    return this.#call(() => this.#inner.list(prefix));
  }

  async put(put: KvPut): Promise<Result<number, KvError>> {
    await this.beforePut(put);
    const reply = await this.#call(() => this.#inner.put(put));
    if (this.lostReplies === 0 || put.key.startsWith("config-history/")) return reply;
    this.lostReplies--;
    return Err({ kind: "ambiguous", detail: "reply lost" });
  }

  delete(del: KvDelete): Promise<Result<void, KvError>> {
    return this.#call(() => this.#inner.delete(del));
  }

  watch(watch: KvWatch): Promise<Result<KvWatchReply, KvError>> {
    return this.#call(() => this.#inner.watch(watch));
  }

  grantLease(ttlMs: number): Promise<Result<string, KvError>> {
    return this.#call(() => this.#inner.grantLease(ttlMs));
  }

  renewLease(leaseId: string): Promise<Result<void, KvError>> {
    return this.#call(() => this.#inner.renewLease(leaseId));
  }

  revokeLease(leaseId: string): Promise<Result<void, KvError>> {
    return this.#call(() => this.#inner.revokeLease(leaseId));
  }

  async #call<T>(call: () => Promise<Result<T, KvError>>): Promise<Result<T, KvError>> {
    if (this.mode === "up") {
      const reply = await call();
      // The service was cut off while a watch waited: its reply does not arrive.
      if ((this.mode as string) === "up") return reply;
    }
    if (this.mode === "silent") return new Promise(() => undefined);
    return Err({ kind: "unavailable", detail: "cut off" });
  }
}
