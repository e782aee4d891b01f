import type { JobSpec } from "../../../protocol/job-spec.ts";
import type { DurationModel } from "./duration-model.ts";

/** Value of a job without work. */
const BASE_VALUE = 0.3;
/** Increase of the value per multiple of the mean work of the job's queue. */
const VALUE_OF_MEAN_WORK = 0.7;
const MAX_VALUE = 4;
/** Decay of the mean work for each new job; about the last 200 jobs count. */
const DECAY = 0.995;

const MILLIS_PER_CORE = 1000;

/** Expected work in core milliseconds of all tasks of one occurrence of a job. */
export function expectedWork({ steps }: JobSpec, model: DurationModel): number {
  let work = 0;
  for (const { tasks, demand, estimateMs, longRunning, filler } of steps) {
    if (longRunning || filler || estimateMs <= 0) continue;
    work += (tasks * demand.cpuMillis * model.expectedMs(estimateMs)) / MILLIS_PER_CORE;
  }
  return work;
}

/** Values jobs by their work relative to the mean work of the recent jobs of the same queue. */
export class JobValues {
  readonly #queues = new Map<string, { weight: number; mean: number }>();

  /** Records a job of a queue with the given work in core milliseconds and returns its value. */
  recordJob(queue: string, work: number): number {
    let known = this.#queues.get(queue);
    if (known === undefined) this.#queues.set(queue, (known = { weight: 0, mean: 0 }));
    known.weight = known.weight * DECAY + 1;
    known.mean += (work - known.mean) / known.weight;
    return jobValue(work, known.mean);
  }
}

/** Value of a job that ends on time; grows with its work up to {@link MAX_VALUE}. */
export function jobValue(work: number, meanWork: number): number {
  const ratio = meanWork > 0 ? work / meanWork : 1;
  return Math.min(MAX_VALUE, BASE_VALUE + VALUE_OF_MEAN_WORK * ratio);
}
