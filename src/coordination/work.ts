import type { TaskRef } from "../ports/backend-server.ts";
import type { RequestSpec } from "../protocol/peer-messages.ts";
import type { RetryReason } from "../protocol/refusal.ts";

/** Reason why work left the queue without being started. */
export type WithdrawReason = "deadline" | "cancelled" | "stopping" | "moved";

/** Outcome of queueing work once. */
export type StartOutcome =
  | {
      readonly kind: "started";
      readonly ref: TaskRef;
      readonly server: string;
      /** Incarnation that held the server at the start. */
      readonly holder: string;
    }
  /** The work may have started. The server is undefined if the reply of a peer was lost. */
  | {
      readonly kind: "ambiguous";
      readonly ref: TaskRef;
      readonly server: string | undefined;
      readonly holder: string;
    }
  /** The work certainly did not start; only for attempts offered by a peer. */
  | { readonly kind: "declined"; readonly reason: RetryReason }
  /** The work certainly did not start. */
  | { readonly kind: "withdrawn"; readonly reason: WithdrawReason };

/** A request that the dispatcher starts at most once, here or at a peer. */
export interface Work {
  readonly spec: RequestSpec;
  /** Incarnation of the request's owner. */
  readonly owner: string;
  /** Monotonic time of acceptance in milliseconds; determines the order in the queue. */
  readonly acceptedAt: number;
  /** Monotonic time in milliseconds after which the work is withdrawn. */
  readonly expiresAt: number;
  /** Servers to use only if no other server of their pool is free. */
  readonly avoid: readonly string[];
  /** True if a peer offered the work; such work is not offered to another peer. */
  readonly offered: boolean;
  /** Returns the reference for the next start or offer, with a new attempt number. */
  readonly nextRef: () => TaskRef;
}

/** Map key of an attempt. */
export function refKey(ref: TaskRef): string {
  return `${ref.requestId}#${ref.attempt}`;
}
