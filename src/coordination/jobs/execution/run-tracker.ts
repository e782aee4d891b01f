import type { Clock } from "../../../ports/clock.ts";
import type { RunLists } from "../../../ports/job-backend.ts";
import type { Log } from "../../../ports/log.ts";
import type { RegisteredServer } from "../../../protocol/fleet-config.ts";
import type { PlacementRecord } from "../../../protocol/job-records.ts";
import type { Job, Task } from "../../../state/jobs/records/job.ts";
import { pollWaitMs } from "../../../state/jobs/execution/poll-wait.ts";
import { reconcile } from "../../../state/jobs/execution/reconciliation.ts";
import type { DurationModels } from "../../../state/jobs/scheduling/duration-model.ts";
import {
  RunRegistry,
  type ActiveRun,
  type RunPhase,
} from "../../../state/jobs/execution/run-registry.ts";
import type { Counters } from "../../ports.ts";
import type { PlacementTicketCache } from "../scheduling/placement-ticket-cache.ts";
import type { FleetConfigView } from "../config-view.ts";
import { FillerPacer } from "./filler-pacer.ts";
import type { JobRegistry } from "../records/job-registry.ts";
import { MAX_LISTED_ENDS } from "./order-timing.ts";
import { coldSlowdown } from "../../../state/jobs/execution/cold-start.ts";
import { newRun, recordListed } from "../../../state/jobs/execution/run-progress.ts";
import type { TenureHistory } from "../../../state/jobs/election/tenure-history.ts";
import type { ProgressWriter } from "../records/progress-writer.ts";
import type { LockTenure } from "../election/scheduler-lock.ts";
import { RecordedLeases } from "./recorded-leases.ts";
import { LostRuns, type LossReason } from "./lost-runs.ts";
import { RunStarter } from "./run-starter.ts";
import { RunStopper } from "./run-stopper.ts";
import { RunEndHandler } from "./run-end-handler.ts";
import { StragglerDetector } from "./straggler-detector.ts";
import { DriverListener } from "./driver-listener.ts";
import type { ServerDriver } from "./server-driver.ts";

/** Options of {@link RunTracker}. */
export interface RunTrackerOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly tenure: LockTenure;
  readonly jobRegistry: JobRegistry;
  readonly writer: ProgressWriter;
  readonly config: FleetConfigView;
  readonly counters: Counters;
  readonly durations: DurationModels;
  readonly ticketCache: PlacementTicketCache;
  readonly driver: (server: string) => ServerDriver | undefined;
  /** Called with the registration of a backend server, changed to a boot that was not registered yet. */
  readonly serverRebooted: (registration: RegisteredServer) => void;
  /** Called when further tasks may be placed. */
  readonly requestRound: () => void;
  readonly leaseTtlMs: number;
  /** Longest lease in ms that a backend server accepts, whatever deadline an order carries. */
  readonly maxServerLeaseMs: number;
  /** Tenures that this process has seen. */
  readonly formerTenures: TenureHistory;
  /** Monotonic time in ms at which this scheduler took over. */
  readonly takenOverAt: number;
  /** Bandwidth of this entry instance's network link, in bytes per millisecond. */
  readonly linkBytesPerMs: number;
}

/** Tracks every run from its recorded placement to its recorded end. */
export class RunTracker extends DriverListener {
  readonly runRegistry = new RunRegistry();
  readonly starter: RunStarter;
  readonly lostRuns: LostRuns;
  readonly recordedLeases: RecordedLeases;
  readonly #stopper: RunStopper;
  readonly #pacer: FillerPacer;
  readonly #ends: RunEndHandler;
  readonly #stragglers: StragglerDetector;
  readonly #options: RunTrackerOptions;

  constructor(options: RunTrackerOptions) {
    super();
    this.#options = options;
    const { runRegistry } = this;
    this.recordedLeases = new RecordedLeases({ ...options, runRegistry });
    const notStarted = (run: ActiveRun): void => {
      this.#release(run, "not-started");
    };
    this.starter = new RunStarter({
      ...{ ...options, runRegistry },
      setPhase: (run, phase) => {
        this.#setPhase(run, phase);
      },
      notStarted,
    });
    this.#stopper = new RunStopper({ ...options, notStarted });
    const stop = (run: ActiveRun): void => {
      this.#stopper.stop(run);
    };
    this.lostRuns = new LostRuns({
      ...{ ...options, runRegistry },
      repeatStop: (run) => {
        this.#stopper.repeat(run);
      },
      release: (run, reason) => {
        this.#release(run, reason);
      },
    });
    this.#pacer = new FillerPacer({ ...options, runRegistry });
    this.#stragglers = new StragglerDetector({ ...options, runRegistry, stop });
    this.#ends = new RunEndHandler({
      ...{ ...options, runRegistry, stop },
      removeRun: (run) => {
        this.#removeRun(run);
      },
      failJob: (job) => void this.endJob(job, "failed"),
    });
  }

  /** Adds the runs of a job that a previous scheduler recorded. */
  inheritRuns(job: Job): void {
    for (const task of job.tasks()) {
      if (task.placement === undefined) continue;
      const { server } = task.placement;
      const run = this.#add(task, task.placement, "inherited");
      const driver = this.#options.driver(server);
      if (driver !== undefined) this.lostRuns.releaseOrMove(run, driver.bootedAt);
      if (job.final) this.#stopper.stop(run);
    }
  }

  /** Places a task on a backend server. No order is sent before {@link launch}. */
  place(task: Task, driver: ServerDriver): ActiveRun {
    task.run++;
    task.placement = { server: driver.id, bootedAt: driver.bootedAt, leaseAsGranted: false };
    const run = this.#add(task, task.placement, "recording");
    this.starter.reserve(run);
    return run;
  }

  /** Undoes a placement before {@link launch}. */
  undoPlacement(run: ActiveRun): void {
    this.runRegistry.remove(run);
    this.starter.cancel(run);
    run.task.run--;
    run.task.placement = undefined;
  }

  /** Stores the placements of a job, then sends the start orders. */
  async launch(job: Job, runs: readonly ActiveRun[]): Promise<void> {
    job.refreshState(this.#options.clock.wallTime());
    const stored = await this.#options.writer.save(job);
    if (!stored) return;
    this.#logStarts(job, runs);
    for (const run of runs) {
      // The job may have been cancelled while its placements were being stored.
      const due = run.phase === "recording" && this.runRegistry.forTask(run.task.name) === run;
      if (due) void this.starter.start(run);
    }
  }

  #logStarts(job: Job, runs: readonly ActiveRun[]): void {
    const tasks = runs.map(({ task, run, server }) => `${task.name}#${run}@${server}`);
    const waitedMs = Math.round(this.#options.clock.wallTime() - job.spec.acceptedAtMs);
    this.#options.log.info({ job: job.spec.id, tasks, waitedMs }, "tasks are started");
  }

  /** Ends a job and stops its runs. Resolves true once the state is stored, false without lock. */
  async endJob(job: Job, state: "cancelled" | "failed"): Promise<boolean> {
    const { clock, writer, jobRegistry, log } = this.#options;
    log.info({ job: job.spec.id, state, before: job.state }, "job ended");
    job.finish(state, clock.wallTime());
    jobRegistry.jobEnded(job);
    this.#stopAll(job);
    return writer.save(job);
  }

  /** Stops a running run for a reason other than the end of its job. */
  stop(run: ActiveRun): void {
    if (run.phase === "running") this.#stopper.stop(run);
  }

  hasRuns(server: string): boolean {
    return this.runRegistry.countOn(server) > 0;
  }

  pollWait(server: string): number {
    const { clock, durations } = this.#options;
    return pollWaitMs(this.runRegistry.runsOn(server), clock.now(), durations);
  }

  async listsRead(driver: ServerDriver, lists: RunLists, askedAt: number): Promise<boolean> {
    const touched = new Set<Job>();
    for (const ended of lists.ended) this.#ends.handle(driver, ended, lists, touched);
    this.#reconcile(driver, lists, askedAt, touched);
    this.#pacer.adjustPace(driver);
    if (touched.size > 0) this.#options.requestRound();
    const { writer } = this.#options;
    if (lists.ended.length === 0 && touched.size === 0) return true;
    const stored = [...touched].map((job) => writer.save(job));
    for (const job of this.#ends.jobsOf(lists.ended))
      if (!touched.has(job)) stored.push(writer.waitForPendingWrite(job));
    return (await Promise.all(stored)).every(Boolean);
  }

  rebooted(driver: ServerDriver, bootedAt: number): void {
    this.#options.serverRebooted({ ...driver.registration, bootedAt });
  }

  serverGone(driver: ServerDriver): void {
    driver.close();
    this.lostRuns.serverGone(driver);
  }

  checkLeases(driver: ServerDriver): void {
    this.lostRuns.checkLeases(driver);
  }

  /** Restarts runs that hang or are stragglers. */
  restartStragglers(): void {
    this.#stragglers.stopStragglers();
  }

  fenced(): void {
    this.#options.log.warn(
      { token: this.#options.tenure.token },
      "fenced off: a newer scheduler sends orders",
    );
    this.#options.tenure.end();
  }

  #add(task: Task, placement: PlacementRecord, phase: RunPhase): ActiveRun {
    const { clock, driver } = this.#options;
    const { registration, coldness } = driver(placement.server) ?? {};
    const since = clock.now();
    const { server, bootedAt, leaseAsGranted, leaseDoubt } = placement;
    const run = newRun(task, {
      ...{ server, bootedAt, confirmed: leaseAsGranted || leaseDoubt !== undefined },
      leaseDoubtedUntil: this.recordedLeases.doubtedUntil(placement),
      ...{ phase, since, coldness, rack: registration?.rack },
    });
    this.runRegistry.add(run);
    return run;
  }

  #reconcile(driver: ServerDriver, lists: RunLists, askedAt: number, touched: Set<Job>): void {
    const found = reconcile(this.runRegistry.runsOn(driver.id), lists, askedAt);
    this.recordedLeases.applyTo(driver);
    for (const [run, listed] of found.present) {
      recordListed(run, listed, lists, askedAt);
      this.recordedLeases.record(run, driver);
      // An inherited run may have been added before its server's registration was read.
      if (run.phase === "inherited") run.slowdown = coldSlowdown(driver.coldness);
      if (run.phase === "unconfirmed" || run.phase === "inherited") this.#setPhase(run, "running");
      // The stop had no effect, or the server was not yet registered when it was ordered.
      else if (run.phase === "stopping" && run.since < askedAt) this.#stopper.repeat(run);
    }
    for (const run of found.missing) this.#stopper.stop(run);
    for (const { task, run } of found.unknown) this.#stopUnknown(driver, task, run);
    // A truncated list may lack the ends of runs that are not listed as running.
    if (lists.ended.length >= MAX_LISTED_ENDS) return;
    for (const run of found.vanished) {
      this.#options.log.info(
        { task: run.task.name, run: run.run, phase: run.phase },
        "run is over",
      );
      this.#removeRun(run);
      this.#ends.stopGang(run.task);
      touched.add(run.task.job);
    }
  }

  #stopUnknown(driver: ServerDriver, task: string, run: number): void {
    const own = this.runRegistry.forTask(task);
    if (own?.server === driver.id && own.run >= run) return;
    const { log, counters } = this.#options;
    log.warn({ server: driver.id, task, run }, "stopping an unknown run");
    if (this.#ends.wasGivenUp(task, run)) {
      log.warn({ server: driver.id, task, run }, "abandoned run is still active");
      counters.event("abandoned_run_active");
    }
    void driver.stop(task, run);
  }

  #stopAll(job: Job): void {
    for (const task of job.tasks()) {
      const run = this.runRegistry.forTask(task.name);
      if (run !== undefined) this.#stopper.stop(run);
    }
  }

  /** Removes a run that is certainly not running; its task is queued again. */
  #release(run: ActiveRun, reason: ReleaseReason): void {
    const { log, writer, requestRound } = this.#options;
    const { task } = run;
    if (reason === "lapsed") task.givenUpRuns.add(run.run);
    log.debug({ task: task.name, run: run.run, server: run.server, reason }, "run released");
    this.#removeRun(run);
    this.#ends.stopGang(task);
    void writer.save(task.job);
    requestRound();
  }

  #removeRun(run: ActiveRun): void {
    this.runRegistry.remove(run);
    if (run.phase === "recording") this.starter.cancel(run);
    if (run.task.run === run.run) run.task.placement = undefined;
    run.task.lastRunEndedAt = this.#options.clock.now();
    this.#options.driver(run.server)?.requestPoll();
  }

  #setPhase(run: ActiveRun, phase: RunPhase): void {
    run.phase = phase;
    run.since = this.#options.clock.now();
  }
}

type ReleaseReason = "not-started" | LossReason;
