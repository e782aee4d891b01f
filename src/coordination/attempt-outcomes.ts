import type { Clock } from "../ports/clock.ts";
import type { Random } from "../ports/random.ts";
import type { TaskResult } from "../ports/backend-server.ts";
import type { RequestState } from "../protocol/peer-messages.ts";
import type { RefusalReason, RetryReason } from "../protocol/refusal.ts";
import type { EntrySettings } from "../settings/entry-settings.ts";
import type { FailureAttribution } from "../state/failure-attribution.ts";
import type { RequestRecord } from "../state/request-record.ts";
import type { RetryBudget } from "../state/retry-budget.ts";
import type { Dispatcher } from "./dispatcher.ts";
import { refusedState } from "./refused-states.ts";
import type { Counters } from "./ports.ts";
import type { WithdrawReason } from "./work.ts";

const RETRY_BASE_MS = 50;
const RETRY_CAP_MS = 2000;
const RETRY_AFTER_MS = 1000;

/** Options of {@link AttemptOutcomes}. */
export interface AttemptOutcomesOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly settings: Pick<EntrySettings, "maxAttempts">;
  readonly dispatcher: Dispatcher;
  readonly counters: Counters;
  readonly retryBudget: RetryBudget;
  readonly attribution: FailureAttribution;
}

/** Maps the end of an attempt to the final state of its request; undefined means a retry. */
export class AttemptOutcomes {
  readonly #options: AttemptOutcomesOptions;

  constructor(options: AttemptOutcomesOptions) {
    this.#options = options;
  }

  /** State after an attempt that may have run and whose result is lost; undefined for a retry. */
  handleLoss(record: RequestRecord): Promise<RequestState | undefined> {
    record.ran = record.ran === "yes" ? "yes" : "unknown";
    return this.#retry(record, "server_lost", lostState());
  }

  /** State after an attempt with this result; undefined for a retry. */
  async handleResult(
    record: RequestRecord,
    server: string,
    result: TaskResult,
  ): Promise<RequestState | undefined> {
    const { attribution } = this.#options;
    record.ran = "yes";
    if (result.kind === "answer") {
      attribution.recordSuccess(record.requestId, server, record.failures);
      return { kind: "answered", payload: result.payload };
    }
    if (result.kind === "stopped") {
      if (record.cancelRequested)
        return refused(record, "cancelled", "The request was stopped while it ran.");
      if (record.idempotent && record.deadline > this.#options.clock.now()) return undefined;
      return refused(record, "task_failed", "The task was stopped before its end.");
    }
    attribution.recordFailure(record.requestId, server);
    record.failures.push({ server, reason: result.reason });
    if (attribution.isBadJob(record.failures)) {
      const reasons = record.failures.map((each) => `${each.server}: ${each.reason}`).join("; ");
      return refused(record, "bad_job", `The task failed on different servers. ${reasons}`);
    }
    return this.#retry(record, "task_failed", refused(record, "task_failed", result.reason));
  }

  /** Final state of a request that was withdrawn from the queue. */
  withdrawnState(record: RequestRecord, reason: WithdrawReason): RequestState {
    if (reason === "cancelled") return refused(record, "cancelled", "The request was cancelled.");
    if (reason === "stopping")
      return refused(record, "stopping", "The entry instance shuts down.", RETRY_AFTER_MS);
    const failure = record.failures.at(-1);
    if (failure !== undefined) return refused(record, "task_failed", failure.reason);
    if (record.ran !== "no") return lostState();
    if (!this.#options.dispatcher.hasCapacity(record.queue)) {
      const detail = "No backend server of the queue's pool was available before the deadline.";
      return refused(record, "no_capacity", detail, RETRY_AFTER_MS);
    }
    const detail = "The request could not be started before its deadline.";
    return refused(record, "deadline", detail, RETRY_AFTER_MS);
  }

  /** Waits with backoff before a retry; returns `otherwise` if no retry is allowed. */
  async #retry(
    record: RequestRecord,
    reason: RetryReason,
    otherwise: RequestState,
  ): Promise<RequestState | undefined> {
    const { clock, random, settings, retryBudget, counters } = this.#options;
    if (!record.idempotent || record.cancelRequested) return otherwise;
    if (record.runs >= settings.maxAttempts) return otherwise;
    if (clock.now() >= record.deadline) return otherwise;
    if (!retryBudget.tryTake(clock.now()))
      return refused(record, "retry_budget", "Too many requests are being retried at the moment.");
    counters.retry(reason);
    const cap = Math.min(RETRY_CAP_MS, RETRY_BASE_MS * 2 ** record.attempt);
    await clock.sleep(Math.min(random.next() * cap, record.deadline - clock.now()));
    return undefined;
  }
}

function refused(
  record: RequestRecord,
  reason: RefusalReason,
  detail: string,
  retryAfterMs?: number,
): RequestState {
  return refusedState(reason, detail, record.ran, retryAfterMs);
}

/** State of a request whose result is lost. */
export function lostState(): RequestState {
  const detail = "The request may have run; its result was lost.";
  return refusedState("outcome_unknown", detail, "unknown");
}
