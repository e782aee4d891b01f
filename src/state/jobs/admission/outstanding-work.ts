import type { Resources, StepSpec } from "../../../protocol/job-spec.ts";
import type { Job, StepRun } from "../records/job.ts";
import type { DurationModel, DurationModels } from "../scheduling/duration-model.ts";
import { rankStep, type QueueUrgency } from "../scheduling/job-order.ts";
import { accumulate, emptySum, resourcesOccupied } from "../scheduling/resources.ts";

/** Part of a running task that is counted as left; the mean over tasks begun at different times. */
const RUNNING_PART_LEFT = 0.5;

/** Work that a job still needs from its pool. */
export interface OutstandingWork {
  readonly queue: string;
  /** Undefined on queues open to all. */
  readonly organisation: string | undefined;
  readonly priority: number;
  /** False if the job can no longer meet its objective. */
  readonly onTime: boolean;
  /** Latest Unix time in ms at which the job's next step can begin for the job to be on time. */
  readonly latestStartMs: number;
  /** Resources multiplied by the lower estimates of the durations in ms. */
  readonly work: Resources;
  /** Resources of running tasks that run until they are stopped. */
  readonly held: Resources;
  /** Declared size of the whole job; undefined for jobs that are never rejected. */
  readonly declared: DeclaredSize | undefined;
}

/** Size of a job by its declaration. */
export interface DeclaredSize {
  /** Duration of the longest chain of steps in ms. */
  readonly chainMs: number;
  /** CPU time of all tasks in core milliseconds. */
  readonly coreMs: number;
}

/** The work left of a job; undefined if it has no step that waits or runs. */
export function outstandingWork(
  job: Job,
  urgency: QueueUrgency,
  wallTimeMs: number,
  durations: DurationModels,
): OutstandingWork | undefined {
  const [active] = job.activeSteps();
  const occurrence = active === undefined ? undefined : job.occurrences[active.occurrence];
  if (active === undefined || occurrence === undefined) return undefined;
  const { queue, organisation, steps, schedule } = job.spec;
  const { canBeOnTime, latestStartMs } = rankStep(
    active,
    occurrence,
    urgency,
    wallTimeMs,
    durations,
  );
  const model = durations.forQueue(queue);
  const work = emptySum();
  const held = emptySum();
  for (const { steps: runs } of job.occurrences) {
    for (const step of runs) {
      if (step.done) continue;
      const occupied = resourcesOccupied(step.spec);
      if (step.spec.longRunning) accumulate(held, occupied, tasksRunning(step));
      else accumulate(work, occupied, tasksLeft(step) * leastMs(step, model));
    }
  }
  return {
    queue,
    organisation,
    priority: urgency.priority,
    onTime: canBeOnTime,
    latestStartMs,
    work,
    held,
    declared: schedule === undefined ? declaredSize(steps) : undefined,
  };
}

/**
 * Declared size of a job's steps; undefined if a step runs until it is cancelled or declares no
 * duration, since nothing can be said about the end of such a job.
 */
export function declaredSize(steps: readonly StepSpec[]): DeclaredSize | undefined {
  const known = declaredSizes.get(steps);
  if (known !== undefined || declaredSizes.has(steps)) return known;
  const size = computeDeclaredSize(steps);
  declaredSizes.set(steps, size);
  return size;
}

/** Sizes by the steps of a job, cached because every measurement needs those of all open jobs. */
const declaredSizes = new WeakMap<readonly StepSpec[], DeclaredSize | undefined>();

function computeDeclaredSize(steps: readonly StepSpec[]): DeclaredSize | undefined {
  const ends: number[] = [];
  let coreMs = 0;
  for (const { after, estimateMs, tasks, demand, longRunning } of steps) {
    if (longRunning || estimateMs <= 0) return undefined;
    ends.push(estimateMs + Math.max(0, ...after.map((position) => ends[position] ?? 0)));
    coreMs += (tasks * estimateMs * demand.cpuMillis) / 1000;
  }
  return { chainMs: Math.max(0, ...ends), coreMs };
}

function leastMs({ spec }: StepRun, model: DurationModel): number {
  return spec.estimateMs > 0 ? model.leastMs(spec.estimateMs) : 0;
}

/** Computed from the counts of the step, since walking over tasks is too slow for thousands of jobs. */
function tasksLeft(step: StepRun): number {
  return step.waitingTasks + RUNNING_PART_LEFT * tasksRunning(step);
}

function tasksRunning({ openTasks, waitingTasks }: StepRun): number {
  return openTasks - waitingTasks;
}
