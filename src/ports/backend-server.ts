import type { Result } from "ts-results";

/** Priority class of a request. */
export type Priority = "urgent" | "normal" | "batch";

/** Body and content type of a request or a response. */
export interface Payload {
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** Identifies one attempt at a request; replies are matched on both fields. */
export interface TaskRef {
  readonly requestId: string;
  /** 1 for the first attempt. */
  readonly attempt: number;
}

/** What a backend server records about a task it was asked to start. */
export interface TaskSpec extends TaskRef {
  /** Incarnation of the entry instance that owns the request. */
  readonly home: string;
  /** Incarnation whose budget the task is charged to. */
  readonly chargedTo: string;
  /** Undefined for queues that are open to all teams. */
  readonly team: string | undefined;
  readonly queue: string;
  readonly priority: Priority;
  readonly idempotent: boolean;
  readonly payload: Payload;
}

/** How a task ended. */
export type TaskResult =
  | { readonly kind: "answer"; readonly payload: Payload }
  | { readonly kind: "failure"; readonly reason: string }
  | { readonly kind: "stopped"; readonly checkpointed: boolean };

/** A task as listed by its backend server, without the payload of the request. */
export interface TaskRecord extends Omit<TaskSpec, "payload"> {
  readonly state: "running" | "finished";
  /** Present when finished. */
  readonly result?: TaskResult;
}

/** A granted lease. */
export interface LeaseGrant {
  readonly leaseId: string;
  /** Identifies one boot of the backend server; a new value means that its tasks were lost. */
  readonly bootId: string;
}

/** A renewed lease. */
export interface LeaseRenewal {
  /** Position of the newest event, as in {@link BackendEvents.next}; some servers omit it. */
  readonly next?: number;
}

/** Events since the previous poll. */
export interface BackendEvents {
  /** Value to pass as `after` in the next poll. */
  readonly next: number;
  /** Tasks that finished and are not acknowledged. */
  readonly finished: readonly TaskRecord[];
  /** The backend server is about to leave and accepts no new tasks. */
  readonly leaving: boolean;
}

/** Why a call to a backend server failed. */
export type BackendError =
  /** Another holder has a valid lease, or is the named successor; nothing was done. */
  | { readonly kind: "held"; readonly holder: string }
  /** The named lease has lapsed; nothing was done. */
  | { readonly kind: "lease-lapsed" }
  /** This id and attempt were started before; nothing was started now. */
  | { readonly kind: "duplicate" }
  /** No free slot; nothing was started. */
  | { readonly kind: "full" }
  /** The backend server is leaving; nothing was started. */
  | { readonly kind: "leaving" }
  /** The call never reached the backend server. */
  | { readonly kind: "unreachable"; readonly detail: string }
  /** No complete reply arrived; the call may or may not have taken effect. */
  | { readonly kind: "ambiguous"; readonly detail: string }
  /** The backend server refused the call as malformed; nothing was done. */
  | { readonly kind: "rejected"; readonly detail: string };

/** Result of a call to a backend server. */
export type BackendResult<T> = Promise<Result<T, BackendError>>;

/** Client side of one backend server. */
export abstract class BackendServer {
  abstract acquireLease(holder: string, ttlMs: number): BackendResult<LeaseGrant>;
  /** Succeeds only if the lease has not lapsed, so a renewed lease was held without a gap. */
  abstract renewLease(leaseId: string, ttlMs: number): BackendResult<LeaseRenewal>;
  /**
   * Ends the lease. If a successor is named, only that successor may acquire the server for the
   * next 2 seconds.
   */
  abstract releaseLease(leaseId: string, successor?: string): BackendResult<void>;
  abstract startTask(leaseId: string, spec: TaskSpec): BackendResult<void>;
  abstract listTasks(leaseId: string): BackendResult<readonly TaskRecord[]>;
  /** Waits up to `waitMs` for events after the given position. */
  abstract pollEvents(leaseId: string, after: number, waitMs: number): BackendResult<BackendEvents>;
  /** Asks the server to end a task early; the task then finishes with result `stopped`. */
  abstract stopTask(leaseId: string, ref: TaskRef): BackendResult<void>;
  /** Asks the server to save a task's progress and stop it. */
  abstract checkpointTask(leaseId: string, ref: TaskRef): BackendResult<void>;
  /** Allows the server to remove a finished task. */
  abstract acknowledgeTask(leaseId: string, ref: TaskRef): BackendResult<void>;
  /** Reboots the instance; refused with `full` while tasks run. */
  abstract reboot(leaseId: string): BackendResult<void>;
}

/** Creates clients of backend servers from addresses of the form `http://IP:PORT`. */
export abstract class BackendConnector {
  abstract connect(address: string): BackendServer;
}
