import type {
  PlacementRecord,
  JobProgressRecord,
  TaskProgressRecord,
} from "../../../protocol/job-records.ts";
import {
  FINAL_STATES,
  formatTaskName,
  type JobSpec,
  type JobState,
  type StepSpec,
} from "../../../protocol/job-spec.ts";

/** One task of one occurrence of a job. */
export class Task {
  readonly step: StepRun;
  readonly index: number;
  readonly name: string;
  /** Highest run number that was ordered. */
  run = 0;
  done = false;
  failures = 0;
  checkpoint = "";
  /** Placement of a run that may be active; undefined if none can be. */
  placement: PlacementRecord | undefined;
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

  constructor(step: StepRun, index: number) {
    this.step = step;
    this.index = index;
    const { job, occurrence, position } = step;
    this.name = formatTaskName({ job: job.spec.id, occurrence, step: position, index });
  }

  get job(): Job {
    return this.step.job;
  }

  /** True if the task should be started once its step is ready. */
  get waiting(): boolean {
    return !this.done && this.placement === undefined;
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

  constructor(job: Job, occurrence: number, position: number, spec: StepSpec) {
    this.job = job;
    this.occurrence = occurrence;
    this.position = position;
    this.spec = spec;
    this.tasks = Array.from({ length: spec.tasks }, (_, index) => new Task(this, index));
  }

  get done(): boolean {
    return this.tasks.every((task) => task.done);
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

  constructor(spec: JobSpec) {
    this.spec = spec;
    if (spec.schedule === undefined) this.#addOccurrence(0, spec.acceptedAtMs);
  }

  get final(): boolean {
    return FINAL_STATES.includes(this.state);
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
  *readySteps(): Iterable<StepRun> {
    if (this.final) return;
    for (const step of this.activeSteps()) if (step.tasks.some((task) => task.waiting)) yield step;
  }

  /** Steps that are not done and whose earlier steps are all done. */
  *activeSteps(): Iterable<StepRun> {
    for (const { steps } of this.occurrences) {
      for (const step of steps) {
        if (step.done) continue;
        if (step.spec.after.every((position) => steps[position]?.done === true)) yield step;
      }
    }
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
    for (const task of this.tasks()) if (task.run > 0) return false;
    return true;
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
      if (task.run === 0 && !task.done) continue;
      const { run, done, failures, checkpoint, placement, index, step } = task;
      const { occurrence, position } = step;
      const givenUpRuns = [...task.givenUpRuns];
      tasks.push({
        ...{ occurrence, step: position, index, run, done, failures, checkpoint },
        ...{ placement, givenUpRuns },
      });
    }
    return { state: this.state, tasks, endedAtMs: this.endedAtMs };
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
  }
}
