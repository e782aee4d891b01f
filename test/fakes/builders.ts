/** Builders of documents, messages and tasks. Tests replace single fields. */
import type { TaskSpec } from "../../src/ports/backend-server.ts";
import type { ConfigDocument } from "../../src/protocol/config-document.ts";
import type { ServerRecord } from "../../src/protocol/fleet-document.ts";
import {
  PEER_PROTOCOL_VERSION,
  type GossipMessage,
  type Hello,
  type TransferredRequest,
} from "../../src/protocol/peer-messages.ts";

/** Weights that leave every limit as configured. */
export const EQUAL_WEIGHTS = { bufferCost: 1, rolloutTime: 1, moves: 1, closenessToShare: 1 };

/** A configuration without pools, queues, teams and maintenance, at revision 1. */
export function configDocument(change: Partial<ConfigDocument> = {}): ConfigDocument {
  return {
    ...{ revision: 1, writeId: "w", acceptedAt: 0, pools: [], queues: [], teams: [] },
    maintenance: { startMinute: 0, endMinute: 1440, everyDays: 0, maxParallel: 2 },
    weights: EQUAL_WEIGHTS,
    ...change,
  };
}

/** A serving server with 4 slots in zone `z1`. */
export function serverRecord(name: string, change: Partial<ServerRecord> = {}): ServerRecord {
  return {
    ...{ name, address: name, zone: "z1", rack: "r1", pool: "jobs", state: "serving" },
    ...{ cores: 16, memoryGb: 64, accelerators: 0, slots: 4 },
    ...{ epoch: 1, rebootedAt: 0, since: 0 },
    ...change,
  };
}

/** A task with a JSON body. */
export function taskSpec(change: Partial<TaskSpec> = {}, body: unknown = {}): TaskSpec {
  return {
    ...{ requestId: "r1", attempt: 1, home: "e1", chargedTo: "e1" },
    ...{ team: "north", queue: "checks", priority: "normal", idempotent: false },
    payload: { contentType: "application/json", body: Buffer.from(JSON.stringify(body)) },
    ...change,
  };
}

/** The hello message of an entry instance. */
export function helloOf(incarnation: string, change: Partial<Hello> = {}): Hello {
  const place = { address: "127.0.0.1:0", zone: "z1", group: "g" };
  return { version: PEER_PROTOCOL_VERSION, incarnation, ...place, ...change };
}

/** Gossip of an idle entry that can reach the platform. */
export function gossipMessage(change: Partial<GossipMessage> = {}): GossipMessage {
  return {
    ...{ type: "gossip", sequence: 1, baseline: 0 },
    ...{ configRevision: 1, configAgeMs: 0, platformReachable: true, stopping: false },
    ...{ fleetRevision: 1, homesRevision: 1, pools: [], teams: [], held: [], leaving: [] },
    ...change,
  };
}

/** The record of an answered request, as transferred with its hash slot. */
export function slotRecord(spec: Partial<TransferredRequest["spec"]>): TransferredRequest {
  const payload = { contentType: "text/plain", body: new Uint8Array(10) };
  const { requestId, team, queue, priority, idempotent } = taskSpec({ team: undefined });
  const base = { requestId, team, queue, priority, idempotent, timeoutMs: 1, payload };
  const state = { kind: "answered", payload } as const;
  return { spec: { ...base, ...spec }, digest: "", state, acceptedAt: 0, attempt: 1 };
}
