import { Err, type Result } from "ts-results";
import type { Clock } from "../../ports/clock.ts";
import type { Log } from "../../ports/log.ts";
import {
  RecordStore,
  type RecordChanges,
  type RecordLease,
  type RecordRange,
  type RecordTransaction,
  type StoredRecord,
  type StoreError,
  type StoreResult,
} from "../../ports/record-store.ts";
import type { StoreConnectivity } from "../../state/jobs/election-delay.ts";
import type { StoreCall } from "../../protocol/store-calls.ts";
import type { Counters } from "../ports.ts";
import { Deferred } from "../wait.ts";
import { executeStoreCall } from "./store-call-execution.ts";
import type { StorePeers } from "./store-peers.ts";

/** Time in ms between attempts to reach the store directly while it is reached through peers. */
const PROBE_INTERVAL_MS = 1000;
/** Time in ms for which peers are not asked after they did not reach the store either. */
const RELAY_PAUSE_MS = 500;
/** Time for a peer's answer beyond the wait of the call, in milliseconds. */
const RELAY_TIMEOUT_MS = 1100;

/** Options of {@link RelayedStore}. */
export interface RelayedStoreOptions {
  readonly direct: RecordStore;
  readonly peers: StorePeers;
  readonly clock: Clock;
  readonly log: Log;
  readonly counters: Counters;
}

/**
 * The store, reached directly or, where that fails, through a peer. Answers a store that turns some
 * instances away, or is cut off from them, while it serves the others.
 */
export class RelayedStore extends RecordStore {
  readonly #options: RelayedStoreOptions;
  /** Monotonic time in ms at which direct calls began to fail; undefined while they are answered. */
  #failingSince: number | undefined;
  #probeAt = 0;
  #relayAt = 0;
  #reachedAt: number;
  /** Resolves when direct calls begin to fail, so that waiting watches go through a peer. */
  #failed = new Deferred<void>();

  constructor(options: RelayedStoreOptions) {
    super();
    this.#options = options;
    this.#reachedAt = options.clock.now();
  }

  /** How the store is reached now. */
  get connectivity(): StoreConnectivity {
    const now = this.#options.clock.now();
    const outOfReachMs = this.#failingSince === undefined ? 0 : now - this.#failingSince;
    return { disconnectedMs: outOfReachMs, unresponsiveMs: now - this.#reachedAt };
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

  async keepLease(id: number): StoreResult<void> {
    return (await this.#call({ kind: "keep", lease: id })) as Result<void, StoreError>;
  }

  async endLease(id: number): StoreResult<void> {
    return (await this.#call({ kind: "end", lease: id })) as Result<void, StoreError>;
  }

  async #call(call: StoreCall): Promise<Result<unknown, StoreError>> {
    const now = this.#options.clock.now();
    const failing = this.#failingSince !== undefined;
    if (failing && now < this.#probeAt && now >= this.#relayAt) return this.#relay(call);
    if (failing) this.#probeAt = now + PROBE_INTERVAL_MS;
    const result = await this.#direct(call);
    if (!lost(result)) {
      this.#note(true);
      return result;
    }
    // A watch is also cut while the store serves all other calls, so it proves nothing.
    if (call.kind === "watch" && this.#failingSince === undefined) return result;
    this.#note(false);
    // What may have been executed is repeated by the caller, who knows how.
    const repeatable = result.val.kind === "unavailable" || call.kind === "keep";
    return repeatable && this.#options.clock.now() >= this.#relayAt ? this.#relay(call) : result;
  }

  /** A direct call; a watch is given up once other calls find the store out of reach. */
  #direct(call: StoreCall): Promise<Result<unknown, StoreError>> {
    const made = executeStoreCall(this.#options.direct, call);
    if (call.kind !== "watch" || this.#failingSince !== undefined) return made;
    const failed = this.#failed.promise.then(() =>
      Err<StoreError>({ kind: "unavailable", detail: "the store is out of reach" }),
    );
    return Promise.race([made, failed]);
  }

  async #relay(call: StoreCall): Promise<Result<unknown, StoreError>> {
    const { peers, clock, counters } = this.#options;
    counters.event("store_call_relayed");
    const waitMs = call.kind === "watch" ? call.waitMs : 0;
    const result = await peers.call(call, waitMs + RELAY_TIMEOUT_MS);
    if (lost(result)) this.#relayAt = clock.now() + RELAY_PAUSE_MS;
    else this.#reachedAt = clock.now();
    return result;
  }

  #note(reached: boolean): void {
    const { clock, log } = this.#options;
    if (reached) this.#reachedAt = clock.now();
    if (reached === (this.#failingSince === undefined)) return;
    this.#failingSince = reached ? undefined : clock.now();
    if (reached) {
      this.#failed = new Deferred();
      log.info({}, "store is reached directly again");
    } else {
      this.#probeAt = clock.now() + PROBE_INTERVAL_MS;
      this.#failed.resolve();
      log.warn({}, "store is out of reach, calls go through peers");
    }
  }
}

function lost(result: Result<unknown, StoreError>): result is Err<StoreError> {
  return result.err && (result.val.kind === "unavailable" || result.val.kind === "unknown");
}
