import type { TaskRef } from "../ports/backend-server.ts";
import type { RequestSpec } from "../protocol/peer-messages.ts";
import type { RetryReason } from "../protocol/problem.ts";

/** Why work left the queue without a start. */
export type WithdrawReason = "deadline" | "cancelled" | "stopping" | "moved";

/** How a stay in the queue ended. */
export type StartOutcome =
  | {
      readonly kind: "started";
      readonly ref: TaskRef;
      readonly server: string;
      /** Incarnation that held the server at the start. */
      readonly holder: string;
    }
  /** May have started. The server is unknown if the reply of a peer was lost. */
  | {
      readonly kind: "ambiguous";
      readonly ref: TaskRef;
      readonly server: string | undefined;
      readonly holder: string;
    }
  /** Certainly not started; only for attempts that a peer offered. */
  | { readonly kind: "declined"; readonly reason: RetryReason }
  /** Certainly not started. */
  | { readonly kind: "withdrawn"; readonly reason: WithdrawReason };

/** A request that is to be started once. */
export interface Work {
  readonly spec: RequestSpec;
  /** Incarnation of the request's home. */
  readonly home: string;
  /** Monotonic time of acceptance in milliseconds, by which the queue orders. */
  readonly acceptedAt: number;
  /** Monotonic time in milliseconds after which the work is withdrawn. */
  readonly expiresAt: number;
  /** Servers to use only if no other is free. */
  readonly avoid: readonly string[];
  /** True if a peer offered it, so that it is offered no further. */
  readonly offered: boolean;
  /** Reference for the next start or offer; each gets an attempt number of its own. */
  readonly nextRef: () => TaskRef;
}

/** Names an attempt in maps. */
export function refKey(ref: TaskRef): string {
  return `${ref.requestId}#${ref.attempt}`;
}
