import type { Clock } from "../../ports/clock.ts";
import type { Log } from "../../ports/log.ts";
import type { RecordStore } from "../../ports/record-store.ts";
import { cancelKey, jobKey, progressKey } from "../../protocol/job-records.ts";
import type { Job } from "../../state/jobs/job.ts";
import type { JobBoard } from "./job-board.ts";
import type { LockTenure } from "./scheduler-lock.ts";

const COLLECT_INTERVAL_MS = 10_000;
/** Deletes beside the condition on the lock; three keys a job. */
const JOBS_PER_TRANSACTION = 10;

/** Options of {@link RecordCollector}. */
export interface RecordCollectorOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly tenure: LockTenure;
  readonly board: JobBoard;
  /** Time in milliseconds for which callers may ask for the state of a job that has ended. */
  readonly retentionMs: number;
}

/** Deletes the records of jobs that ended long ago. */
export class RecordCollector {
  readonly #options: RecordCollectorOptions;

  constructor(options: RecordCollectorOptions) {
    this.#options = options;
  }

  /** Collects until the tenure ends. */
  async run(): Promise<void> {
    const { clock, tenure } = this.#options;
    while (!tenure.signal.aborted) {
      await clock.sleep(COLLECT_INTERVAL_MS, tenure.signal);
      if (tenure.valid) await this.#collect();
    }
  }

  async #collect(): Promise<void> {
    const { store, clock, log, tenure, board, retentionMs: keepMs } = this.#options;
    const before = clock.wallTime() - keepMs;
    const expired: Job[] = [];
    for (const job of board.jobs) {
      if (expired.length >= JOBS_PER_TRANSACTION) break;
      if (job.final && job.endedAtMs < before) expired.push(job);
    }
    if (expired.length === 0) return;
    const deletes = expired.flatMap(({ spec: { id } }) => [
      jobKey(id),
      cancelKey(id),
      progressKey(id),
    ]);
    const result = await store.commit({ conditions: [tenure.condition], puts: [], deletes });
    if (result.ok) for (const job of expired) board.forget(job);
    else log.warn({ err: result.val }, "records of ended jobs not deleted");
  }
}
