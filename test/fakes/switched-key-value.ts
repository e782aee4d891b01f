import { Err } from "ts-results";
import type { KeyValueService, KvPut } from "../../src/ports/key-value-service.ts";
import { InterceptedKeyValue, type KvResult } from "./intercepted.ts";

/** One client's connection to a key-value service, which a test can cut. */
export class SwitchedKeyValue extends InterceptedKeyValue {
  readonly #inner: KeyValueService;
  /** `down` rejects calls at once; `silent` is unresponsive: calls never get a reply. */
  mode: "up" | "down" | "silent" = "up";
  /** Number of upcoming writes that take effect but whose reply is lost. */
  lostReplies = 0;
  /** Runs before each write reaches the service, so that a test can provoke races. */
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
      // If the service was cut off while a watch waited, the reply is lost.
      if ((this.mode as string) === "up") return reply;
    }
    if (this.mode === "silent") return new Promise(() => undefined);
    return Err({ kind: "unavailable", detail: "cut off" });
  }
}
