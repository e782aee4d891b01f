import type { TaskResult } from "../ports/backend-server.ts";
import type { RequestState } from "../protocol/peer-messages.ts";
import type { RanState, RefusalReason } from "../protocol/refusal.ts";

const RETRY_AFTER_MS = 1000;

/** State of a request whose hash slot is being moved. */
export function ownerMovingState(): RequestState {
  const detail = "The owner of this id is being moved.";
  return refusedState("home_moving", detail, "unknown", RETRY_AFTER_MS);
}

/** True if the request's owner must be looked up again. */
export function isOwnerMoving(state: RequestState): boolean {
  return state.kind === "refused" && state.reason === "home_moving";
}

/** Builds a refused state; `retryAfterMs` is the delay suggested to the caller. */
export function refusedState(
  reason: RefusalReason,
  detail: string,
  ran: RanState,
  retryAfterMs?: number,
): Extract<RequestState, { readonly kind: "refused" }> {
  const state = { kind: "refused", reason, detail, ran } as const;
  return retryAfterMs === undefined ? state : { ...state, retryAfterMs };
}

/** State of a request with this result and no further attempt. */
export function stateOfResult(result: TaskResult): RequestState {
  if (result.kind === "answer") return { kind: "answered", payload: result.payload };
  if (result.kind === "failure") return refusedState("task_failed", result.reason, "yes");
  return refusedState("cancelled", "The task was stopped while it ran.", "yes");
}
