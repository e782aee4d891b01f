import type { Result } from "ts-results";

/** How a run of a task ended. */
export type RunEnd =
  | "done"
  /** Through a fault of the task or of the backend server. */
  | "failed"
  /** By a stop order. */
  | "stopped"
  /** The lease of the backend server lapsed. */
  | "lapsed"
  /** Another member of the gang ended. */
  | "broken"
  /** The other members of the gang were not there in time. */
  | "alone";

/** A run that a backend server lists as running. */
export interface ListedRun {
  /** Name of the task. */
  readonly task: string;
  readonly run: number;
  /** Newest checkpoint; empty if there is none. */
  readonly checkpoint: string;
  /** Progress in percent. A task that serves requests is at work at 100. */
  readonly percent: number;
  /** Tail latency in ms of a serving task; thousandths of a core in use for any other. */
  readonly load: number;
}

/** A run that has ended. It is listed until it is acknowledged. */
export interface EndedRun {
  /** Position in the list of ends of this boot, from 1. */
  readonly sequence: number;
  readonly task: string;
  readonly run: number;
  readonly end: RunEnd;
  readonly checkpoint: string;
}

/** Time on the clock of the backend server, in milliseconds since its boot. */
export interface BackendClock {
  readonly clockMs: number;
}

/** What runs on a backend server, and what has ended there. */
export interface RunLists extends BackendClock {
  /** Unix time in ms at which the backend server booted; a new value means that all runs are gone. */
  readonly bootedAt: number | undefined;
  readonly running: readonly ListedRun[];
  readonly ended: readonly EndedRun[];
}

/** Fields of every order. */
export interface Order {
  /** Fencing token; lower ones than the highest seen are refused. */
  readonly token: number;
}

/** Order to start a run. */
export interface StartOrder extends Order {
  readonly task: string;
  readonly run: number;
  /** The spec as its caller gave it. */
  readonly spec: string;
  /** Lease of the backend server, on its clock. It is also the latest time for the start. */
  readonly deadlineMs: number;
  readonly checkpoint?: string;
  /** Permission of the placement advisor. */
  readonly ticket?: string;
}

/** Order to stop a run. A run that is not there yet can't start later. */
export interface StopOrder extends Order {
  readonly task: string;
  readonly run: number;
}

/** Renews the lease, acknowledges ends and reads both lists. */
export interface PollOrder extends Order {
  /** Lease of the backend server, on its clock; undefined leaves the lease as it is. */
  readonly deadlineMs: number | undefined;
  /** Ends up to this position are forgotten. */
  readonly acknowledged: number;
  /** Longest wait for an end, in whole milliseconds. */
  readonly waitMs: number;
}

/** Lets a run work at a share of its speed. */
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
  /** A run that is not lower was stopped or ended here before; nothing was done. */
  | { readonly kind: "old-run" }
  /** The deadline had passed; nothing was done. */
  | { readonly kind: "late" }
  /** The backend server has no room; nothing was done. */
  | { readonly kind: "no-room" }
  /** The advisor's ticket is missing or no longer valid; nothing was done. */
  | { readonly kind: "ticket" }
  /** Another incarnation answers at this address; the intended one is gone. */
  | { readonly kind: "gone" }
  /** The backend server refused the order; nothing was done. */
  | { readonly kind: "not-done"; readonly detail: string }
  /** The order did not leave this instance; nothing was done. */
  | { readonly kind: "not-sent"; readonly detail: string }
  /** No whole reply; the order may have been carried out, or may still be. */
  | { readonly kind: "unknown"; readonly detail: string };

/** Result of an order. */
export type OrderResult<T> = Promise<Result<T, OrderError>>;

/** Client of one incarnation of a backend server that runs tasks of jobs. */
export abstract class JobBackend {
  abstract start(order: StartOrder): OrderResult<BackendClock>;
  abstract stop(order: StopOrder): OrderResult<BackendClock>;
  abstract poll(order: PollOrder): OrderResult<RunLists>;
  abstract pace(order: PaceOrder): OrderResult<BackendClock>;
}

/** Opens the client of a backend server. */
export abstract class JobBackendConnector {
  /** `id` names the intended incarnation. */
  abstract connect(address: string, id: string): JobBackend;
}
