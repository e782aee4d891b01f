import type { Clock } from "../../../ports/clock.ts";
import type { BackendClock, EndedRun } from "../../../ports/job-backend.ts";
import type { Log } from "../../../ports/log.ts";
import { parseTaskName, type JobSpec } from "../../../protocol/job-spec.ts";
import type { Job, Task } from "../../../state/jobs/records/job.ts";
import { retryPauseMs } from "../../../state/jobs/scheduling/retry-policy.ts";
import type { DurationModels } from "../../../state/jobs/scheduling/duration-model.ts";
import type { ActiveRun, RunRegistry } from "../../../state/jobs/execution/run-registry.ts";
import { TailAssessment } from "../../../state/jobs/execution/tail-assessment.ts";
import type { FleetConfigView } from "../config-view.ts";
import type { JobRegistry } from "../records/job-registry.ts";
import type { ServerDriver } from "./server-driver.ts";

/** Maximum attempts for tasks whose queue is unknown, of jobs without a stored limit. */
const DEFAULT_MAX_ATTEMPTS = 1;

/** Options of {@link RunEndHandler}. */
export interface RunEndHandlerOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly runRegistry: RunRegistry;
  readonly durations: DurationModels;
  readonly jobRegistry: JobRegistry;
  readonly config: FleetConfigView;
  /** Removes a run that has ended. */
  readonly removeRun: (run: ActiveRun) => void;
  readonly stop: (run: ActiveRun) => void;
  readonly failJob: (job: Job) => void;
}

/** Updates tasks, jobs and server statistics when a backend server reports that runs have ended. */
export class RunEndHandler {
  readonly #options: RunEndHandlerOptions;
  readonly #tails: TailAssessment;

  constructor(options: RunEndHandlerOptions) {
    this.#options = options;
    this.#tails = new TailAssessment(options.runRegistry, options.durations);
  }

  /**
   * Processes an ended run that a backend server listed at the time `at`. Adds the job to `touched`
   * if its progress changes.
   */
  handle(driver: ServerDriver, ended: EndedRun, at: BackendClock, touched: Set<Job>): void {
    const run = this.#options.runRegistry.forTask(ended.task);
    if (run?.run === ended.run && run.server === driver.id)
      this.#activeRunEnded(driver, run, ended, at, touched);
    else if (ended.end === "done") this.#abandonedRunDone(ended, touched);
    else if (ended.end === "failed") this.#abandonedRunFailed(driver, ended, touched);
  }

  /** Returns the jobs that the ended runs belong to. */
  jobsOf(ended: readonly EndedRun[]): Iterable<Job> {
    const jobs = new Set<Job>();
    for (const { task } of ended) {
      const job = this.#findTask(task)?.job;
      if (job !== undefined) jobs.add(job);
    }
    return jobs;
  }

  /** True if the run was abandoned because the lease of its server was taken to have lapsed. */
  wasGivenUp(task: string, run: number): boolean {
    return this.#findTask(task)?.givenUpRuns.has(run) === true;
  }

  /** Stops the other members of a gang, because all members have to restart together. */
  stopGang(task: Task): void {
    if (!task.step.spec.gang || task.done) return;
    for (const member of task.step.tasks) {
      const run = this.#options.runRegistry.forTask(member.name);
      if (run !== undefined) this.#options.stop(run);
    }
  }

  #activeRunEnded(
    driver: ServerDriver,
    run: ActiveRun,
    ended: EndedRun,
    at: BackendClock,
    touched: Set<Job>,
  ): void {
    const { log, clock, removeRun } = this.#options;
    const { task } = run;
    const { job } = task;
    const now = clock.now();
    touched.add(job);
    if (ended.checkpoint !== "") task.checkpoint = ended.checkpoint;
    const level = ended.end === "done" ? "debug" : "info";
    log[level]({ task: task.name, run: run.run, server: driver.id, end: ended.end }, "run ended");
    removeRun(run);
    if (ended.end === "done") {
      driver.health.succeeded();
      this.#recordDuration(driver, run, at);
      this.#completeTask(task);
    } else if (ended.end === "failed") {
      driver.health.failed(job.spec.id, now);
      this.#recordFailure(task, driver.id);
    }
    this.stopGang(task);
  }

  /** Marks a task as done if its abandoned run completed after all, so that it is not repeated. */
  #abandonedRunDone(ended: EndedRun, touched: Set<Job>): void {
    const { log, runRegistry, stop } = this.#options;
    const task = this.#findTask(ended.task);
    if (task === undefined || task.done || task.run < ended.run) return;
    log.warn({ task: task.name, run: ended.run }, "abandoned run completed");
    const run = runRegistry.forTask(task.name);
    if (run !== undefined) stop(run);
    touched.add(task.job);
    this.#completeTask(task);
  }

  /** Counts an attempt for an abandoned run that failed while its server was unresponsive. */
  #abandonedRunFailed(driver: ServerDriver, ended: EndedRun, touched: Set<Job>): void {
    const task = this.#findTask(ended.task);
    // An ended run is listed until it is acknowledged, but must count only once.
    if (task?.givenUpRuns.delete(ended.run) !== true) return;
    this.#options.log.info({ task: task.name, run: ended.run }, "abandoned run failed");
    touched.add(task.job);
    this.#recordFailure(task, driver.id);
  }

  #completeTask(task: Task): void {
    const { clock, jobRegistry } = this.#options;
    const { job } = task;
    const tasks = task.step.spec.gang ? task.step.tasks : [task];
    for (const member of tasks) member.done = true;
    job.refreshState(clock.wallTime());
    if (!job.final) return;
    jobRegistry.jobEnded(job);
    const tookMs = Math.round(job.endedAtMs - job.spec.acceptedAtMs);
    this.#options.log.info({ job: job.spec.id, state: job.state, tookMs }, "job ended");
  }

  #recordFailure(task: Task, server: string): void {
    const { clock, log, failJob } = this.#options;
    const { job, step } = task;
    const tasks = step.spec.gang ? step.tasks : [task];
    for (const member of tasks) {
      member.failures++;
      // Long-running tasks restart at once, since every second that they do not run is lost.
      if (!step.spec.longRunning) member.notBefore = clock.now() + retryPauseMs(member.failures);
    }
    task.failedOn.add(server);
    const allowed = this.#maxAttempts(job.spec);
    if (step.spec.longRunning || task.failures < allowed || job.final) return;
    log.info({ task: task.name, failures: task.failures, allowed, server }, "task failed for good");
    failJob(job);
  }

  #maxAttempts(job: JobSpec): number {
    const queue = this.#options.config.queueOf(job);
    return queue?.maxAttempts ?? job.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
  }

  #findTask(name: string): Task | undefined {
    const address = parseTaskName(name);
    if (address === undefined) return undefined;
    const { job, occurrence, step, index } = address;
    return this.#options.jobRegistry.job(job)?.task(occurrence, step, index);
  }

  /** Records the duration of a run that was observed from its start. */
  #recordDuration(driver: ServerDriver, run: ActiveRun, { clockMs }: BackendClock): void {
    const { step } = run.task;
    const { estimateMs, longRunning, filler, gang } = step.spec;
    if (longRunning || filler || gang || estimateMs <= 0) return;
    // Runs from a checkpoint, or begun under another scheduler, were only observed in part.
    if (run.phase !== "running" || run.firstProgress?.percent !== 0) return;
    const tookMs = clockMs - run.firstProgress.clockMs;
    // On a cold server the duration says nothing about the queue or the speed of the warm server.
    if (tookMs <= 0 || run.slowdown > 1) return;
    const { clock, durations } = this.#options;
    const ratio = this.#tails.runEnded(run, tookMs, driver);
    if (ratio !== undefined) driver.speed.observe(ratio, clock.now());
    step.durations.push({ server: run.server, tookMs, nearData: run.nearData });
    if (run.nearData) durations.forQueue(step.job.spec.queue).observe(estimateMs, tookMs);
  }
}
