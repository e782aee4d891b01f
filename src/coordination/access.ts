import { Err, Ok, type Result } from "ts-results";
import type { QueueConfig, TeamConfig } from "../protocol/config-document.ts";
import type { RefusalReason } from "../protocol/refusal.ts";
import type { CallerRequest, ConfigView } from "./ports.ts";

const RETRY_AFTER_MS = 1000;

/** The queue that a caller may use, and the team that it acts for. */
export interface Grant {
  /** Undefined for queues open to all. */
  readonly team: string | undefined;
  readonly queue: QueueConfig;
}

/** Why a caller may not submit. */
export interface AccessRefusal {
  readonly reason: RefusalReason;
  readonly detail: string;
  readonly retryAfterMs?: number;
}

/** Checks whether a request may be submitted; keys are ignored for queues open to all. */
export function grantAccess(
  config: ConfigView,
  { queue: name, key }: Pick<CallerRequest, "queue" | "key">,
): Result<Grant, AccessRefusal> {
  const current = config.current();
  if (current === undefined)
    return refuse("config_missing", "No configuration has been read yet.", RETRY_AFTER_MS);
  const queue = current.queues.find((each) => each.name === name);
  if (queue === undefined) return refuse("unknown_queue", `There is no queue "${name}".`);
  if (queue.open) return Ok({ team: undefined, queue });
  if (key === undefined) return refuse("key_missing", "This queue requires an API key.");
  if (!config.keyedWorkAllowed())
    return refuse("config_stale", "API keys cannot be checked at the moment.", RETRY_AFTER_MS);
  const team = config.teamOfKey(key);
  if (team === undefined) return refuse("key_unknown", "The API key is not valid.");
  const teamConfig = current.teams.find((each) => each.name === team);
  if (!mayUse(teamConfig, name))
    return refuse("key_not_allowed", `The API key's team may not use the queue "${name}".`);
  return Ok({ team, queue });
}

/**
 * Team of the key sent with a query or cancellation; undefined without a key. A stale configuration
 * suffices.
 */
export function identifyTeam(
  config: ConfigView,
  key: string | undefined,
): Result<string | undefined, AccessRefusal> {
  if (key === undefined) return Ok(undefined);
  if (config.current() === undefined)
    return refuse("config_missing", "No configuration has been read yet.", RETRY_AFTER_MS);
  const team = config.teamOfKey(key);
  return team === undefined ? refuse("key_unknown", "The API key is not valid.") : Ok(team);
}

function mayUse(team: TeamConfig | undefined, queue: string): boolean {
  return team !== undefined && (team.queues.length === 0 || team.queues.includes(queue));
}

function refuse(reason: RefusalReason, detail: string, retryAfterMs?: number): Err<AccessRefusal> {
  return Err(retryAfterMs === undefined ? { reason, detail } : { reason, detail, retryAfterMs });
}
