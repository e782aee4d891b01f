import type { Log } from "../../../ports/log.ts";
import type { RecordEvent, StoredRecord } from "../../../ports/record-store.ts";
import {
  decodeJob,
  decodeProgress,
  parseJobKey,
  jobIdFromProgressKey,
  type JobProgressRecord,
} from "../../../protocol/job-records.ts";
import { Job } from "../../../state/jobs/records/job.ts";
import { Deferred } from "../../wait.ts";
import { RecordListener } from "./record-follower.ts";

/** Callbacks for changes of jobs in the store. */
export interface JobRegistryHandlers {
  readonly added: (job: Job) => void;
  readonly cancelled: (job: Job) => void;
}

interface StoredProgress {
  readonly record: JobProgressRecord;
  readonly revision: number;
}

/** In-memory view of every stored job, kept up to date by a watch on the store. */
export class JobRegistry extends RecordListener {
  readonly #log: Log;
  readonly #handlers: JobRegistryHandlers;
  readonly #jobs = new Map<string, Job>();
  readonly #open = new Set<Job>();
  readonly #cancelled = new Set<string>();
  #progress = new Map<string, StoredProgress>();
  #loaded = false;
  readonly #whenLoaded = new Deferred<void>();

  constructor(log: Log, handlers: JobRegistryHandlers) {
    super();
    this.#log = log;
    this.#handlers = handlers;
  }

  /** True once the stored jobs have been read. */
  get loaded(): boolean {
    return this.#loaded;
  }

  /** Resolves once the stored jobs have been read or the signal aborts. */
  whenLoaded(signal: AbortSignal): Promise<void> {
    signal.addEventListener("abort", () => {
      this.#whenLoaded.resolve();
    });
    return this.#whenLoaded.promise;
  }

  /** Jobs that are not in a final state. */
  get openJobs(): ReadonlySet<Job> {
    return this.#open;
  }

  /** All known jobs, including ended ones. */
  get jobs(): Iterable<Job> {
    return this.#jobs.values();
  }

  /** Returns a job by id; undefined if it is unknown. */
  job(id: string): Job | undefined {
    return this.#jobs.get(id);
  }

  /** Loads the progress that previous schedulers stored. Must be called before any job is read. */
  loadProgress(records: readonly StoredRecord[]): void {
    this.#progress = new Map();
    for (const { key, value, revision } of records) {
      const record = decodeProgress(value);
      if (record === undefined) this.#log.error({ key }, "progress record is unreadable");
      else this.#progress.set(jobIdFromProgressKey(key), { record, revision });
    }
  }

  reset(records: readonly StoredRecord[]): void {
    for (const record of records) this.#tryApply(record);
    this.#loaded = true;
    this.#whenLoaded.resolve();
  }

  change(event: RecordEvent): void {
    if (event.kind === "written") this.#applyWritten(event.record);
  }

  /** Removes a job that reached a final state from the open jobs. */
  jobEnded(job: Job): void {
    this.#open.delete(job);
  }

  /** Removes a job whose records were deleted. */
  forget(job: Job): void {
    this.#open.delete(job);
    this.#jobs.delete(job.spec.id);
    this.#cancelled.delete(job.spec.id);
  }

  /** Logs errors, so that one invalid record does not prevent the others from being loaded. */
  #tryApply(record: StoredRecord): void {
    try {
      this.#applyWritten(record);
    } catch (err) {
      this.#log.error({ err, key: record.key }, "job record could not be applied");
    }
  }

  #applyWritten({ key, value }: StoredRecord): void {
    const { id, kind } = parseJobKey(key);
    if (kind === "cancel") this.#cancel(id);
    else if (!this.#jobs.has(id)) this.#add(key, value);
  }

  #add(key: string, value: Uint8Array): void {
    const spec = decodeJob(value);
    if (spec === undefined) {
      this.#log.error({ key }, "job record is unreadable");
      return;
    }
    const job = new Job(spec);
    const stored = this.#progress.get(spec.id);
    if (stored !== undefined) job.restore(stored.record, stored.revision);
    this.#progress.delete(spec.id);
    this.#jobs.set(spec.id, job);
    if (!job.final) this.#open.add(job);
    this.#handlers.added(job);
    if (this.#cancelled.has(spec.id)) this.#cancel(spec.id);
  }

  #cancel(id: string): void {
    this.#cancelled.add(id);
    const job = this.#jobs.get(id);
    if (job === undefined || job.final) return;
    this.#handlers.cancelled(job);
  }
}
