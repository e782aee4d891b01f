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
  readonly leaseTtlMs: number;
  readonly sessionTtlMs: number;
  readonly gossipIntervalMs: number;
  readonly configWatchMs: number;
  readonly keyFreshnessMs: number;
  readonly budgetIdleMs: number;
  readonly ledgerShards: number;
  readonly idempotencyWindowMs: number;
  readonly idMemoryEntries: number;
  readonly resultRetentionMs: number;
  readonly maxAttempts: number;
  readonly badJobServers: number;
  readonly lendWaitMs: number;
  readonly lendAfterMs: number;
  readonly plannerIntervalMs: number;
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
