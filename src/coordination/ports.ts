/** Interfaces between the parts of an entry instance. */
import type { Result } from "ts-results";
import type {
  BackendServer,
  Payload,
  Priority,
  TaskRecord,
  TaskRef,
  TaskSpec,
} from "../ports/backend-server.ts";
import type { PeerError } from "../ports/peer-transport.ts";
import type {
  GossipMessage,
  Hello,
  PeerRequest,
  ReplyTo,
  RequestState,
} from "../protocol/peer-messages.ts";
import type { Refusal, RefusalReason, RetryReason } from "../protocol/refusal.ts";
import type { ConfigDocument } from "../protocol/config-document.ts";
import type { FleetDocument } from "../protocol/fleet-document.ts";

/** Cancels a subscription. */
export type Unsubscribe = () => void;

/** Counts refusals, retries and other events by reason. */
export abstract class Counters {
  abstract refusal(reason: RefusalReason): void;
  abstract retry(reason: RetryReason): void;
  /** Counts any other event under a snake_case name, `count` times. @default 1 */
  abstract event(name: string, count?: number): void;
  /** Records a duration in milliseconds in the named histogram. */
  abstract duration(name: string, ms: number): void;
}

/** The configuration in force at this entry. */
export abstract class ConfigView {
  /** Returns undefined until the first configuration was read. */
  abstract current(): ConfigDocument | undefined;
  /** Age in milliseconds of the last confirmation that the revision is current. */
  abstract ageMs(): number;
  /**
   * True while requests with API keys may be accepted: the configuration was confirmed recently, or
   * there is a platform-wide outage. See section 7 of docs/design.md.
   */
  abstract keyedWorkAllowed(): boolean;
  /** False while this entry cannot read the platform, so that it cannot raise any budget. */
  abstract platformReachable(): boolean;
  /** True if entries of every availability zone are reachable and none can read the platform. */
  abstract platformWideOutage(): boolean;
  /** Team of an API key in clear text; undefined if no team has the key. */
  abstract teamOfKey(key: string): string | undefined;
  abstract onChange(listener: (config: ConfigDocument) => void): Unsubscribe;
}

/** The fleet document as last read. */
export abstract class FleetView {
  abstract current(): FleetDocument | undefined;
  /** Monotonic send time in milliseconds of the last call that confirmed the document as newest. */
  abstract confirmedAt(): number;
  /** Reads the document now. */
  abstract refresh(): Promise<void>;
  abstract onChange(listener: (fleet: FleetDocument) => void): Unsubscribe;
}

/** A backend server whose lease this entry holds. */
export interface HeldServer {
  readonly name: string;
  readonly zone: string;
  readonly rack: string;
  readonly pool: string;
  readonly slots: number;
  readonly running: number;
  /** False while the server drains, leaves or is not adopted yet, or if its lease is not valid. */
  readonly dispatchable: boolean;
}

/** A task that ended on a held server. The server lists the task until it is acknowledged. */
export interface FinishedTask {
  readonly server: string;
  readonly record: TaskRecord;
}

/** Why a held server did not confirm the start of a task. */
export type StartError =
  /** The task was certainly not started. */
  | { readonly kind: "not-started"; readonly reason: RetryReason }
  /** The outcome is unknown until the server's task list shows it. */
  | { readonly kind: "ambiguous" };

/** Status of an attempt on a held server. */
export type TaskStatus = "running" | "finished" | "never-started" | "lost" | "not-holder";

/** The backend servers under this entry's leases. */
export abstract class HeldServers {
  abstract list(): readonly HeldServer[];
  /** Starts a task on a held server. The caller must have charged the budget before. */
  abstract start(server: string, spec: TaskSpec): Promise<Result<void, StartError>>;
  abstract stop(server: string, ref: TaskRef, how: "stop" | "checkpoint"): Promise<void>;
  /** Lets the server discard a finished task after the request owner has stored the result. */
  abstract acknowledge(server: string, ref: TaskRef): Promise<void>;
  abstract status(server: string, ref: TaskRef): TaskStatus;
  /** The listener is called for each finished task, and again after an adoption of the server. */
  abstract onFinished(listener: (task: FinishedTask) => void): Unsubscribe;
  /** The listener is called when free slots, pools or dispatchability may have changed. */
  abstract onChange(listener: () => void): Unsubscribe;
  /** Client of a held server, for reboots by the planner; undefined if the server is not held. */
  abstract client(
    server: string,
  ): { readonly backend: BackendServer; readonly leaseId: string } | undefined;
}

/** This entry's budgets. Requests of queues open to all have no team and are not charged. */
export abstract class Budgets {
  /** Charges one running task to this entry's budget. Returns false if the budget is exhausted. */
  abstract tryCharge(team: string, ref: TaskRef): boolean;
  /** Releases the charge of a task that is certainly not running. */
  abstract release(team: string, ref: TaskRef): void;
  /** Free budget: the number of tasks that the team may still start at this entry. */
  abstract availableBudget(team: string): number;
  /** Number of the team's running tasks that are charged to this entry. */
  abstract running(team: string): number;
  /** Sets the number of the team's queued tasks that wait for budget, so that it can be raised. */
  abstract setDemand(team: string, queued: number): void;
  abstract onChange(listener: () => void): Unsubscribe;
}

/** Location of the owner of a request id. */
export type OwnerLookup =
  | { readonly kind: "self" }
  | { readonly kind: "peer"; readonly incarnation: string }
  /** The hash slot is being moved, or no homes document was read yet. */
  | { readonly kind: "moving" }
  /** The incarnation named in an issued id no longer exists. */
  | { readonly kind: "gone" };

/** How an owner classifies an id without a record. Only `fresh` shows that no request ran. */
export type UnrecordedIdStatus = "fresh" | "too-old" | "from-future" | "not-home";

/** Maps request ids to the entry instances that own them. */
export abstract class RequestOwnership {
  /** Issues a request id that this entry owns. */
  abstract issue(): string;
  /** Request id of a caller's key, scoped by team and queue. Issued ids are returned unchanged. */
  abstract requestId(team: string | undefined, queue: string, callerKey: string): string;
  abstract lookup(requestId: string): OwnerLookup;
  /** Classifies an id without a record. Only valid for ids that this entry owns. */
  abstract classify(requestId: string): UnrecordedIdStatus;
  /** True if the incarnation is marked as retired, so that its `run` requests are declined. */
  abstract isRetired(incarnation: string): boolean;
}

/** The other entry instances. */
export abstract class Peers {
  abstract readonly self: Hello;
  abstract call<T extends PeerRequest>(
    incarnation: string,
    req: T,
    timeoutMs: number,
  ): Promise<Result<ReplyTo<T>, PeerError>>;
  /** Last gossip of each reachable peer: one with an exchange within the last 3 seconds. */
  abstract gossip(): ReadonlyMap<string, PeerState>;
  /** Announces to the peers that a backend server is leaving. */
  abstract announceLeaving(server: string): void;

  /** Shortens the gossip interval, because work was queued. */
  speedUpGossip(): void {
    // By default the interval is fixed, so that there is nothing to shorten.
  }

  /** Backend servers that reachable peers report as leaving. */
  leavingServers(): ReadonlySet<string> {
    const leaving = new Set<string>();
    for (const { message } of this.gossip().values()) {
      for (const server of message.leaving) leaving.add(server);
    }
    return leaving;
  }
}

/** A reachable peer with its last gossip. */
export interface PeerState {
  readonly hello: Hello;
  readonly message: GossipMessage;
  /** Monotonic time in milliseconds at which the request for the gossip was sent. */
  readonly requestedAt: number;
}

/** Supplies some fields of this entry's gossip. */
export type GossipSource = () => Partial<GossipMessage>;

/** A caller's request after validation of its HTTP form. */
export interface CallerRequest {
  readonly queue: string;
  /** The API key in clear text; must never be logged. */
  readonly key: string | undefined;
  readonly idempotencyKey: string | undefined;
  readonly priority: Priority;
  /** False makes the request non-idempotent in any queue; undefined uses the queue's setting. */
  readonly idempotent: false | undefined;
  readonly timeoutMs: number;
  readonly payload: Payload;
}

/** Reply to a caller. */
export type CallerReply =
  | { readonly kind: "answer"; readonly requestId: string; readonly payload: Payload }
  | { readonly kind: "pending"; readonly requestId: string }
  | { readonly kind: "refusal"; readonly refusal: Refusal };

/** Request operations that an entry instance offers to the caller-facing server. */
export abstract class RequestService {
  /**
   * Accepts a request. Mode `sync` waits for the outcome or the deadline; `async` resolves once the
   * request is accepted.
   */
  abstract submit(req: CallerRequest, mode: "sync" | "async"): Promise<CallerReply>;
  abstract query(requestId: string, key: string | undefined, waitMs: number): Promise<CallerReply>;
  abstract cancel(requestId: string, key: string | undefined): Promise<CallerReply>;
  abstract issueId(): string;
}

/** State of a request, for listeners within the entry. */
export interface RequestOutcome {
  readonly requestId: string;
  readonly state: RequestState;
}
