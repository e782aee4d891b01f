import type { JobQueueConfig } from "../../../protocol/fleet-config.ts";
import type { JobRequest } from "../../../protocol/job-spec.ts";
import type { QueueLoad } from "../../../protocol/queue-loads.ts";
import { declaredSize } from "./outstanding-work.ts";
import { objectives } from "./queue-load.ts";

/** Why a job is rejected. `share`: its organisation uses more than its share of the queue. */
export type RejectionReason = "overload" | "share";

/** A rejection, with what the time to wait is computed from. */
export interface Overload {
  readonly reason: RejectionReason;
  /** Time in ms by which the job would end too late. */
  readonly excessMs: number;
  /** Declared work of the job over that of a job of typical size. */
  readonly relativeWork: number;
}

/** A job that is about to be accepted. */
export interface ArrivingJob {
  readonly req: JobRequest;
  readonly queue: JobQueueConfig;
  readonly organisation: string | undefined;
}

/**
 * Decides about a job by the load of its queue, measured `ageMs` ago. Rejects it only if it can't end
 * before its caller gives up. The backlog is taken to have shrunk at full speed since it was
 * measured. Scheduled jobs, long-running jobs and jobs without declared durations are never rejected.
 */
export function decideAdmission(
  { req, queue, organisation }: ArrivingJob,
  load: QueueLoad,
  ageMs: number,
): Overload | undefined {
  if (!load.rejecting || req.schedule !== undefined) return undefined;
  const size = declaredSize(req.steps);
  if (size === undefined) return undefined;
  const job = objectives(queue, size.chainMs * load.durationFactor);
  const { onTimeMs, backlogMs } = load;
  const startMs = Math.max(
    0,
    (onTimeMs - ageMs <= job.latestStartMs ? onTimeMs : backlogMs) - ageMs,
  );
  /** Time in ms by which the job ends too late if it starts after the given time. */
  const excess = (start: number): number => start + job.chainMs - job.limitMs;
  if (excess(startMs) <= 0) return undefined;
  const relativeWork = load.typicalCoreMs > 0 ? size.coreMs / load.typicalCoreMs : 1;
  const overload = { reason: "overload", excessMs: excess(startMs), relativeWork } as const;
  if (organisation === undefined) return overload;
  const own = load.organisations.find(({ name }) => name === organisation);
  // Without work in the queue, or with little, the organisation's share serves the job in time.
  if (own === undefined) return undefined;
  const ownMs = Math.max(0, own.backlogMs - ageMs);
  if (own.beyondShare && excess(ownMs) > 0)
    return { reason: "share", excessMs: excess(ownMs), relativeWork };
  const byShareMs = own.share > 0 ? ownMs / own.share : startMs;
  return excess(byShareMs) > 0 ? overload : undefined;
}
