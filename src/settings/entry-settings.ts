/** Settings of one entry instance with defaults applied. Durations are in milliseconds. */
export interface EntrySettings {
  /** Availability zone of this instance. */
  readonly zone: string;
  /** Pool group (region) of this instance. */
  readonly group: string;
  /** Address for callers, `IP:PORT`. */
  readonly callerAddress: string;
  /** Address for health checks, metrics and operators, `IP:PORT`. */
  readonly adminAddress: string;
  /** Address for connections from other entry instances, `IP:PORT`. It is announced to them. */
  readonly peerAddress: string;
  /** Base URL of the key-value service. */
  readonly keyValueUrl: string;
  /** Base URL of the instance list. */
  readonly instanceListUrl: string;
  /** Time to live of the leases on backend servers. */
  readonly leaseTtlMs: number;
  /** Time to live of this instance's session in the key-value service. */
  readonly sessionTtlMs: number;
  /** Mean pause between gossip exchanges with a peer while work is queued or loads change. */
  readonly gossipIntervalMs: number;
  /** Longest wait of one watch of the configuration. */
  readonly configWatchMs: number;
  /**
   * Maximum age of the last confirmation of the configuration. Above it, requests with API keys are
   * refused, except in a platform-wide outage.
   */
  readonly keyFreshnessMs: number;
  /** Time for which budget of a team must be unused before it is released. */
  readonly budgetIdleMs: number;
  /** Number of ledger documents over which teams are distributed; the same on every instance. */
  readonly ledgerShards: number;
  /** Time after its acceptance at which a finished request is forgotten. */
  readonly idempotencyWindowMs: number;
  /**
   * Number of non-idempotent requests with callers' ids that are remembered; further ones are
   * refused. Other requests are evicted once the memory is full.
   */
  readonly idMemoryEntries: number;
  /**
   * Time for which results of finished requests are kept. Backend servers are assumed to keep
   * finished tasks as long.
   */
  readonly resultRetentionMs: number;
  /** Number of attempts after which an idempotent request is not retried. */
  readonly maxAttempts: number;
  /** A job that failed on this many backend servers, not counting suspect ones, is not retried. */
  readonly badJobServers: number;
  /** Expected wait above which a pool borrows slots of the spare pool. Planner weights change it. */
  readonly lendWaitMs: number;
  /** Time for which the expected wait must exceed that limit before borrowing starts. */
  readonly lendAfterMs: number;
  /** Time between rounds of the planner. */
  readonly plannerIntervalMs: number;
  /** Maximum time that a shutdown waits for queued requests to start and callers to be answered. */
  readonly shutdownTimeoutMs: number;
}

/** Defaults for keys that the settings file omits. */
export const ENTRY_DEFAULTS = {
  leaseTtlMs: 4000,
  sessionTtlMs: 6000,
  gossipIntervalMs: 500,
  configWatchMs: 1500,
  keyFreshnessMs: 4000,
  budgetIdleMs: 2000,
  ledgerShards: 4,
  idempotencyWindowMs: 3_600_000,
  idMemoryEntries: 50_000,
  resultRetentionMs: 600_000,
  maxAttempts: 3,
  badJobServers: 3,
  lendWaitMs: 500,
  lendAfterMs: 500,
  plannerIntervalMs: 1000,
  shutdownTimeoutMs: 30_000,
} as const;
