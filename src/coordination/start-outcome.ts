import type { BackendError } from "../ports/backend-server.ts";
import type { RetryReason } from "../protocol/refusal.ts";
import type { StartError } from "./ports.ts";

/** Reason why a start certainly did not happen, or undefined if it may have. */
export function notStartedReason(err: BackendError): RetryReason | undefined {
  switch (err.kind) {
    case "lease-lapsed":
    case "held":
      return "lease_lapsed";
    case "full":
      return "server_full";
    case "leaving":
      return "server_leaving";
    case "unreachable":
      return "unreachable";
    case "rejected":
      return "never_started";
    // An earlier start of the same attempt may be running.
    case "duplicate":
    case "ambiguous":
      return undefined;
  }
}

/** State of a task whose start failed with this error. */
export function stateAfterStartError(err: StartError): "uncertain" | "not-started" {
  return err.kind === "ambiguous" ? "uncertain" : "not-started";
}
