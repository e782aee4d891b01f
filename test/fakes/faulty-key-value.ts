import { Err } from "ts-results";
import type { KeyValueService } from "../../src/ports/key-value-service.ts";
import { InterceptedKeyValue, type KvResult } from "./intercepted.ts";
import type { Links, Party } from "./links.ts";

/** Timeout of a call in milliseconds, the same as the HTTP client's. */
const CALL_TIMEOUT_MS = 1000;

/** Options of {@link FaultyKeyValue}. */
export interface FaultyKeyValueOptions {
  readonly links: Links;
  /** The process that calls. */
  readonly party: Party;
  /** The party that stands for the key-value service on the network. */
  readonly platform: Party;
  readonly store: KeyValueService;
}

/** One process's client of the key-value service, over a link that can fail. */
export class FaultyKeyValue extends InterceptedKeyValue {
  readonly #options: FaultyKeyValueOptions;

  constructor(options: FaultyKeyValueOptions) {
    super();
    this.#options = options;
  }

  protected async intercept<T>(
    call: (service: KeyValueService) => KvResult<T>,
    waitMs = 0,
  ): KvResult<T> {
    const { links, party, platform, store } = this.#options;
    const timeoutMs = CALL_TIMEOUT_MS + waitMs;
    const outcome = await links.call(party, platform, () => call(store), timeoutMs);
    if (outcome.kind === "ok") return outcome.value;
    if (outcome.kind === "not-sent") return Err({ kind: "unavailable", detail: "no connection" });
    return Err({ kind: "ambiguous", detail: "no reply" });
  }
}
