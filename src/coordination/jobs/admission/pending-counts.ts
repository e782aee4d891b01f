import type { Clock } from "../../../ports/clock.ts";
import type { Log } from "../../../ports/log.ts";
import type { RecordStore } from "../../../ports/record-store.ts";
import { encodePendingJobs, PENDING_JOBS_KEY } from "../../../protocol/job-records.ts";
import type { Job } from "../../../state/jobs/records/job.ts";
import type { LockTenure } from "../election/scheduler-lock.ts";

/** Counts returned to callers must be at most 2 s old. */
const PUBLISH_INTERVAL_MS = 900;

/** Options of {@link PendingPublisher}. */
export interface PendingPublisherOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly tenure: LockTenure;
  readonly openJobs: () => Iterable<Job>;
}

/** Stores the number of jobs without a started task per queue, for all entry instances to read. */
export class PendingPublisher {
  readonly #options: PendingPublisherOptions;

  constructor(options: PendingPublisherOptions) {
    this.#options = options;
  }

  /** Publishes changed counts until the tenure ends. */
  async run(): Promise<void> {
    const { store, clock, log, tenure, openJobs } = this.#options;
    let published = "";
    while (!tenure.signal.aborted) {
      await clock.sleep(PUBLISH_INTERVAL_MS, tenure.signal);
      const pending = countPending(openJobs());
      const text = JSON.stringify(pending);
      if (text === published || !tenure.valid) continue;
      const put = { key: PENDING_JOBS_KEY, value: encodePendingJobs({ pending }) };
      const result = await store.commit({ conditions: [tenure.condition], puts: [put] });
      if (result.ok) published = text;
      else log.warn({ err: result.val }, "pending counts not published");
    }
  }
}

/** Counts the jobs of each queue without a started task. Scheduled jobs are not counted. */
export function countPending(jobs: Iterable<Job>): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const job of jobs) {
    if (job.final || job.spec.schedule !== undefined || !job.neverStarted) continue;
    counts[job.spec.queue] = (counts[job.spec.queue] ?? 0) + 1;
  }
  return counts;
}
