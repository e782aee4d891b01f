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
import type { Refusal, RefusalReason, RetryReason } from "../protocol/problem.ts";
import type { ConfigDocument } from "../protocol/config-document.ts";
import type { FleetDocument } from "../protocol/fleet-document.ts";

/** Stops a subscription. */
export type Unsubscribe = () => void;

/** Counts refusals, retries and other events by reason. */
export abstract class Counters {
  abstract refusal(reason: RefusalReason): void;
  abstract retry(reason: RetryReason): void;
  /** Counts any other event under a snake_case name. */
  abstract event(name: string): void;
  /** Records a duration in milliseconds in the named histogram. */
  abstract duration(name: string, ms: number): void;
}

/** The configuration in force at this entry. */
export abstract class ConfigView {
  /** Undefined until a first configuration was read. */
  abstract current(): ConfigDocument | undefined;
  /** Age in milliseconds of the last confirmation that the revision is current. */
  abstract ageMs(): number;
  /** True while work may be taken for keys; see section 7 of the design. */
  abstract keyedWorkAllowed(): boolean;
  /** False while the platform cannot be read, so that no budget can be raised from here. */
  abstract platformReachable(): boolean;
  /** True if every zone is in contact and no entry in contact reaches the platform. */
  abstract platformWideOutage(): boolean;
  /** Team of a key given in the clear, or undefined if no team has it. */
  abstract teamOfKey(key: string): string | undefined;
  abstract onChange(listener: (config: ConfigDocument) => void): Unsubscribe;
}

/** The fleet document as last read. */
export abstract class FleetView {
  abstract current(): FleetDocument | undefined;
  /** Monotonic time in ms at which the last call was sent that showed the newest document. */
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
  /** False while draining, leaving, not yet adopted, or when the lease is no longer valid. */
  readonly dispatchable: boolean;
}

/** A task that ended on a held server. It is listed again until it is acknowledged. */
export interface FinishedTask {
  readonly server: string;
  readonly record: TaskRecord;
}

/** Outcome of asking a held server to start a task. */
export type StartError =
  /** Certainly not started. */
  | { readonly kind: "not-started"; readonly reason: RetryReason }
  /** May or may not have started; the server's task list will tell. */
  | { readonly kind: "ambiguous" };

/** What became of an attempt on a held server. */
export type TaskStatus = "running" | "finished" | "never-started" | "lost" | "not-holder";

/** The backend servers under this entry's leases. */
export abstract class HeldServers {
  abstract list(): readonly HeldServer[];
  /** Starts a task on a named held server. The caller has charged the budget before. */
  abstract start(server: string, spec: TaskSpec): Promise<Result<void, StartError>>;
  abstract stop(server: string, ref: TaskRef, how: "stop" | "checkpoint"): Promise<void>;
  /** Lets the server forget a finished task once its home has stored the result. */
  abstract acknowledge(server: string, ref: TaskRef): Promise<void>;
  abstract status(server: string, ref: TaskRef): TaskStatus;
  /** Called for each finished task, and again after an adoption. */
  abstract onFinished(listener: (task: FinishedTask) => void): Unsubscribe;
  /** Called when free slots, pools or dispatchability may have changed. */
  abstract onChange(listener: () => void): Unsubscribe;
  /** Client of a held server, for the planner's reboot. Undefined if not held. */
  abstract client(
    server: string,
  ): { readonly backend: BackendServer; readonly leaseId: string } | undefined;
}

/** This entry's budgets. Queues open to all carry no team and are not charged. */
export abstract class Budgets {
  /** Charges one running task to this entry's budget. False if the budget does not allow it. */
  abstract tryCharge(team: string, ref: TaskRef): boolean;
  /** Ends the charge of a task that certainly does not run. */
  abstract release(team: string, ref: TaskRef): void;
  /** Number of tasks the team may still start here. */
  abstract room(team: string): number;
  /** Number of running tasks charged here. */
  abstract running(team: string): number;
  /** States how many queued tasks of the team wait for budget, so that the keeper raises it. */
  abstract setDemand(team: string, queued: number): void;
  abstract onChange(listener: () => void): Unsubscribe;
}

/** Where the home of a request id is. */
export type OwnerLookup =
  | { readonly kind: "self" }
  | { readonly kind: "peer"; readonly incarnation: string }
  /** The home's slot is being moved, or no homes document was read yet. */
  | { readonly kind: "moving" }
  /** The incarnation named in an issued id is gone. */
  | { readonly kind: "gone" };

/** Whether a home without a record of an id knows that it never ran. */
export type UnrecordedIdStatus = "fresh" | "too-old" | "from-future" | "not-home";

/** Homes of request ids. */
export abstract class RequestOwnership {
  /** Issues a request id whose home is this entry. */
  abstract issue(): string;
  /** Id of a caller's key, scoped by team and queue; issued ids are returned unchanged. */
  abstract requestId(team: string | undefined, queue: string, callerKey: string): string;
  abstract lookup(requestId: string): OwnerLookup;
  /** Only meaningful for ids whose home is this entry. */
  abstract classify(requestId: string): UnrecordedIdStatus;
  /** True if the incarnation is marked retired, so its `run` requests are declined. */
  abstract retired(incarnation: string): boolean;
}

/** The other entry instances. */
export abstract class Peers {
  abstract readonly self: Hello;
  abstract call<T extends PeerRequest>(
    incarnation: string,
    req: T,
    timeoutMs: number,
  ): Promise<Result<ReplyTo<T>, PeerError>>;
  /** Last gossip of each peer in contact within the last 3 seconds. */
  abstract gossip(): ReadonlyMap<string, PeerState>;
  /** Announces a leaving backend server. */
  abstract announceLeaving(server: string): void;

  /** Work was queued: exchanges gossip at the interval for work from now on. */
  speedUpGossip(): void {
    // Peers without a longer interval have nothing to shorten.
  }

  /** Backend servers that peers in contact state to be leaving. */
  leavingServers(): ReadonlySet<string> {
    const leaving = new Set<string>();
    for (const { message } of this.gossip().values()) {
      for (const server of message.leaving) leaving.add(server);
    }
    return leaving;
  }
}

/** A peer in contact. */
export interface PeerState {
  readonly hello: Hello;
  readonly message: GossipMessage;
  /** Monotonic time of receipt in milliseconds. */
  readonly receivedAt: number;
}

/** Gives one part's contribution to this entry's gossip. */
export type GossipSource = () => Partial<GossipMessage>;

/** A caller's request after its HTTP form was checked. */
export interface CallerRequest {
  readonly queue: string;
  /** The key in the clear; never logged. */
  readonly key: string | undefined;
  readonly idempotencyKey: string | undefined;
  readonly priority: Priority;
  /** Undefined takes the queue's setting; false lowers an idempotent queue's for this request. */
  readonly idempotent: false | undefined;
  readonly timeoutMs: number;
  readonly payload: Payload;
}

/** Answer to a caller. */
export type CallerReply =
  | { readonly kind: "answer"; readonly requestId: string; readonly payload: Payload }
  | { readonly kind: "pending"; readonly requestId: string }
  | { readonly kind: "refusal"; readonly refusal: Refusal };

/** What the caller-facing server needs from an entry instance. */
export abstract class RequestService {
  /** Takes a request and waits for its outcome or the deadline; `async` returns once accepted. */
  abstract submit(req: CallerRequest, mode: "sync" | "async"): Promise<CallerReply>;
  abstract query(requestId: string, key: string | undefined, waitMs: number): Promise<CallerReply>;
  abstract cancel(requestId: string, key: string | undefined): Promise<CallerReply>;
  abstract issueId(): string;
}

/** State of a request for internal listeners. */
export interface RequestOutcome {
  readonly requestId: string;
  readonly state: RequestState;
}
