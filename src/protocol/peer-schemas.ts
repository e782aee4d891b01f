/** Schemas for `peer-messages.ts`. Every message from a peer is validated before it is used. */
import * as v from "valibot";
import type { PeerReply, PeerRequest, ReplyTo } from "./peer-messages.ts";

const integer = v.pipe(v.number(), v.integer());
const count = v.pipe(integer, v.minValue(0));
/** Ages are infinite before the first confirmation; remaining time is negative after a deadline. */
const milliseconds = v.number();
/** Sent even when undefined, so that a message without the field is rejected. */
const team = v.undefinedable(v.string());
const strings = v.array(v.string());

const bytes = v.custom<Uint8Array>((value) => value instanceof Uint8Array, "bytes");
const payload = v.strictObject({ contentType: v.string(), body: bytes });
const taskRef = { requestId: v.string(), attempt: count };

const taskResult = v.variant("kind", [
  v.strictObject({ kind: v.literal("answer"), payload }),
  v.strictObject({ kind: v.literal("failure"), reason: v.string() }),
  v.strictObject({ kind: v.literal("stopped"), checkpointed: v.boolean() }),
]);

const requestSpec = v.strictObject({
  requestId: v.string(),
  team,
  queue: v.string(),
  priority: v.picklist(["urgent", "normal", "batch"]),
  idempotent: v.boolean(),
  timeoutMs: milliseconds,
  payload,
});

const requestState = v.variant("kind", [
  v.strictObject({ kind: v.literal("pending"), started: v.boolean() }),
  v.strictObject({ kind: v.literal("answered"), payload }),
  v.strictObject({
    kind: v.literal("refused"),
    reason: v.string(),
    detail: v.string(),
    ran: v.picklist(["no", "yes", "unknown"]),
    retryAfterMs: v.exactOptional(milliseconds),
  }),
]);

const poolLoad = v.strictObject({
  pool: v.string(),
  freeSlots: integer,
  totalSlots: integer,
  queued: integer,
  waitMs: milliseconds,
});

const teamLoad = v.strictObject({
  team: v.string(),
  running: integer,
  budget: integer,
  queued: integer,
});

const gossipRequest = v.strictObject({
  type: v.literal("gossip"),
  sequence: count,
  configRevision: count,
  leaving: v.exactOptional(strings),
  stopping: v.exactOptional(v.boolean()),
});

const gossipReply = v.strictObject({
  type: v.literal("gossip"),
  sequence: count,
  baseline: count,
  configRevision: v.exactOptional(count),
  configAgeMs: milliseconds,
  platformReachable: v.exactOptional(v.boolean()),
  fleetRevision: v.exactOptional(count),
  homesRevision: v.exactOptional(count),
  pools: v.exactOptional(v.array(poolLoad)),
  teams: v.exactOptional(v.array(teamLoad)),
  held: v.exactOptional(strings),
  leaving: v.exactOptional(strings),
  stopping: v.exactOptional(v.boolean()),
});

const slotRecord = v.strictObject({
  spec: requestSpec,
  digest: v.string(),
  state: requestState,
  acceptedAt: v.number(),
  attempt: count,
});

/** First message in both directions on a connection. */
export const HelloSchema = v.strictObject({
  version: count,
  incarnation: v.string(),
  address: v.string(),
  zone: v.string(),
  group: v.string(),
});

/** Any request between peers. */
export const PeerRequestSchema = v.variant("type", [
  gossipRequest,
  v.strictObject({ type: v.literal("config") }),
  v.strictObject({ type: v.literal("config-offer"), document: v.string() }),
  v.strictObject({ type: v.literal("submit"), spec: requestSpec, waitMs: milliseconds }),
  v.strictObject({
    type: v.literal("query"),
    requestId: v.string(),
    team,
    waitMs: milliseconds,
  }),
  v.strictObject({ type: v.literal("cancel"), requestId: v.string(), team }),
  v.strictObject({
    type: v.literal("run"),
    spec: requestSpec,
    attempt: count,
    home: v.string(),
    offerMs: milliseconds,
  }),
  v.strictObject({ type: v.literal("run-cancel"), ...taskRef }),
  v.strictObject({
    type: v.literal("result"),
    ...taskRef,
    server: v.string(),
    result: taskResult,
  }),
  v.strictObject({ type: v.literal("task-status"), ...taskRef, server: v.string() }),
  v.strictObject({ type: v.literal("budget-request"), team: v.string(), wanted: count }),
  v.strictObject({
    type: v.literal("charge-release"),
    tasks: v.array(v.strictObject(taskRef)),
  }),
  v.strictObject({
    type: v.literal("lease-report"),
    incarnation: v.string(),
    fleetRevision: count,
    homesRevision: count,
  }),
  v.strictObject({
    type: v.literal("slot-transfer"),
    slots: v.array(count),
    records: v.array(slotRecord),
  }),
  v.strictObject({ type: v.literal("reboot"), server: v.string() }),
  v.strictObject({ type: v.literal("store-call"), call: bytes }),
  v.strictObject({ type: v.literal("order-batch"), batch: bytes }),
  v.strictObject({ type: v.literal("queue-load"), report: bytes }),
  v.strictObject({ type: v.literal("where"), job: bytes }),
  v.strictObject({
    type: v.literal("record-notice"),
    records: v.array(v.strictObject({ key: v.string(), value: bytes, revision: v.number() })),
  }),
]);

const state = v.strictObject({ type: v.literal("state"), state: v.undefinedable(requestState) });
const ack = v.strictObject({ type: v.literal("ack"), accepted: v.boolean() });

const runReply = v.variant("kind", [
  v.strictObject({
    type: v.literal("run-reply"),
    kind: v.picklist(["started", "uncertain"]),
    server: v.string(),
  }),
  v.strictObject({
    type: v.literal("run-reply"),
    kind: v.literal("declined"),
    reason: v.string(),
  }),
]);

const leaseReport = v.strictObject({
  type: v.literal("lease-report-reply"),
  seenMark: v.boolean(),
  leases: v.array(v.strictObject({ server: v.string(), validMs: milliseconds })),
  adopted: v.array(v.strictObject({ team: v.string(), tasks: count })),
});

/** Schema of the reply to each request type. */
export const REPLY_SCHEMAS: {
  readonly [K in PeerRequest["type"]]: v.GenericSchema<
    unknown,
    ReplyTo<Extract<PeerRequest, { readonly type: K }>>
  >;
} = {
  gossip: gossipReply,
  config: v.strictObject({
    type: v.literal("config-reply"),
    revision: count,
    document: v.undefinedable(v.string()),
  }),
  "config-offer": ack,
  submit: state,
  query: state,
  cancel: state,
  run: runReply,
  "run-cancel": ack,
  result: ack,
  "task-status": v.strictObject({
    type: v.literal("task-status-reply"),
    status: v.picklist(["running", "finished", "never-started", "lost", "not-holder"]),
  }),
  "budget-request": ack,
  "charge-release": ack,
  "lease-report": leaseReport,
  "slot-transfer": ack,
  reboot: ack,
  "store-call": v.strictObject({ type: v.literal("store-call-reply"), result: bytes }),
  "record-notice": ack,
  "order-batch": v.strictObject({ type: v.literal("order-results"), results: bytes }),
  "queue-load": ack,
  where: v.strictObject({ type: v.literal("where-reply"), explanation: bytes }),
};

/** A frame that follows the hello. */
export type PeerEnvelope =
  | { readonly kind: "call"; readonly callId: number; readonly req: PeerRequest }
  | { readonly kind: "reply"; readonly callId: number; readonly reply: PeerReply }
  /** The call was refused without processing because too many calls were in flight. */
  | { readonly kind: "busy"; readonly callId: number }
  /** The call was processed at least in part, but there is no reply. */
  | { readonly kind: "failed"; readonly callId: number; readonly detail: string };

/** Frames sent after the hello by the side that opened the connection. */
export const CallEnvelopeSchema = v.strictObject({
  kind: v.literal("call"),
  callId: count,
  req: PeerRequestSchema,
});

/**
 * Frames sent after the hello by the side that accepted the connection. The `reply` field is
 * validated by request type, see {@link REPLY_SCHEMAS}.
 */
export const ReplyEnvelopeSchema = v.variant("kind", [
  v.strictObject({ kind: v.literal("reply"), callId: count, reply: v.unknown() }),
  v.strictObject({ kind: v.literal("busy"), callId: count }),
  v.strictObject({ kind: v.literal("failed"), callId: count, detail: v.string() }),
]);
