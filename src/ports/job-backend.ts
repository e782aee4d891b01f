import type { Result } from "ts-results";

/** How a run of a task ended. */
export type RunEnd =
  | "done"
  /** The task or the backend server failed. */
  | "failed"
  /** A stop order ended the run. */
  | "stopped"
  /** The lease of the backend server lapsed. */
  | "lapsed"
  /** Another member of the gang ended. */
  | "broken"
  /** The other members of the gang were not running in time. */
  | "alone";

/** A run that a backend server lists as running. */
export interface ListedRun {
  /** Name of the task. */
  readonly task: string;
  readonly run: number;
  /** Newest checkpoint; empty if there is none. */
  readonly checkpoint: string;
  /** Progress in percent. A task that serves requests is available at 100. */
  readonly percent: number;
  /** Tail latency in ms of a serving task; CPU use in thousandths of a core of any other task. */
  readonly load: number;
}

/** A run that has ended. It stays listed until its end is acknowledged. */
export interface EndedRun {
  /** Position among the ended runs of this boot, starting at 1. */
  readonly sequence: number;
  readonly task: string;
  readonly run: number;
  readonly end: RunEnd;
  readonly checkpoint: string;
}

/** A reading of the backend server's clock. */
export interface BackendClock {
  /** Time in ms on a steady clock. Readings of different boots can't be compared. */
  readonly clockMs: number;
}

/** Running and ended runs of a backend server. */
export interface RunLists extends BackendClock {
  /** Unix time in ms of the backend server's boot; a new value means that all runs are lost. */
  readonly bootedAt: number | undefined;
  readonly running: readonly ListedRun[];
  readonly ended: readonly EndedRun[];
}

/** Fields common to all orders. */
export interface Order {
  /** Fencing token; refused if lower than the highest token seen. */
  readonly token: number;
}

/** Order to start a run. */
export interface StartOrder extends Order {
  readonly task: string;
  readonly run: number;
  /** The spec as submitted by its caller. */
  readonly spec: string;
  /** Expiry of the backend server's lease on its own clock in ms; a later start is refused. */
  readonly deadlineMs: number;
  readonly checkpoint?: string;
  /** Ticket from the placement advisor that permits the start. */
  readonly ticket?: string;
}

/** Order to stop a run. A run that has not started yet can't start later. */
export interface StopOrder extends Order {
  readonly task: string;
  readonly run: number;
}

/** Order to renew the lease, acknowledge ended runs and read both lists. */
export interface PollOrder extends Order {
  /** New expiry of the lease on the server's own clock in ms; undefined leaves it unchanged. */
  readonly deadlineMs: number | undefined;
  /** Ended runs up to this position are acknowledged and no longer listed. */
  readonly acknowledged: number;
  /** Maximum time to wait for a run to end, in whole milliseconds. */
  readonly waitMs: number;
}

/** Order to limit a run to a percentage of its full speed. */
export interface PaceOrder extends Order {
  readonly task: string;
  readonly run: number;
  /** 0 to 100. */
  readonly percent: number;
}

/** Why an order failed. */
export type OrderError =
  /** A higher fencing token was seen; nothing was done. */
  | { readonly kind: "fenced" }
  /** This run or a higher run of the task was stopped or ended here before; nothing was done. */
  | { readonly kind: "old-run" }
  /** The deadline had passed; nothing was done. */
  | { readonly kind: "late" }
  /** The backend server has no free capacity; nothing was done. */
  | { readonly kind: "no-room" }
  /** The advisor's ticket is missing or no longer valid; nothing was done. */
  | { readonly kind: "ticket" }
  /** Another incarnation replies at this address; the intended one no longer exists. */
  | { readonly kind: "gone" }
  /** The backend server refused the order; nothing was done. */
  | { readonly kind: "not-done"; readonly detail: string }
  /** The order was not sent; nothing was done. */
  | { readonly kind: "not-sent"; readonly detail: string }
  /** No complete reply arrived; the order may have been carried out, or may still be. */
  | { readonly kind: "unknown"; readonly detail: string };

/** Result of an order. */
export type OrderResult<T> = Promise<Result<T, OrderError>>;

/** Client of one incarnation of a backend server that runs tasks of jobs. */
export abstract class JobBackend {
  abstract start(order: StartOrder): OrderResult<BackendClock>;
  abstract stop(order: StopOrder): OrderResult<BackendClock>;
  abstract poll(order: PollOrder): OrderResult<RunLists>;
  abstract pace(order: PaceOrder): OrderResult<BackendClock>;
  /** Called when no further orders follow. */
  close(): void {
    return;
  }
}

/** Options of {@link JobBackendConnector.connect}. */
export interface ConnectOptions {
  /** Availability zone of the backend server; without it, orders are always sent directly. */
  readonly zone?: string;
}

/** Creates clients of backend servers. */
export abstract class JobBackendConnector {
  /** `id` identifies the intended incarnation. */
  abstract connect(address: string, id: string, options?: ConnectOptions): JobBackend;
}
