import type { JobRequest, JobSpec } from "../../../src/protocol/job-spec.ts";
import { Job, type StepRun, type Task } from "../../../src/state/jobs/records/job.ts";
import type { PlacementCandidate } from "../../../src/state/jobs/scheduling/placement.ts";
import type { ActiveRun } from "../../../src/state/jobs/execution/run-registry.ts";

/** An accepted job. */
export function jobSpec(request: JobRequest, changes: Partial<JobSpec> = {}): JobSpec {
  return {
    ...request,
    ...{ id: "job", queue: "queue", pool: "pool", organisation: undefined, acceptedAtMs: 0 },
    ...changes,
  };
}

/** A step of the first occurrence of a new job. */
export function stepRun(request: JobRequest, position = 0): StepRun {
  return new Job(jobSpec(request)).occurrences[0]!.steps[position]!;
}

/** A run that is in progress. */
export function activeRun(task: Task, changes: Partial<ActiveRun> = {}): ActiveRun {
  return {
    ...{ task, run: 1, server: "s1", bootedAt: 0, phase: "running", since: 0 },
    ...{ confirmed: true, leaseDoubtedUntil: 0 },
    ...{ percent: 100, pace: 100, load: 0, listedAt: 0, nearData: true, endOrdered: false },
    ...{ firstProgress: undefined, lastProgress: undefined, slowdown: 1 },
    ...changes,
  };
}

/** A backend server with free capacity. */
export function candidate(
  id: string,
  changes: Partial<PlacementCandidate> = {},
): PlacementCandidate {
  return {
    ...{
      id,
      rack: "r1",
      zone: "z",
      labels: [],
      tasksOfStep: 0,
      tasksOfStepOnRack: 0,
      longTasks: 0,
    },
    free: { cpuMillis: 16_000, memoryMb: 64_000, accelerators: 0 },
    ...{
      slow: false,
      coldness: 0,
      maintenancePending: false,
      consecutiveFailures: 0,
      failedHere: false,
    },
    ...changes,
  };
}
