import type { Result } from "ts-results";
import type { BackendClock, OrderError, RunLists } from "../../../ports/job-backend.ts";

/** What became of an order given to an executor. */
export type RelayOutcome =
  /** The executor's own result. */
  | {
      readonly kind: "answered";
      readonly result: Result<BackendClock | RunLists, OrderError>;
    }
  /** The order certainly did not reach its backend server. */
  | { readonly kind: "not-sent"; readonly detail: string }
  /** The order may have reached its backend server, or may still. */
  | { readonly kind: "unknown"; readonly detail: string };
