import {
  encodeProgressRows,
  type JobProgressRecord,
  type TaskProgressRecord,
} from "../../../protocol/job-records.ts";
import {
  FINAL_STATES,
  type JobSpec,
  type JobState,
  type StepSpec,
} from "../../../protocol/job-spec.ts";
import { Task, type TaskDuration } from "./task.ts";

export type { Task } from "./task.ts";

/** One occurrence of a step. */
export class StepRun {
  readonly job: Job;
  readonly occurrence: number;
  readonly position: number;
  readonly spec: StepSpec;
  readonly tasks: readonly Task[];
  /** Monotonic time in ms at which the step was first found ready; undefined before. */
  readyAt: number | undefined;
  /** Durations of the step's tasks that were measured from start to end. */
  readonly durations: TaskDuration[] = [];
  #openTasks: number;
  #waitingTasks: number;

  constructor(job: Job, occurrence: number, position: number, spec: StepSpec) {
    this.job = job;
    this.occurrence = occurrence;
    this.position = position;
    this.spec = spec;
    this.tasks = Array.from({ length: spec.tasks }, (_, index) => new Task(this, index));
    this.#openTasks = spec.tasks;
    this.#waitingTasks = spec.tasks;
  }

  get done(): boolean {
    return this.#openTasks === 0;
  }

  /** Number of tasks that are not done. */
  get openTasks(): number {
    return this.#openTasks;
  }

  /** Number of tasks that wait for their start. */
  get waitingTasks(): number {
    return this.#waitingTasks;
  }

  /** True if a task waits for its start. */
  get hasWaitingTasks(): boolean {
    return this.#waitingTasks > 0;
  }

  /** Updates the counts after a task changed. */
  taskChanged(openChange: number, waitingChange: number): void {
    const { done, hasWaitingTasks } = this;
    this.#openTasks += openChange;
    this.#waitingTasks += waitingChange;
    if (done !== this.done) this.job.stepsChanged();
    else if (hasWaitingTasks !== this.hasWaitingTasks) this.job.waitingChanged();
  }
}

/** One occurrence of a job with all its steps. */
export interface Occurrence {
  readonly number: number;
  /** Unix time in ms from which the occurrence may begin. */
  readonly releasedAtMs: number;
  readonly steps: readonly StepRun[];
}

/** A job and its progress, as the scheduler knows it. */
export class Job {
  readonly spec: JobSpec;
  state: JobState = "queued";
  endedAtMs = 0;
  /** Revision of the stored progress; 0 if there is none. */
  revision = 0;
  readonly occurrences: Occurrence[] = [];
  /** Number of tasks that were ever started. */
  #startedTasks = 0;
  /** Steps as returned by {@link activeSteps} and {@link readySteps}; undefined after a change. */
  #activeSteps: readonly StepRun[] | undefined;
  #readySteps: readonly StepRun[] | undefined;

  constructor(spec: JobSpec) {
    this.spec = spec;
    if (spec.schedule === undefined) this.#addOccurrence(0, spec.acceptedAtMs);
  }

  get final(): boolean {
    return this.state !== "queued" && this.state !== "running" && FINAL_STATES.includes(this.state);
  }

  /** Adds the occurrences that are due at the given Unix time in ms. */
  release(wallTimeMs: number): void {
    const { schedule } = this.spec;
    if (schedule === undefined || this.final) return;
    while (this.occurrences.length < schedule.occurrences) {
      const dueAt = schedule.firstAtMs + this.occurrences.length * schedule.intervalMs;
      if (dueAt > wallTimeMs) return;
      this.#addOccurrence(this.occurrences.length, dueAt);
    }
  }

  /** Unix time in ms at which the next occurrence is due; undefined if none is left. */
  nextRelease(): number | undefined {
    const { schedule } = this.spec;
    if (schedule === undefined || this.occurrences.length >= schedule.occurrences) return undefined;
    return schedule.firstAtMs + this.occurrences.length * schedule.intervalMs;
  }

  /** Steps that have waiting tasks and whose earlier steps are all done. */
  readySteps(): readonly StepRun[] {
    if (this.final) return [];
    return (this.#readySteps ??= this.activeSteps().filter((step) => step.hasWaitingTasks));
  }

  /** Steps that are not done and whose earlier steps are all done. */
  activeSteps(): readonly StepRun[] {
    return (this.#activeSteps ??= this.occurrences.flatMap(({ steps }) =>
      steps.filter(
        (step) => !step.done && step.spec.after.every((position) => steps[position]?.done === true),
      ),
    ));
  }

  /** Notes that a step has become done, or is no longer done. */
  stepsChanged(): void {
    this.#activeSteps = undefined;
    this.#readySteps = undefined;
  }

  /** Notes that a step got its first waiting task or has none any more. */
  waitingChanged(): void {
    this.#readySteps = undefined;
  }

  /** Notes that a task was started for the first time (1), or that this was undone (-1). */
  countStarted(change: 1 | -1): void {
    this.#startedTasks += change;
  }

  /** Every task of the occurrences that are due. */
  *tasks(): Iterable<Task> {
    for (const { steps } of this.occurrences) {
      for (const { tasks } of steps) yield* tasks;
    }
  }

  task(occurrence: number, step: number, index: number): Task | undefined {
    return this.occurrences[occurrence]?.steps[step]?.tasks[index];
  }

  /** True if no task was ever started. */
  get neverStarted(): boolean {
    return this.#startedTasks === 0;
  }

  /** Derives the state of the job from its tasks, unless the state is final. */
  refreshState(wallTimeMs: number): void {
    if (this.final) return;
    const { schedule } = this.spec;
    const all = this.occurrences.length === (schedule?.occurrences ?? 1);
    const done = all && this.occurrences.every(({ steps }) => steps.every((step) => step.done));
    if (done) this.finish("completed", wallTimeMs);
    else this.state = this.neverStarted ? "queued" : "running";
  }

  /** Ends the job with the given state. */
  finish(state: JobState, wallTimeMs: number): void {
    this.state = state;
    this.endedAtMs = wallTimeMs;
  }

  /** Returns the progress in the form in which it is stored. */
  toRecord(): JobProgressRecord {
    const tasks: TaskProgressRecord[] = [];
    for (const task of this.tasks()) {
      const record = task.toRecord();
      if (record !== undefined) tasks.push(record);
    }
    return { state: this.state, tasks, endedAtMs: this.endedAtMs };
  }

  /** Returns the encoded progress. Only tasks that changed since the last call are encoded again. */
  encodeProgress(): Uint8Array {
    const rows: Uint8Array[] = [];
    for (const { steps } of this.occurrences) {
      for (const { tasks } of steps) {
        for (const task of tasks) {
          const row = task.encodedProgress();
          if (row !== undefined) rows.push(row);
        }
      }
    }
    return encodeProgressRows(this.state, this.endedAtMs, rows);
  }

  /** Restores stored progress. `revision` is the revision of the record. */
  restore(record: JobProgressRecord, revision: number): void {
    this.revision = revision;
    this.endedAtMs = record.endedAtMs;
    for (const stored of record.tasks) {
      while (this.occurrences.length <= stored.occurrence) {
        const { schedule } = this.spec;
        const number = this.occurrences.length;
        const dueAt = (schedule?.firstAtMs ?? 0) + number * (schedule?.intervalMs ?? 0);
        this.#addOccurrence(number, dueAt);
      }
      const task = this.task(stored.occurrence, stored.step, stored.index);
      if (task === undefined) continue;
      const { run, done, failures, checkpoint, placement } = stored;
      Object.assign(task, { run, done, failures, checkpoint, placement });
      for (const abandoned of stored.givenUpRuns) task.givenUpRuns.add(abandoned);
    }
    this.state = record.state;
  }

  #addOccurrence(number: number, releasedAtMs: number): void {
    const steps = this.spec.steps.map((spec, index) => new StepRun(this, number, index, spec));
    this.occurrences.push({ number, releasedAtMs, steps });
    this.stepsChanged();
  }
}
