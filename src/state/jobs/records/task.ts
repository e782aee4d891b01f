import {
  encodeTaskRow,
  type PlacementRecord,
  type TaskProgressRecord,
} from "../../../protocol/job-records.ts";
import { formatTaskName } from "../../../protocol/job-spec.ts";
import type { Job, StepRun } from "./job.ts";

/** One task of one occurrence of a job. */
export class Task {
  readonly step: StepRun;
  readonly index: number;
  readonly name: string;
  /** Monotonic time in ms before which the task is not started again. */
  notBefore = 0;
  /** Number of runs that were stopped as stragglers. */
  slowRestarts = 0;
  /** Monotonic time in ms at which the last run of the task ended. */
  lastRunEndedAt = -Infinity;
  /** Runs that were abandoned when the lease of their unresponsive backend server had lapsed. */
  readonly givenUpRuns = new Set<number>();
  /** Backend servers on which a run of this task failed or was a straggler. */
  readonly failedOn = new Set<string>();
  #run = 0;
  #done = false;
  #failures = 0;
  #checkpoint = "";
  #placement: PlacementRecord | undefined;
  #encodedRow: Uint8Array | undefined;

  constructor(step: StepRun, index: number) {
    this.step = step;
    this.index = index;
    const { job, occurrence, position } = step;
    this.name = formatTaskName({ job: job.spec.id, occurrence, step: position, index });
  }

  get job(): Job {
    return this.step.job;
  }

  /** Highest run number that was ordered. */
  get run(): number {
    return this.#run;
  }

  set run(run: number) {
    if (run > 0 !== this.#run > 0) this.step.job.countStarted(run > 0 ? 1 : -1);
    this.#run = run;
    this.#encodedRow = undefined;
  }

  get done(): boolean {
    return this.#done;
  }

  set done(done: boolean) {
    if (done === this.#done) return;
    const before = this.waiting;
    this.#done = done;
    this.#encodedRow = undefined;
    this.step.taskChanged(done ? -1 : 1, Number(this.waiting) - Number(before));
  }

  get failures(): number {
    return this.#failures;
  }

  set failures(failures: number) {
    this.#failures = failures;
    this.#encodedRow = undefined;
  }

  get checkpoint(): string {
    return this.#checkpoint;
  }

  set checkpoint(checkpoint: string) {
    if (checkpoint === this.#checkpoint) return;
    this.#checkpoint = checkpoint;
    this.#encodedRow = undefined;
  }

  /** Placement of a run that may be active; undefined if none can be. */
  get placement(): PlacementRecord | undefined {
    return this.#placement;
  }

  set placement(placement: PlacementRecord | undefined) {
    const before = this.waiting;
    this.#placement = placement;
    this.#encodedRow = undefined;
    this.step.taskChanged(0, Number(this.waiting) - Number(before));
  }

  /** True if the task should be started once its step is ready. */
  get waiting(): boolean {
    return !this.#done && this.#placement === undefined;
  }

  /** Stored progress of the task; undefined if it never started. */
  toRecord(): TaskProgressRecord | undefined {
    if (this.#run === 0 && !this.#done) return undefined;
    return {
      occurrence: this.step.occurrence,
      step: this.step.position,
      index: this.index,
      run: this.#run,
      done: this.#done,
      failures: this.#failures,
      checkpoint: this.#checkpoint,
      placement: this.#placement,
      givenUpRuns: [...this.givenUpRuns],
    };
  }

  /** Encoded progress of the task, kept until it changes; undefined if the task never started. */
  encodedProgress(): Uint8Array | undefined {
    // The set of abandoned runs can change without notice, so rows with such runs are not kept.
    if (this.#encodedRow !== undefined && this.givenUpRuns.size === 0) return this.#encodedRow;
    const record = this.toRecord();
    if (record === undefined) return undefined;
    const encoded = encodeTaskRow(record);
    this.#encodedRow = this.givenUpRuns.size === 0 ? encoded : undefined;
    return encoded;
  }
}

/** Measured duration of a task and where it ran. */
export interface TaskDuration {
  /** Id of the backend server that the task ran on. */
  readonly server: string;
  readonly tookMs: number;
  /** True if the task ran on the rack of its data. */
  readonly nearData: boolean;
}
