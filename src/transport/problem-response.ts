import type { ServerResponse } from "node:http";
import type { Refusal, RefusalReason } from "../protocol/refusal.ts";

/** HTTP status by refusal reason. */
const STATUS: Readonly<Record<RefusalReason, number>> = {
  malformed: 400,
  unsupported: 404,
  too_large: 413,
  slow_request: 408,
  unknown_queue: 404,
  key_missing: 401,
  key_unknown: 401,
  key_not_allowed: 403,
  config_missing: 503,
  config_stale: 503,
  id_body_mismatch: 422,
  id_from_future: 422,
  id_too_old: 409,
  id_memory_full: 503,
  id_unknown: 404,
  home_unknown: 504,
  home_unreachable: 503,
  home_moving: 503,
  overload: 503,
  deadline: 503,
  no_capacity: 503,
  cancelled: 409,
  bad_job: 422,
  task_failed: 502,
  outcome_unknown: 504,
  retry_budget: 503,
  peer_busy: 503,
  stopping: 503,
  internal: 500,
};

/** RFC 9457 problem details. */
export interface ProblemDetails {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly ran: Refusal["ran"];
  readonly request_id?: string;
}

/**
 * Converts a refusal to problem details. The status is 410 if the outcome was known but is no
 * longer stored.
 */
export function problemDetails(refusal: Refusal): ProblemDetails {
  const { reason, detail, ran, requestId } = refusal;
  const expired = reason === "outcome_unknown" && ran === "yes";
  const problem = {
    type: `urn:teaselspool:problem:${reason}`,
    title: reason.replaceAll("_", " "),
    status: expired ? 410 : STATUS[reason],
    detail,
    ran,
  };
  return requestId === undefined ? problem : { ...problem, request_id: requestId };
}

/** Sends a refusal as an HTTP response. `close` closes the connection afterwards. */
export function writeProblem(res: ServerResponse, refusal: Refusal, close = false): void {
  if (res.headersSent || res.destroyed) return;
  const problem = problemDetails(refusal);
  res.statusCode = problem.status;
  res.setHeader("Content-Type", "application/problem+json");
  if (problem.status === 401) res.setHeader("WWW-Authenticate", "Bearer");
  if (refusal.requestId !== undefined) res.setHeader("Request-Id", refusal.requestId);
  if (refusal.retryAfterMs !== undefined)
    res.setHeader("Retry-After", Math.max(1, Math.ceil(refusal.retryAfterMs / 1000)));
  if (close) res.setHeader("Connection", "close");
  res.end(JSON.stringify(problem));
}

/** Formats a refusal as a raw HTTP response, for a request that could not be parsed. */
export function rawProblemResponse(refusal: Refusal, status?: number): string {
  const problem = problemDetails(refusal);
  const body = JSON.stringify({ ...problem, status: status ?? problem.status });
  return [
    `HTTP/1.1 ${status ?? problem.status} ${problem.title}`,
    "Content-Type: application/problem+json",
    `Content-Length: ${Buffer.byteLength(body)}`,
    "Connection: close",
    "",
    body,
  ].join("\r\n");
}
