import type { Clock } from "../../ports/clock.ts";
import type { Log } from "../../ports/log.ts";
import type { Random } from "../../ports/random.ts";
import { type RecordStore, type StoreError } from "../../ports/record-store.ts";
import { encodeJob, jobKey } from "../../protocol/job-records.ts";
import type { WrittenRecord } from "../../protocol/peer-messages.ts";
import type { JobSpec } from "../../protocol/job-spec.ts";
import { fullJitterMs } from "../backoff.ts";
import { Deferred, waitAtMost } from "../wait.ts";

/** A job takes a condition and a put of a transaction's entries. */
const JOBS_PER_TRANSACTION = 16;
const RETRY = { baseMs: 40, maxMs: 300 } as const;
/** A refusal by the store is repeated for this time in ms before the caller is refused. */
const REFUSAL_PATIENCE_MS = 400;

/** Whether a job was stored. */
export type SubmitOutcome =
  /** It is stored, now or by an earlier submission. */
  | "accepted"
  /** It is not stored and never will be by this submission. */
  | "refused"
  /** It may have been stored, or may still be. */
  | "unknown";

interface Submission {
  readonly job: JobSpec;
  readonly deadline: number;
  readonly since: number;
  readonly outcome: Deferred<SubmitOutcome>;
  /** An attempt to write it was not answered. */
  uncertain: boolean;
}

/** Options of {@link JobSubmitter}. */
export interface JobSubmitterOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  /** Called with the jobs that were written, once they are stored. */
  readonly stored: (records: readonly WrittenRecord[]) => void;
}

/**
 * Stores jobs, one transaction at a time; jobs that come meanwhile share the next one. A job's key
 * must be absent, so a repeated submission, also at another instance, remains one job.
 */
export class JobSubmitter {
  readonly #options: JobSubmitterOptions;
  #waiting: Submission[] = [];
  #writing = false;
  /** Monotonic time in ms since which no transaction was answered. */
  #failingSince: number | undefined;

  constructor(options: JobSubmitterOptions) {
    this.#options = options;
  }

  /** Resolves with the outcome at the latest at the deadline, a monotonic time in ms. */
  async submit(job: JobSpec, deadline: number): Promise<SubmitOutcome> {
    const { clock } = this.#options;
    const since = clock.now();
    // A caller who would only wait for a store that fails is told at once.
    const failingMs = since - (this.#failingSince ?? since);
    if (failingMs >= REFUSAL_PATIENCE_MS && this.#writing) return "refused";
    const submission: Submission = {
      ...{ job, deadline, since, outcome: new Deferred<SubmitOutcome>(), uncertain: false },
    };
    this.#waiting.push(submission);
    if (!this.#writing) void this.#write();
    const outcome = await waitAtMost(clock, submission.outcome.promise, deadline - since);
    return outcome ?? "unknown";
  }

  async #write(): Promise<void> {
    const { clock, random } = this.#options;
    this.#writing = true;
    let failures = 0;
    // Submissions of the same moment share the transaction.
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
    this.#failed(batch, err);
    return err;
  }

  /** Tries again what still has time, and refuses only what certainly was not stored. */
  #failed(batch: readonly Submission[], err: StoreError): void {
    const { clock, log } = this.#options;
    log.warn({ err, jobs: batch.length }, "jobs not stored yet");
    const now = clock.now();
    this.#failingSince ??= now;
    const waiting = this.#waiting;
    this.#waiting = [];
    // What waited for its turn was not written yet, so it can be refused as well.
    for (const submission of [...batch, ...waiting]) {
      if (err.kind === "unknown" && batch.includes(submission)) submission.uncertain = true;
      const { uncertain, since, deadline, outcome } = submission;
      if (!uncertain && now - since >= REFUSAL_PATIENCE_MS) outcome.resolve("refused");
      else if (now >= deadline) outcome.resolve(uncertain ? "unknown" : "refused");
      else this.#waiting.push(submission);
    }
  }
}
