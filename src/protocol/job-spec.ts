/** Jobs as callers hand them in, in the product's terms. */

/** Most tasks of one job, all occurrences counted: a scheduler keeps state for each of them. */
export const MAX_TASKS_PER_JOB = 100_000;

/** An amount of the capacity of a backend server. */
export interface Resources {
  /** Thousandths of a core. */
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** A step: equal tasks that may run in parallel. */
export interface StepSpec {
  /** Number of tasks. */
  readonly tasks: number;
  /** Declared demand of each task. */
  readonly demand: Resources;
  /** Rough duration of a task in milliseconds. */
  readonly estimateMs: number;
  /** Positions of the steps whose tasks must all be done before. */
  readonly after: readonly number[];
  /** Tasks save their progress, so that a later run may resume. */
  readonly checkpointing: boolean;
  /** Tasks work only while all of them are present, and end together. */
  readonly gang: boolean;
  /** Tasks are slower if they run on more than one rack. */
  readonly sameRack: boolean;
  /** Label that the backend server must have; empty if none. */
  readonly requiredLabel: string;
  /** Rack of the data, elsewhere tasks are slower; empty if none. */
  readonly dataRack: string;
  /** Most tasks of one occurrence on one backend server; 0 for no limit. */
  readonly maxPerServer: number;
  /** Copies of a task may run at the same time. */
  readonly speculative: boolean;
  /** Tasks run until the job is cancelled and are restarted however they end. */
  readonly longRunning: boolean;
  /** What the tasks run; empty if unknown. */
  readonly image: string;
  /** Bound in ms of the tail latency of serving tasks; 0 for none. */
  readonly targetLatencyMs: number;
  /** Tasks use what others leave, so their processor demand does not count. */
  readonly filler: boolean;
  /** Number of tasks that may be unavailable at the same time through planned work. */
  readonly availabilityBudget: number;
}

/** Repetition of a job's steps by the clock. */
export interface Schedule {
  readonly occurrences: number;
  /** Unix time of the first occurrence in milliseconds. */
  readonly firstAtMs: number;
  readonly intervalMs: number;
}

/** What a caller hands in. */
export interface JobRequest {
  /** Passed on to the backend servers unchanged. */
  readonly spec: string;
  readonly steps: readonly StepSpec[];
  readonly schedule: Schedule | undefined;
}

/** An accepted job. */
export interface JobSpec extends JobRequest {
  readonly id: string;
  readonly queue: string;
  /** Pool of the queue at acceptance, for a queue that is removed later. */
  readonly pool: string;
  /** Undefined on queues open to all. */
  readonly organisation: string | undefined;
  /** Unix time of acceptance in milliseconds. */
  readonly acceptedAtMs: number;
  /** Peer address of the entry instance that accepted it. */
  readonly acceptedBy?: string;
}

/** State of a job as its caller sees it. */
export type JobState = "queued" | "running" | "completed" | "failed" | "cancelled";

/** States that never change again. */
export const FINAL_STATES: readonly JobState[] = ["completed", "failed", "cancelled"];

/** Address of a task within its job. */
export interface TaskAddress {
  readonly job: string;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/** Name of a task on its backend server. */
export function formatTaskName({ job, occurrence, step, index }: TaskAddress): string {
  return `${job}.${occurrence}.${step}.${index}`;
}

/** Name of one occurrence of a step. */
export function formatStepName({ job, occurrence, step }: Omit<TaskAddress, "index">): string {
  return `${job}.${occurrence}.${step}`;
}

/** Reads the name of a task; undefined if it is none. */
export function parseTaskName(name: string): TaskAddress | undefined {
  const match = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/.exec(name);
  if (match === null) return undefined;
  const [, job = "", occurrence, step, index] = match;
  return { job, occurrence: Number(occurrence), step: Number(step), index: Number(index) };
}
