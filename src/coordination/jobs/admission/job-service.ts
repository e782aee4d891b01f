import type { Clock } from "../../../ports/clock.ts";
import type { Log } from "../../../ports/log.ts";
import type { RecordStore, StoredRecord, StoreError } from "../../../ports/record-store.ts";
import {
  cancelKey,
  decodeJob,
  decodePendingJobs,
  decodeProgress,
  jobKey,
  PENDING_JOBS_KEY,
  parseJobKey,
  progressKey,
} from "../../../protocol/job-records.ts";
import {
  FINAL_STATES,
  type JobRequest,
  type JobSpec,
  type JobState,
} from "../../../protocol/job-spec.ts";
import type { WrittenRecord } from "../../../protocol/peer-messages.ts";
import type { JobQueueConfig } from "../../../protocol/fleet-config.ts";
import type { Counters } from "../../ports.ts";
import type { JobAdmission, JobRejection } from "./job-admission.ts";
import type { JobSubmitter, SubmitOutcome } from "./job-submitter.ts";

/** Time in ms for which the pending counts are cached. */
const PENDING_CACHE_MS = 400;
const CANCEL_RETRY_MS = 100;

/** Identifies the job and the caller of a request, with its deadline. */
export interface JobCall {
  readonly id: string;
  /** Undefined for queues that are open to all callers. */
  readonly organisation: string | undefined;
  /** Monotonic time in ms at which the caller stops waiting. */
  readonly deadline: number;
}

/** Result of a call. `unavailable`: the state can't be determined now; the caller may retry. */
export type JobCallResult =
  | { readonly kind: "state"; readonly state: JobState }
  | { readonly kind: "unknown-job" }
  | { readonly kind: "unavailable" };

/** Options of {@link JobService}. */
export interface JobServiceOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly counters: Counters;
  readonly submitter: JobSubmitter;
  readonly admission: JobAdmission;
  /** Called with cancel markers once they are stored. */
  readonly stored: (records: readonly WrittenRecord[]) => void;
}

/** Serves callers of the jobs API. Job states are read from the store for each call. */
export class JobService {
  readonly #options: JobServiceOptions;
  #pending:
    { readonly readAt: number; readonly counts: Readonly<Record<string, number>> } | undefined;

  constructor(options: JobServiceOptions) {
    this.#options = options;
  }

  /** Stores a job unless it is rejected because of overload. Idempotent for the same id. */
  async submit(
    req: JobRequest,
    queue: JobQueueConfig,
    { id, organisation, deadline }: JobCall,
  ): Promise<SubmitOutcome | JobRejection> {
    const rejection = await this.#options.admission.admit(id, { req, queue, organisation });
    if (rejection !== undefined) return rejection;
    const acceptedAtMs = this.#options.clock.wallTime();
    const job: JobSpec = {
      ...req,
      ...{ id, queue: queue.name, pool: queue.pool, organisation, acceptedAtMs },
      maxAttempts: queue.maxAttempts,
    };
    return this.#options.submitter.submit(job, deadline);
  }

  /** Reads the state of a job. */
  async state({ id, organisation }: JobCall): Promise<JobCallResult> {
    const { store, log } = this.#options;
    // Both reads are in flight at the same time. If an ended job's records are deleted between them,
    // the job can be found without its progress, and counts as queued.
    const [records, progress] = await Promise.all([
      store.range(jobKey(id)),
      store.get(progressKey(id)),
    ]);
    if (records.err || progress.err) return { kind: "unavailable" };
    const job = findJob(records.val.records, id);
    if (job === undefined || job.organisation !== organisation) return { kind: "unknown-job" };
    const stored = progress.val === undefined ? undefined : decodeProgress(progress.val.value);
    if (progress.val !== undefined && stored === undefined) {
      log.error({ job: id }, "progress record is unreadable");
      return { kind: "unavailable" };
    }
    const state = stored?.state ?? "queued";
    if (FINAL_STATES.includes(state)) return { kind: "state", state };
    const cancelled = records.val.records.some(({ key }) => parseJobKey(key).kind === "cancel");
    return { kind: "state", state: cancelled ? "cancelled" : state };
  }

  /** Marks a job as cancelled, so that the scheduler stops it. Idempotent. */
  async cancel(call: JobCall): Promise<JobCallResult> {
    const { store, clock, log } = this.#options;
    const { id, organisation, deadline } = call;
    for (;;) {
      const records = await store.range(jobKey(id));
      if (records.ok) {
        const job = findJob(records.val.records, id);
        if (job === undefined || job.organisation !== organisation) return { kind: "unknown-job" };
        const marked = records.val.records.some(({ key }) => key === cancelKey(id));
        if (marked || (await this.#storeCancelMarker(id, records.val.records))) {
          log.info({ job: id, marked }, "cancel stored");
          return { kind: "state", state: "cancelled" };
        }
      }
      if (clock.now() + CANCEL_RETRY_MS > deadline) return { kind: "unavailable" };
      await clock.sleep(CANCEL_RETRY_MS);
    }
  }

  /** Number of jobs in a queue without a started task; undefined if the store can't be read. */
  async pendingCount(queue: string): Promise<number | undefined> {
    const { store, clock, log } = this.#options;
    const cached = this.#pending;
    if (cached !== undefined && clock.now() - cached.readAt < PENDING_CACHE_MS)
      return cached.counts[queue] ?? 0;
    const readAt = clock.now();
    const record = await store.get(PENDING_JOBS_KEY);
    if (record.err) return undefined;
    const decoded = record.val === undefined ? undefined : decodePendingJobs(record.val.value);
    if (record.val !== undefined && decoded === undefined)
      log.error({ key: PENDING_JOBS_KEY }, "pending counts are unreadable");
    const counts = decoded?.pending ?? {};
    this.#pending = { readAt, counts };
    return counts[queue] ?? 0;
  }

  /** Stores the cancel marker; false if that failed. Idempotent. */
  async #storeCancelMarker(id: string, records: readonly StoredRecord[]): Promise<boolean> {
    const revision = records.find(({ key }) => key === jobKey(id))?.revision ?? 0;
    const put = { key: cancelKey(id), value: new Uint8Array() };
    const result = await this.#options.store.commit({
      conditions: [{ key: jobKey(id), revision }],
      puts: [put],
    });
    if (result.err) this.#logFailure(id, result.val);
    else this.#options.stored([{ ...put, revision: result.val }]);
    return result.ok;
  }

  #logFailure(id: string, err: StoreError): void {
    this.#options.log.warn({ job: id, err }, "cancel not stored yet");
  }
}

function findJob(records: readonly StoredRecord[], id: string): JobSpec | undefined {
  const record = records.find(({ key }) => key === jobKey(id));
  return record === undefined ? undefined : decodeJob(record.value);
}
