import type { Clock } from "../../../ports/clock.ts";
import type { Log } from "../../../ports/log.ts";
import type { Random } from "../../../ports/random.ts";
import { type RecordStore, type StoreError } from "../../../ports/record-store.ts";
import { encodeJob, jobKey } from "../../../protocol/job-records.ts";
import type { WrittenRecord } from "../../../protocol/peer-messages.ts";
import type { JobSpec } from "../../../protocol/job-spec.ts";
import { fullJitterMs } from "../../backoff.ts";
import { Deferred, waitAtMost } from "../../wait.ts";

/** Each job takes two entries of a transaction: a condition and a put. */
const JOBS_PER_TRANSACTION = 16;
const RETRY = { baseMs: 40, maxMs: 300 } as const;
/** Time in ms for which a refused write is retried before the caller's submission is refused. */
const REFUSED_RETRY_MS = 400;

/** Whether a job was stored. */
export type SubmitOutcome =
  /** The job is stored, by this or an earlier submission. */
  | "accepted"
  /** The job is not stored, and this submission will not store it later. */
  | "refused"
  /** The outcome of the write is unknown: the job may be stored now or later. */
  | "unknown";

interface Submission {
  readonly job: JobSpec;
  readonly deadline: number;
  /** Monotonic time in ms of the submission. */
  readonly submittedAt: number;
  readonly outcome: Deferred<SubmitOutcome>;
  /** True if the outcome of an earlier write attempt is unknown. */
  uncertain: boolean;
}

/** Options of {@link JobSubmitter}. */
export interface JobSubmitterOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  /** Called with the records of jobs once they are stored. */
  readonly stored: (records: readonly WrittenRecord[]) => void;
}

/**
 * Stores jobs, one transaction at a time; jobs that arrive during a transaction are batched into
 * the next one. Each write requires that the job's key is absent, so submissions are idempotent,
 * also across entry instances.
 */
export class JobSubmitter {
  readonly #options: JobSubmitterOptions;
  #waiting: Submission[] = [];
  #writing = false;
  /** Monotonic time in ms of the first of the current failures; undefined if there is none. */
  #failingSince: number | undefined;

  constructor(options: JobSubmitterOptions) {
    this.#options = options;
  }

  /** Resolves with the outcome no later than `deadline`, a monotonic time in ms. */
  async submit(job: JobSpec, deadline: number): Promise<SubmitOutcome> {
    const { clock } = this.#options;
    const submittedAt = clock.now();
    // While the store keeps failing, refuse at once instead of letting the caller wait.
    const failingMs = submittedAt - (this.#failingSince ?? submittedAt);
    if (failingMs >= REFUSED_RETRY_MS && this.#writing) return "refused";
    const submission: Submission = {
      ...{ job, deadline, submittedAt, outcome: new Deferred<SubmitOutcome>(), uncertain: false },
    };
    this.#waiting.push(submission);
    if (!this.#writing) void this.#writeQueue();
    const outcome = await waitAtMost(clock, submission.outcome.promise, deadline - submittedAt);
    return outcome ?? "unknown";
  }

  async #writeQueue(): Promise<void> {
    const { clock, random } = this.#options;
    this.#writing = true;
    let failures = 0;
    // Batch submissions of the same tick into one transaction.
    await Promise.resolve();
    while (this.#waiting.length > 0) {
      const batch = this.#waiting.slice(0, JOBS_PER_TRANSACTION);
      this.#waiting = this.#waiting.slice(JOBS_PER_TRANSACTION);
      const err = await this.#commit(batch);
      if (err === undefined) {
        failures = 0;
        this.#failingSince = undefined;
      } else await clock.sleep(fullJitterMs(random, failures++, RETRY));
    }
    this.#writing = false;
  }

  async #commit(batch: readonly Submission[]): Promise<StoreError | undefined> {
    const puts = batch.map(({ job }) => ({ key: jobKey(job.id), value: encodeJob(job) }));
    const conditions = puts.map(({ key }) => ({ key, revision: 0 }));
    const result = await this.#options.store.commit({ conditions, puts });
    if (result.ok) {
      const revision = result.val;
      this.#options.stored(puts.map((put) => ({ ...put, revision })));
      for (const { outcome } of batch) outcome.resolve("accepted");
      return undefined;
    }
    const err = result.val;
    if (err.kind === "conflict") {
      const stored = new Set(
        err.current.filter(({ revision }) => revision > 0).map(({ key }) => key),
      );
      for (const { job, outcome } of batch)
        if (stored.has(jobKey(job.id))) outcome.resolve("accepted");
      this.#waiting.unshift(...batch.filter(({ job }) => !stored.has(jobKey(job.id))));
      return stored.size > 0 ? undefined : err;
    }
    this.#handleFailure(batch, err);
    return err;
  }

  /** Requeues submissions with time left; refuses only those that were certainly not stored. */
  #handleFailure(batch: readonly Submission[], err: StoreError): void {
    const { clock, log } = this.#options;
    log.warn({ err, jobs: batch.length }, "jobs not stored yet");
    const now = clock.now();
    this.#failingSince ??= now;
    const waiting = this.#waiting;
    this.#waiting = [];
    // Queued submissions have not been sent in this attempt, so they can be refused as well.
    for (const submission of [...batch, ...waiting]) {
      if (err.kind === "unknown" && batch.includes(submission)) submission.uncertain = true;
      const { uncertain, submittedAt, deadline, outcome } = submission;
      if (!uncertain && now - submittedAt >= REFUSED_RETRY_MS) outcome.resolve("refused");
      else if (now >= deadline) outcome.resolve(uncertain ? "unknown" : "refused");
      else this.#waiting.push(submission);
    }
  }
}
