/** What is observed of runs on the stand-in workers. */

/** How a run ended, as a worker lists it; `crashed` if the worker ended with it. */
export type RunEnd = "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone" | "crashed";

/** One run of a task, kept for the judgement of the case. Times are `performance.now()`. */
export interface ObservedRun {
  readonly task: string;
  readonly run: number;
  readonly worker: string;
  readonly checkpoint: string;
  readonly startedAt: number;
  endedAt: number | undefined;
  end: RunEnd | undefined;
  /** Time at which `lastSeen` reached the end. */
  notedAt: number | undefined;
  /** True if the worker's lease lapsed after the end and before it was noted. */
  lapsedUnnoted: boolean;
}

/** Bounds of the settings that a worker applies. */
export interface WorkerBounds {
  readonly holdMaxMs: number;
  readonly stopTimeoutMs: number;
  readonly gangTimeoutMs: number;
  readonly checkpointMs: number;
  readonly restoreMs: number;
}

/**
 * What becomes of an order: it is carried out and answered, carried out without an answer, carried
 * out without an answer after a time in ms, lost, or refused by an unhealthy worker.
 */
export type OrderFate = "answered" | "unanswered" | "lost" | "refused" | number;
