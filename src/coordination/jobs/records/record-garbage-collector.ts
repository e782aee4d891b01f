import type { Clock } from "../../../ports/clock.ts";
import type { Log } from "../../../ports/log.ts";
import type { RecordStore } from "../../../ports/record-store.ts";
import { cancelKey, jobKey, progressKey } from "../../../protocol/job-records.ts";
import type { Job } from "../../../state/jobs/records/job.ts";
import type { JobRegistry } from "./job-registry.ts";
import type { LockTenure } from "../election/scheduler-lock.ts";

const COLLECT_INTERVAL_MS = 10_000;
/** Each job takes three deletes; one transaction entry is the condition on the lock. */
const JOBS_PER_TRANSACTION = 10;

/** Options of {@link RecordGarbageCollector}. */
export interface RecordGarbageCollectorOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly tenure: LockTenure;
  readonly jobRegistry: JobRegistry;
  /** Time in ms for which the state of an ended job remains available to callers. */
  readonly retentionMs: number;
}

/** Deletes the records of jobs whose retention time after their end has passed. */
export class RecordGarbageCollector {
  readonly #options: RecordGarbageCollectorOptions;

  constructor(options: RecordGarbageCollectorOptions) {
    this.#options = options;
  }

  /** Deletes expired records periodically until the tenure ends. */
  async run(): Promise<void> {
    const { clock, tenure } = this.#options;
    while (!tenure.signal.aborted) {
      await clock.sleep(COLLECT_INTERVAL_MS, tenure.signal);
      if (tenure.valid) await this.#deleteExpired();
    }
  }

  async #deleteExpired(): Promise<void> {
    const { store, clock, log, tenure, jobRegistry, retentionMs } = this.#options;
    const endedBefore = clock.wallTime() - retentionMs;
    const expired: Job[] = [];
    for (const job of jobRegistry.jobs) {
      if (expired.length >= JOBS_PER_TRANSACTION) break;
      if (job.final && job.endedAtMs < endedBefore) expired.push(job);
    }
    if (expired.length === 0) return;
    const deletes = expired.flatMap(({ spec: { id } }) => [
      jobKey(id),
      cancelKey(id),
      progressKey(id),
    ]);
    const result = await store.commit({ conditions: [tenure.condition], puts: [], deletes });
    if (result.ok) for (const job of expired) jobRegistry.forget(job);
    else log.warn({ err: result.val }, "records of ended jobs not deleted");
  }
}
