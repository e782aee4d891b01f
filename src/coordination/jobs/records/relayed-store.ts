import { Err, type Result } from "ts-results";
import type { Clock } from "../../../ports/clock.ts";
import type { Log } from "../../../ports/log.ts";
import {
  RecordStore,
  type RecordChanges,
  type RecordLease,
  type RecordRange,
  type RecordTransaction,
  type StoredRecord,
  type StoreError,
  type StoreResult,
} from "../../../ports/record-store.ts";
import type { StoreConnectivity } from "../../../state/jobs/election/election-delay.ts";
import type { StoreCall } from "../../../protocol/store-calls.ts";
import type { Counters } from "../../ports.ts";
import { Deferred } from "../../wait.ts";
import { executeStoreCall } from "./store-call-execution.ts";
import type { StoreCallRelay } from "./store-call-relay.ts";

/** Interval in ms of attempts to reach the store directly while calls are relayed. */
const PROBE_INTERVAL_MS = 1000;
/** Pause in ms before calls are relayed again after peers could not reach the store either. */
const RELAY_PAUSE_MS = 500;
/** Timeout in ms of a relayed call, in addition to the wait of a watch. */
const RELAY_TIMEOUT_MS = 1100;

/** Options of {@link RelayedStore}. */
export interface RelayedStoreOptions {
  readonly direct: RecordStore;
  readonly peers: StoreCallRelay;
  readonly clock: Clock;
  readonly log: Log;
  readonly counters: Counters;
}

/**
 * Calls the store directly or, if that fails, through a peer. Keeps an entry instance working while
 * the store refuses its calls, or is partitioned from it, but still serves other entry instances.
 */
export class RelayedStore extends RecordStore {
  readonly #options: RelayedStoreOptions;
  /** Monotonic time in ms at which direct calls started to fail; undefined while they succeed. */
  #failingSince: number | undefined;
  #nextProbeAt = 0;
  #relayAllowedAt = 0;
  #lastReachedAt: number;
  /** Resolves when direct calls start to fail, so that pending watches are relayed. */
  #directFailed = new Deferred<void>();

  constructor(options: RelayedStoreOptions) {
    super();
    this.#options = options;
    this.#lastReachedAt = options.clock.now();
  }

  /** Current connectivity to the store. */
  get connectivity(): StoreConnectivity {
    const now = this.#options.clock.now();
    const disconnectedMs = this.#failingSince === undefined ? 0 : now - this.#failingSince;
    return { disconnectedMs, unresponsiveMs: now - this.#lastReachedAt };
  }

  async get(key: string): StoreResult<StoredRecord | undefined> {
    return (await this.#call({ kind: "get", key })) as Result<StoredRecord | undefined, StoreError>;
  }

  async range(prefix: string): StoreResult<RecordRange> {
    return (await this.#call({ kind: "range", prefix })) as Result<RecordRange, StoreError>;
  }

  async watch(prefix: string, after: number, waitMs: number): StoreResult<RecordChanges> {
    const call = { kind: "watch", prefix, after, waitMs } as const;
    return (await this.#call(call)) as Result<RecordChanges, StoreError>;
  }

  async commit(txn: RecordTransaction): StoreResult<number> {
    return (await this.#call({ kind: "commit", txn })) as Result<number, StoreError>;
  }

  async grantLease(ttlMs: number): StoreResult<RecordLease> {
    return (await this.#call({ kind: "grant", ttlMs })) as Result<RecordLease, StoreError>;
  }

  async renewLease(id: number): StoreResult<void> {
    return (await this.#call({ kind: "keep", lease: id })) as Result<void, StoreError>;
  }

  async revokeLease(id: number): StoreResult<void> {
    return (await this.#call({ kind: "end", lease: id })) as Result<void, StoreError>;
  }

  async #call(call: StoreCall): Promise<Result<unknown, StoreError>> {
    const now = this.#options.clock.now();
    const failing = this.#failingSince !== undefined;
    if (failing && now < this.#nextProbeAt && now >= this.#relayAllowedAt) return this.#relay(call);
    if (failing) this.#nextProbeAt = now + PROBE_INTERVAL_MS;
    const result = await this.#callDirectly(call);
    if (!hasNoResponse(result)) {
      this.#updateDirectState(true);
      return result;
    }
    // Watches can fail while the store serves all other calls, so this is no proof of an outage.
    if (call.kind === "watch" && this.#failingSince === undefined) return result;
    this.#updateDirectState(false);
    // Calls with an unknown outcome are left to the caller, which knows how to retry them safely.
    const repeatable = result.val.kind === "unavailable" || call.kind === "keep";
    return repeatable && this.#options.clock.now() >= this.#relayAllowedAt
      ? this.#relay(call)
      : result;
  }

  /** Calls the store directly; a watch is abandoned once other calls can't reach the store. */
  #callDirectly(call: StoreCall): Promise<Result<unknown, StoreError>> {
    const made = executeStoreCall(this.#options.direct, call);
    if (call.kind !== "watch" || this.#failingSince !== undefined) return made;
    const aborted = this.#directFailed.promise.then(() =>
      Err<StoreError>({ kind: "unavailable", detail: "the store is unreachable" }),
    );
    return Promise.race([made, aborted]);
  }

  async #relay(call: StoreCall): Promise<Result<unknown, StoreError>> {
    const { peers, clock, counters } = this.#options;
    counters.event("store_call_relayed");
    const waitMs = call.kind === "watch" ? call.waitMs : 0;
    const result = await peers.relay(call, waitMs + RELAY_TIMEOUT_MS);
    if (hasNoResponse(result)) this.#relayAllowedAt = clock.now() + RELAY_PAUSE_MS;
    else this.#lastReachedAt = clock.now();
    return result;
  }

  #updateDirectState(reachable: boolean): void {
    const { clock, log } = this.#options;
    if (reachable) this.#lastReachedAt = clock.now();
    if (reachable === (this.#failingSince === undefined)) return;
    this.#failingSince = reachable ? undefined : clock.now();
    if (reachable) {
      this.#directFailed = new Deferred();
      log.info({}, "store is reached directly again");
    } else {
      this.#nextProbeAt = clock.now() + PROBE_INTERVAL_MS;
      this.#directFailed.resolve();
      log.warn({}, "store is out of reach, calls go through peers");
    }
  }
}

function hasNoResponse(result: Result<unknown, StoreError>): result is Err<StoreError> {
  return result.err && (result.val.kind === "unavailable" || result.val.kind === "unknown");
}
