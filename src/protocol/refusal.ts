/** Whether the request was run. `no` and `yes` are guaranteed. */
export type RanState = "no" | "yes" | "unknown";

/** All reasons for a refusal, used in problem types and counters. */
export const REFUSAL_REASONS = [
  "malformed",
  "unsupported",
  "too_large",
  "slow_request",
  "unknown_queue",
  "key_missing",
  "key_unknown",
  "key_not_allowed",
  "config_missing",
  "config_stale",
  "id_body_mismatch",
  "id_from_future",
  "id_too_old",
  "id_memory_full",
  "id_unknown",
  "home_unknown",
  "home_unreachable",
  "home_moving",
  "overload",
  "deadline",
  "no_capacity",
  "cancelled",
  "bad_job",
  "task_failed",
  "outcome_unknown",
  "retry_budget",
  "peer_busy",
  "stopping",
  "internal",
] as const;

/** A reason for a refusal. */
export type RefusalReason = (typeof REFUSAL_REASONS)[number];

/** All reasons for repeating an attempt or moving it to another server, used in counters. */
export const RETRY_REASONS = [
  "server_lost",
  "server_full",
  "server_leaving",
  "lease_lapsed",
  "unreachable",
  "ambiguous",
  "task_failed",
  "never_started",
  "peer_declined",
  "peer_unreachable",
  "kv_conflict",
  "kv_ambiguous",
  "kv_unavailable",
] as const;

/** A reason for a retry. */
export type RetryReason = (typeof RETRY_REASONS)[number];

/** A refusal, which is sent as HTTP problem details. */
export interface Refusal {
  readonly reason: RefusalReason;
  /** Describes what happened and what the caller can do next. */
  readonly detail: string;
  readonly ran: RanState;
  readonly requestId?: string;
  /** Time in milliseconds after which a retry can succeed. */
  readonly retryAfterMs?: number;
}
