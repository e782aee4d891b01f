/** What start replies and lists tell of the progress of runs. */
import type { BackendClock, ListedRun } from "../../ports/job-backend.ts";
import type { Task } from "./job.ts";
import type { ActiveRun, RunPhase } from "./run-registry.ts";

/** Where and when a run was assigned. */
export interface Assignment {
  readonly server: string;
  readonly bootedAt: number;
  /** Rack of the backend server; undefined if it is not known. */
  readonly rack: string | undefined;
  readonly phase: RunPhase;
  /** Monotonic time in ms. */
  readonly since: number;
}

/** A run of a task of which nothing was heard yet. */
export function newRun(task: Task, { rack, since, ...assigned }: Assignment): ActiveRun {
  const { dataRack } = task.step.spec;
  return {
    ...{ task, run: task.run, ...assigned, since, percent: 0, pace: 100, load: 0 },
    ...{ endOrdered: false, listedAt: since, nearData: dataRack === "" || dataRack === rack },
    ...{ firstProgress: undefined, lastProgress: undefined },
  };
}

/** The start of a run was confirmed. */
export function recordStarted(run: ActiveRun, { clockMs }: BackendClock): void {
  // What it resumes from is known only when it is listed.
  if (run.task.checkpoint === "") run.firstProgress ??= { clockMs, percent: 0 };
}

/** A run was listed, as an answer to a question that was sent at `askedAt`. */
export function recordListed(
  run: ActiveRun,
  { percent, load, checkpoint }: ListedRun,
  { clockMs }: BackendClock,
  askedAt: number,
): void {
  run.percent = percent;
  run.load = load;
  run.listedAt = askedAt;
  run.lastProgress = { clockMs, percent };
  if (run.phase !== "starting") run.firstProgress ??= run.lastProgress;
  if (checkpoint !== "") run.task.checkpoint = checkpoint;
}
