/** Updates the progress of runs from start replies and lists of runs. */
import type { BackendClock, ListedRun } from "../../../ports/job-backend.ts";
import type { Task } from "../records/job.ts";
import { coldSlowdown } from "./cold-start.ts";
import type { ActiveRun, RunPhase } from "./run-registry.ts";

/** Backend server of a run and time of its assignment. */
export interface Assignment {
  readonly server: string;
  readonly bootedAt: number;
  /** True if a list of the boot has shown the run. @default false */
  readonly confirmed?: boolean;
  /** See {@link ActiveRun.leaseDoubtedUntil}. @default 0 */
  readonly leaseDoubtedUntil?: number;
  /** Rack of the backend server; undefined if it is not known. */
  readonly rack: string | undefined;
  readonly phase: RunPhase;
  /** Coldness of the backend server, from 0 to 1. @default 0 */
  readonly coldness?: number | undefined;
  /** Monotonic time in ms of the assignment. */
  readonly since: number;
}

/** Creates the run of a task before its backend server has reported any progress. */
export function newRun(task: Task, assigned: Assignment): ActiveRun {
  const { server, bootedAt, confirmed = false, rack, phase, since, coldness = 0 } = assigned;
  const { leaseDoubtedUntil = 0 } = assigned;
  const { dataRack } = task.step.spec;
  // A plain literal without spreads: all runs share one layout, which keeps access to them fast.
  return {
    task,
    run: task.run,
    server,
    bootedAt,
    confirmed,
    leaseDoubtedUntil,
    nearData: dataRack === "" || dataRack === rack,
    phase,
    endOrdered: false,
    since,
    percent: 0,
    listedAt: since,
    firstProgress: undefined,
    lastProgress: undefined,
    pace: 100,
    load: 0,
    slowdown: coldSlowdown(coldness),
  };
}

/** Records that the start of a run was accepted. */
export function recordStarted(run: ActiveRun, { clockMs }: BackendClock): void {
  // The progress at which a run resumes from a checkpoint is known only once the run is listed.
  if (run.task.checkpoint === "") run.firstProgress ??= { clockMs, percent: 0 };
}

/** Records what a list says about a run. The list was requested at `askedAt`, a monotonic time in ms. */
export function recordListed(
  run: ActiveRun,
  { percent, load, checkpoint }: ListedRun,
  { clockMs }: BackendClock,
  askedAt: number,
): void {
  if (run.lastProgress === undefined || percent > run.lastProgress.percent)
    run.advancedAt = clockMs;
  run.confirmed = true;
  run.percent = percent;
  run.load = load;
  run.listedAt = askedAt;
  run.lastProgress = { clockMs, percent };
  if (run.phase !== "starting") run.firstProgress ??= run.lastProgress;
  if (checkpoint !== "") run.task.checkpoint = checkpoint;
}
