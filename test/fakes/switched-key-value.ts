import { Err } from "ts-results";
import type { KeyValueService, KvPut } from "../../src/ports/key-value-service.ts";
import { InterceptedKeyValue, type KvResult } from "./intercepted.ts";

/** A key-value service that one client can be cut off from. */
export class SwitchedKeyValue extends InterceptedKeyValue {
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

  override async put(put: KvPut): KvResult<number> {
    await this.beforePut(put);
    const reply = await super.put(put);
    if (this.lostReplies === 0 || put.key.startsWith("config-history/")) return reply;
    this.lostReplies--;
    return Err({ kind: "ambiguous", detail: "reply lost" });
  }

  protected async intercept<T>(call: (service: KeyValueService) => KvResult<T>): KvResult<T> {
    if (this.mode === "up") {
      const reply = await call(this.#inner);
      // The service was cut off while a watch waited: its reply does not arrive.
      if ((this.mode as string) === "up") return reply;
    }
    if (this.mode === "silent") return new Promise(() => undefined);
    return Err({ kind: "unavailable", detail: "cut off" });
  }
}
