import type { Payload, Priority, TaskRef, TaskResult } from "../ports/backend-server.ts";
import type { RanState } from "./refusal.ts";

/** Version of the peer protocol. Connections between different versions are refused. */
export const PEER_PROTOCOL_VERSION = 2;

/** First message in both directions on a connection. */
export interface Hello {
  readonly version: number;
  readonly incarnation: string;
  /** Address of the sender for peer connections, `IP:PORT`. */
  readonly address: string;
  readonly zone: string;
  readonly group: string;
}

/** Free capacity and queue length of one pool as known to the sender. */
export interface PoolLoad {
  readonly pool: string;
  readonly freeSlots: number;
  readonly totalSlots: number;
  readonly queued: number;
  /** Expected wait of a normal request in milliseconds. */
  readonly waitMs: number;
}

/** Budget usage of one team at the sender. */
export interface TeamLoad {
  readonly team: string;
  readonly running: number;
  readonly budget: number;
  readonly queued: number;
}

/** Load and document revisions of an entry instance, exchanged regularly with every peer. */
export interface GossipMessage {
  readonly type: "gossip";
  /** Sequence number of this snapshot. */
  readonly sequence: number;
  /** Snapshot on which a reply with changes is based; 0 if the reply is complete. */
  readonly baseline: number;
  readonly configRevision: number;
  /** Age in milliseconds of the last confirmation that `configRevision` is current. */
  readonly configAgeMs: number;
  readonly platformReachable: boolean;
  /** Revision of the fleet document that the sender has read. */
  readonly fleetRevision: number;
  /** Revision of the slot ownership document that the sender has read. */
  readonly homesRevision: number;
  readonly pools: readonly PoolLoad[];
  readonly teams: readonly TeamLoad[];
  /** Backend servers whose leases the sender holds; empty for peers in other pool groups. */
  readonly held: readonly string[];
  /** Backend servers known to be leaving. */
  readonly leaving: readonly string[];
  /** The sender is shutting down and accepts no new work. */
  readonly stopping: boolean;
}

/**
 * Requests a peer's gossip. The request itself carries only urgent changes, which make the receiver
 * request the sender's gossip in turn. A reply is produced after its request was sent, so the
 * requester can bound the age of the reply by its own clock, whatever the network delay.
 */
export interface GossipRequest extends Partial<Pick<GossipMessage, "leaving" | "stopping">> {
  readonly type: "gossip";
  /** Sequence number of the last snapshot received; 0 for none. */
  readonly sequence: number;
  readonly configRevision: number;
}

/** A complete snapshot, or the changes since the snapshot `baseline`. */
export type GossipReply = Pick<GossipMessage, "type" | "sequence" | "baseline" | "configAgeMs"> &
  Partial<GossipMessage>;

/** Requests the receiver's configuration document. */
export interface ConfigRequest {
  readonly type: "config";
}

/**
 * Sends a newer configuration to a peer that cannot reach the platform. Such a peer may not know
 * the sender as a member, and then could not request the configuration itself.
 */
export interface ConfigOffer {
  readonly type: "config-offer";
  /** The stored document as JSON text. */
  readonly document: string;
}

/** A request with everything that its owner needs to run it. */
export interface RequestSpec {
  readonly requestId: string;
  readonly team: string | undefined;
  readonly queue: string;
  readonly priority: Priority;
  readonly idempotent: boolean;
  /** Time in milliseconds until the caller's deadline, measured when the message is sent. */
  readonly timeoutMs: number;
  readonly payload: Payload;
}

/** Forwards a request to its owner and waits up to `waitMs` for the outcome. */
export interface SubmitRequest {
  readonly type: "submit";
  readonly spec: RequestSpec;
  readonly waitMs: number;
}

/** Queries the owner for the state of a request and waits up to `waitMs` for the outcome. */
export interface QueryRequest {
  readonly type: "query";
  readonly requestId: string;
  readonly team: string | undefined;
  readonly waitMs: number;
}

/** Cancels a request at its owner. */
export interface CancelRequest {
  readonly type: "cancel";
  readonly requestId: string;
  readonly team: string | undefined;
}

/**
 * Offers one attempt to a peer with free capacity. The peer starts it before the offer expires, or
 * declines.
 */
export interface RunRequest {
  readonly type: "run";
  readonly spec: RequestSpec;
  readonly attempt: number;
  /** Incarnation that owns the request. */
  readonly home: string;
  /** Time in milliseconds after which the peer must decline if it has not started the attempt. */
  readonly offerMs: number;
}

/** Withdraws an offer, or stops the attempt if it has started. */
export interface RunCancelRequest extends TaskRef {
  readonly type: "run-cancel";
}

/** Reports the result of an attempt to the owner of its request. */
export interface ResultRequest extends TaskRef {
  readonly type: "result";
  readonly server: string;
  readonly result: TaskResult;
}

/** Asks the lease holder of a backend server for the status of an attempt. */
export interface TaskStatusRequest extends TaskRef {
  readonly type: "task-status";
  readonly server: string;
}

/** Asks a peer to release unused budget of a team. */
export interface BudgetRequest {
  readonly type: "budget-request";
  readonly team: string;
  readonly wanted: number;
}

/** Notifies an incarnation that tasks charged to its budget have ended. */
export interface ChargeReleaseRequest {
  readonly type: "charge-release";
  readonly tasks: readonly TaskRef[];
}

/** Asks a peer to report its leases, as evidence that the given incarnation holds none. */
export interface LeaseReportRequest {
  readonly type: "lease-report";
  readonly incarnation: string;
  readonly fleetRevision: number;
  readonly homesRevision: number;
}

/** A request and its state or outcome, transferred together with its hash slot. */
export interface TransferredRequest {
  readonly spec: RequestSpec;
  /** Hexadecimal digest of the request body. */
  readonly digest: string;
  readonly state: RequestState;
  /** Wall-clock time of acceptance in milliseconds since the Unix epoch. */
  readonly acceptedAt: number;
  /** Number of the last dispatched attempt; 0 if there is none. */
  readonly attempt: number;
}

/** Transfers the requests of hash slots to the next owner of the slots. */
export interface SlotTransferRequest {
  readonly type: "slot-transfer";
  readonly slots: readonly number[];
  readonly records: readonly TransferredRequest[];
}

/** Asks the lease holder of an empty backend server to reboot it; accepted once that is ordered. */
export interface RebootRequest {
  readonly type: "reboot";
  readonly server: string;
}

/** Asks a peer to relay a call to the platform's store, which the sender cannot reach. */
export interface StoreCallRequest {
  readonly type: "store-call";
  /** The encoded call, see `store-calls.ts`. */
  readonly call: Uint8Array;
}

/** A record that was written to the store. */
export interface WrittenRecord {
  readonly key: string;
  readonly value: Uint8Array;
  readonly revision: number;
}

/** Notifies the scheduler of stored records before its watch on the store delivers them. */
export interface RecordNotification {
  readonly type: "record-notice";
  readonly records: readonly WrittenRecord[];
}

/** Orders of the scheduler that the receiver sends to backend servers as their executor. */
export interface OrderBatchRequest {
  readonly type: "order-batch";
  /** The encoded orders, see `order-batch.ts`. */
  readonly batch: Uint8Array;
}

/** Reports the load of queues near their limit to an entry instance. */
export interface QueueLoadRequest {
  readonly type: "queue-load";
  /** The encoded report, see `queue-loads.ts`. */
  readonly report: Uint8Array;
}

/** Asks the scheduler where it would place a job that is not submitted. */
export interface WhereRequest {
  readonly type: "where";
  /** The encoded job, see `job-records.ts`. */
  readonly job: Uint8Array;
}

/** Any request between peers. */
export type PeerRequest =
  | GossipRequest
  | ConfigRequest
  | ConfigOffer
  | SubmitRequest
  | QueryRequest
  | CancelRequest
  | RunRequest
  | RunCancelRequest
  | ResultRequest
  | TaskStatusRequest
  | BudgetRequest
  | ChargeReleaseRequest
  | LeaseReportRequest
  | SlotTransferRequest
  | RebootRequest
  | StoreCallRequest
  | RecordNotification
  | OrderBatchRequest
  | QueueLoadRequest
  | WhereRequest;

/** State of a request as known to its owner. */
export type RequestState =
  | { readonly kind: "pending"; readonly started: boolean }
  | { readonly kind: "answered"; readonly payload: Payload }
  | {
      readonly kind: "refused";
      readonly reason: string;
      readonly detail: string;
      readonly ran: RanState;
      /** Time in milliseconds after which a retry can succeed. */
      readonly retryAfterMs?: number;
    };

/** Reply to `submit`, `query` and `cancel`. */
export interface StateReply {
  readonly type: "state";
  /** Undefined if the owner has no record of the id. */
  readonly state: RequestState | undefined;
}

/** Reply to `config`: the stored document as JSON text. */
export interface ConfigReply {
  readonly type: "config-reply";
  readonly revision: number;
  readonly document: string | undefined;
}

/** Reply to `run`. `declined` guarantees that the attempt was not started. */
export type RunReply =
  | { readonly type: "run-reply"; readonly kind: "started"; readonly server: string }
  | { readonly type: "run-reply"; readonly kind: "uncertain"; readonly server: string }
  | { readonly type: "run-reply"; readonly kind: "declined"; readonly reason: string };

/** Reply to `task-status`. `never-started` is guaranteed; `lost` means that the server rebooted. */
export interface TaskStatusReply {
  readonly type: "task-status-reply";
  readonly status: "running" | "finished" | "never-started" | "lost" | "not-holder";
}

/** A lease as evidence for a fencing proof. */
export interface LeaseEvidence {
  readonly server: string;
  /** Remaining validity of the lease in milliseconds, measured when the reply is sent. */
  readonly validMs: number;
}

/** Running tasks of a team that are charged to the incarnation named in the request. */
export interface AdoptedCharge {
  readonly team: string;
  readonly tasks: number;
}

/** Reply to `lease-report`. */
export interface LeaseReport {
  readonly type: "lease-report-reply";
  /** The replier has read the retirement mark in the fleet and slot ownership documents. */
  readonly seenMark: boolean;
  readonly leases: readonly LeaseEvidence[];
  readonly adopted: readonly AdoptedCharge[];
}

/** Reply without content. `accepted: false` asks the sender to retry later. */
export interface AckReply {
  readonly type: "ack";
  readonly accepted: boolean;
}

/** Reply to `store-call`: the encoded result. */
export interface StoreCallReply {
  readonly type: "store-call-reply";
  readonly result: Uint8Array;
}

/** Reply to `order-batch`: results of this and earlier batches, as they are complete. */
export interface OrderResultsReply {
  readonly type: "order-results";
  /** The encoded results, see `order-batch.ts`. */
  readonly results: Uint8Array;
}

/** Reply to `where`: the encoded explanation; empty if the receiver does not schedule. */
export interface WhereReply {
  readonly type: "where-reply";
  readonly explanation: Uint8Array;
}

/** Any reply between peers. The reply to `gossip` is the receiver's own gossip. */
export type PeerReply =
  | GossipReply
  | StateReply
  | ConfigReply
  | RunReply
  | TaskStatusReply
  | LeaseReport
  | AckReply
  | StoreCallReply
  | OrderResultsReply
  | WhereReply;

interface ReplyMap {
  readonly gossip: GossipReply;
  readonly config: ConfigReply;
  readonly "config-offer": AckReply;
  readonly submit: StateReply;
  readonly query: StateReply;
  readonly cancel: StateReply;
  readonly run: RunReply;
  readonly "run-cancel": AckReply;
  readonly result: AckReply;
  readonly "task-status": TaskStatusReply;
  readonly "budget-request": AckReply;
  readonly "charge-release": AckReply;
  readonly "lease-report": LeaseReport;
  readonly "slot-transfer": AckReply;
  readonly reboot: AckReply;
  readonly "store-call": StoreCallReply;
  readonly "record-notice": AckReply;
  readonly "order-batch": OrderResultsReply;
  readonly "queue-load": AckReply;
  readonly where: WhereReply;
}

/** The reply type that belongs to a request type. */
export type ReplyTo<T extends PeerRequest> = ReplyMap[T["type"]];
