import type { Resources, StepSpec } from "../../../protocol/job-spec.ts";
import type { Job, StepRun } from "../records/job.ts";
import type { DurationModel, DurationModels } from "../scheduling/duration-model.ts";
import { rankStep, type QueueUrgency } from "../scheduling/job-order.ts";
import { NO_RESOURCES, resourcesOccupied } from "../scheduling/resources.ts";

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
    ...([active, occurrence, urgency, wallTimeMs, durations] as const),
  );
  const model = durations.forQueue(queue);
  const work = { ...NO_RESOURCES };
  const held = { ...NO_RESOURCES };
  for (const { steps: runs } of job.occurrences) {
    for (const step of runs) {
      if (step.spec.longRunning) addTimes(held, step, tasksRunning(step));
      else addTimes(work, step, tasksLeft(step) * leastMs(step, model));
    }
  }
  return {
    ...{ queue, organisation, priority: urgency.priority, onTime: canBeOnTime, latestStartMs },
    ...{ work, held, declared: schedule === undefined ? declaredSize(steps) : undefined },
  };
}

/**
 * Declared size of a job's steps; undefined if a step runs until it is cancelled or declares no
 * duration, since nothing can be said about the end of such a job.
 */
export function declaredSize(steps: readonly StepSpec[]): DeclaredSize | undefined {
  if (declaredSizes.has(steps)) return declaredSizes.get(steps);
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

function tasksLeft({ tasks }: StepRun): number {
  let left = 0;
  for (const { done, placement } of tasks)
    if (!done) left += placement === undefined ? 1 : RUNNING_PART_LEFT;
  return left;
}

function tasksRunning({ tasks }: StepRun): number {
  return tasks.filter(({ done, placement }) => !done && placement !== undefined).length;
}

/** Adds a multiple of what a task of the step occupies. Changes the sum, since it is called often. */
function addTimes(
  sum: { -readonly [K in keyof Resources]: number },
  step: StepRun,
  n: number,
): void {
  const { cpuMillis, memoryMb, accelerators } = resourcesOccupied(step.spec);
  sum.cpuMillis += cpuMillis * n;
  sum.memoryMb += memoryMb * n;
  sum.accelerators += accelerators * n;
}
