import type { JobQueueConfig } from "../../../protocol/fleet-config.ts";
import type { Job } from "../records/job.ts";
import { declaredSize } from "./outstanding-work.ts";
import { objectives } from "./queue-load.ts";

/** Part of a job's limit for which a ready step has to wait before queues are measured. */
const NOTEWORTHY_WAIT = 0.1;

/**
 * True if a ready step has waited for more than a tenth of the limit of its job, so that a queue may
 * be near its limit. A measurement reads all open jobs, which costs too much while nothing waits.
 * `now` is the monotonic time in ms.
 */
export function worthMeasuring(
  jobs: Iterable<Job>,
  queueOf: (job: Job) => JobQueueConfig | undefined,
  now: number,
): boolean {
  for (const job of jobs) {
    for (const { readyAt } of job.readySteps()) {
      const queue = readyAt === undefined ? undefined : queueOf(job);
      if (readyAt === undefined || queue === undefined) continue;
      const { limitMs } = objectives(queue, declaredSize(job.spec.steps)?.chainMs ?? 0);
      if (now - readyAt > NOTEWORTHY_WAIT * limitMs) return true;
    }
  }
  return false;
}
