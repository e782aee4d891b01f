/** Jobs as submitted by callers, independent of the platform's wire format. */

/**
 * Maximum number of tasks of one job over all its occurrences. The scheduler keeps state for each
 * task.
 */
export const MAX_TASKS_PER_JOB = 100_000;

/** Resources of a backend server, or a part of them. */
export interface Resources {
  /** Thousandths of a core. */
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** A step: identical tasks that may run in parallel. */
export interface StepSpec {
  /** Number of tasks. */
  readonly tasks: number;
  /** Declared demand of each task. */
  readonly demand: Resources;
  /** Estimated duration of a task in milliseconds. */
  readonly estimateMs: number;
  /** Indexes of the steps whose tasks must all be done before this step starts. */
  readonly after: readonly number[];
  /** Tasks save their progress, so that a later run can resume from it. */
  readonly checkpointing: boolean;
  /** Gang scheduling: tasks make progress only while all of them run, and they end together. */
  readonly gang: boolean;
  /** Tasks are slower if they are spread over more than one rack. */
  readonly sameRack: boolean;
  /** Label that the backend server must have; empty if none is required. */
  readonly requiredLabel: string;
  /** Rack that holds the input data; tasks on other racks are slower. Empty if there is none. */
  readonly dataRack: string;
  /** Maximum number of tasks of one occurrence on one backend server; 0 for no limit. */
  readonly maxPerServer: number;
  /** Several copies of a task may run at the same time. */
  readonly speculative: boolean;
  /** Tasks run until the job is cancelled, and are restarted whenever they end. */
  readonly longRunning: boolean;
  /** Image that the tasks run; empty if unknown. */
  readonly image: string;
  /** Target tail latency in ms of tasks that serve requests; 0 for none. */
  readonly targetLatencyMs: number;
  /** Tasks use only CPU time that other tasks leave idle, so their CPU demand is not reserved. */
  readonly filler: boolean;
  /** Number of tasks that planned maintenance may make unavailable at the same time. */
  readonly availabilityBudget: number;
}

/** Schedule on which the steps of a job repeat. */
export interface Schedule {
  readonly occurrences: number;
  /** Unix time of the first occurrence in milliseconds. */
  readonly firstAtMs: number;
  readonly intervalMs: number;
}

/** A job as submitted by a caller. */
export interface JobRequest {
  /** Passed to the backend servers unchanged. */
  readonly spec: string;
  readonly steps: readonly StepSpec[];
  readonly schedule: Schedule | undefined;
}

/** An accepted job. */
export interface JobSpec extends JobRequest {
  readonly id: string;
  readonly queue: string;
  /** Pool of the queue at acceptance, used if the queue is removed later. */
  readonly pool: string;
  /**
   * Failed attempts of a task that the queue allowed at acceptance, used if the queue is removed later.
   * Undefined for jobs that an earlier version accepted.
   */
  readonly maxAttempts?: number | undefined;
  /** Undefined on queues open to all. */
  readonly organisation: string | undefined;
  /** Unix time of acceptance in milliseconds. */
  readonly acceptedAtMs: number;
}

/** State of a job as reported to its caller. */
export type JobState = "queued" | "running" | "completed" | "failed" | "cancelled";

/** States after which a job does not change. */
export const FINAL_STATES: readonly JobState[] = ["completed", "failed", "cancelled"];

/** Identifies a task: its job and its position within the job. */
export interface TaskAddress {
  readonly job: string;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/** Formats the name of a task, which backend servers use. */
export function formatTaskName({ job, occurrence, step, index }: TaskAddress): string {
  return `${job}.${occurrence}.${step}.${index}`;
}

/** Formats the name of one occurrence of a step. */
export function formatStepName({ job, occurrence, step }: Omit<TaskAddress, "index">): string {
  return `${job}.${occurrence}.${step}`;
}

/** Parses the name of a task; undefined if it is malformed. */
export function parseTaskName(name: string): TaskAddress | undefined {
  const match = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/.exec(name);
  if (match === null) return undefined;
  const [, job = "", occurrence, step, index] = match;
  return { job, occurrence: Number(occurrence), step: Number(step), index: Number(index) };
}
