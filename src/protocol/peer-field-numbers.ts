/**
 * Fields that peers send by number instead of by name. Append new names at the end. Any other
 * change needs a new `PEER_PROTOCOL_VERSION`, because both sides must use the same numbers.
 */
const NUMBERED_FIELDS = [
  "kind",
  "callId",
  "req",
  "reply",
  "type",
  "configRevision",
  "configAgeMs",
  "platformReachable",
  "fleetRevision",
  "homesRevision",
  "pools",
  "teams",
  "held",
  "leaving",
  "stopping",
  "pool",
  "freeSlots",
  "totalSlots",
  "queued",
  "waitMs",
  "team",
  "running",
  "budget",
  "requestId",
  "attempt",
  "queue",
  "priority",
  "idempotent",
  "timeoutMs",
  "payload",
  "contentType",
  "body",
  "spec",
  "state",
  "server",
  "result",
  "sequence",
  "baseline",
] as const;

/** Number of each field, starting at 1. Fields that are not listed are sent by name. */
export const PEER_FIELD_NUMBERS: Readonly<Record<string, number>> = Object.fromEntries(
  NUMBERED_FIELDS.map((name, n) => [name, n + 1]),
);
