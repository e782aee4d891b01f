/** Builders of the events and documents that the tests of the oracle pass to it. */
import type { TaskSpec } from "../../src/ports/backend-server.ts";
import type { ConfigDocument } from "../../src/protocol/config-document.ts";
import type { ServerRecord, ServerState } from "../../src/protocol/fleet-document.ts";
import type { RanState, RefusalReason } from "../../src/protocol/refusal.ts";
import type { CallerReply } from "../../src/coordination/ports.ts";
import type { Submission } from "./request-history.ts";

interface ConfigOptions {
  readonly limit: number;
  readonly minAvailable: number;
  readonly keys?: readonly string[];
}

export function config(
  revision: number,
  { limit, minAvailable, keys }: ConfigOptions,
): ConfigDocument {
  return {
    revision,
    writeId: `w${revision}`,
    acceptedAt: 0,
    pools: [
      {
        name: "main",
        group: "g",
        minAvailable,
        targetSize: 3,
        urgentReserveSlots: 0,
        spare: false,
      },
    ],
    queues: [{ name: "q", pool: "main", open: false, idempotent: false, declaredRunMs: 100 }],
    teams: [
      {
        name: "red",
        share: 1,
        upperLimit: limit,
        queues: [],
        keys: (keys ?? ["key-1"]).map((id) => ({ id, salt: "", hash: "" })),
      },
    ],
    maintenance: { startMinute: 0, endMinute: 1440, everyDays: 0, maxParallel: 2 },
    weights: { bufferCost: 1, rolloutTime: 1, moves: 1, closenessToShare: 1 },
  };
}

export function call(nonce: string, overrides: Partial<Submission> = {}): Submission {
  return {
    nonce,
    queue: "q",
    key: "secret",
    team: "red",
    idempotent: false,
    keyMayBeValid: true,
    open: false,
    bad: false,
    timeoutMs: 1000,
    ...overrides,
  };
}

export function task(requestId: string, attempt = 1): TaskSpec {
  return {
    requestId,
    attempt,
    home: "e1",
    chargedTo: "e1",
    team: "red",
    queue: "q",
    priority: "normal",
    idempotent: false,
    payload: { contentType: "text/plain", body: new Uint8Array() },
  };
}

export function server(
  name: string,
  state: ServerState,
  overrides: Partial<ServerRecord> = {},
): ServerRecord {
  return {
    name,
    address: name,
    zone: "a",
    rack: "r",
    cores: 1,
    memoryGb: 1,
    accelerators: 0,
    slots: 4,
    pool: "main",
    state,
    epoch: 1,
    rebootedAt: 0,
    since: 0,
    ...overrides,
  };
}

export function refusal(ran: RanState, reason: RefusalReason = "overload"): CallerReply {
  return { kind: "refusal", refusal: { reason, detail: "", ran } };
}

export function answer(text: string, requestId: string): CallerReply {
  return {
    kind: "answer",
    requestId,
    payload: { contentType: "text/plain", body: Buffer.from(text) },
  };
}
