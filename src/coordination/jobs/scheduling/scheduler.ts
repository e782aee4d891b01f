import type { Clock } from "../../../ports/clock.ts";
import type { JobBackendConnector } from "../../../ports/job-backend.ts";
import type { Log } from "../../../ports/log.ts";
import type { PlacementAdvisor } from "../../../ports/placement-advisor.ts";
import type { Random } from "../../../ports/random.ts";
import type { RecordStore } from "../../../ports/record-store.ts";
import type { RegisteredServer } from "../../../protocol/fleet-config.ts";
import type { WrittenRecord } from "../../../protocol/peer-messages.ts";
import { JOBS_PREFIX, PROGRESS_PREFIX } from "../../../protocol/job-records.ts";
import type { Job } from "../../../state/jobs/records/job.ts";
import { DurationModels } from "../../../state/jobs/scheduling/duration-model.ts";
import { StepPlanner } from "../../../state/jobs/scheduling/step-planner.ts";
import { RetryBudgets } from "../../../state/jobs/scheduling/retry-policy.ts";
import type { TenureHistory } from "../../../state/jobs/election/tenure-history.ts";
import { WaitReasons } from "../../../state/jobs/scheduling/wait-reasons.ts";
import type { Counters } from "../../ports.ts";
import type { FleetConfigView } from "../config-view.ts";
import { PlacementTicketCache } from "./placement-ticket-cache.ts";
import { DrainingEvacuator } from "../fleet/draining-evacuator.ts";
import { EvacuationGuard } from "../fleet/evacuation-guard.ts";
import { FleetDrivers } from "../fleet/fleet-drivers.ts";
import { LongTaskSpreader } from "../fleet/long-task-spreader.ts";
import { ZoneEvacuator } from "../fleet/zone-evacuator.ts";
import { JobRegistry } from "../records/job-registry.ts";
import type { ServerRegistry } from "../job-feeds.ts";
import { PlacementRound } from "./placement-round.ts";
import { ProgressWriter } from "../records/progress-writer.ts";
import { LearntRecordKeeper } from "../records/learnt-record-keeper.ts";
import { TenureAgeKeeper } from "../records/tenure-age-keeper.ts";
import { RecordFollower } from "../records/record-follower.ts";
import { RunTracker } from "../execution/run-tracker.ts";
import type { LockTenure } from "../election/scheduler-lock.ts";
import { SchedulerLoad } from "./scheduler-load.ts";
import { TaskRelocator } from "./task-relocator.ts";
import { ServerDriver } from "../execution/server-driver.ts";

/** Changes within this time in ms are handled by the same placement round. */
const ROUND_DELAY_MS = 3;
/**
 * A round is followed by a pause of this multiple of its duration, so that long rounds don't delay
 * orders and lease renewals.
 */
const ROUND_PAUSE_FACTOR = 3;
const MAX_ROUND_PAUSE_MS = 60;
/** Interval in ms of rounds without a change, for delays that end and occurrences that fall due. */
const IDLE_ROUND_INTERVAL_MS = 100;
const READ_RETRY_MS = 100;

/** Options of {@link Scheduler}. */
export interface SchedulerOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly counters: Counters;
  readonly tenure: LockTenure;
  /** Tenures that this process has seen. */
  readonly formerTenures: TenureHistory;
  readonly config: FleetConfigView;
  readonly registry: ServerRegistry;
  readonly connector: JobBackendConnector;
  readonly advisor: PlacementAdvisor;
  /** Time to live of the leases granted to backend servers, in milliseconds. */
  readonly leaseTtlMs: number;
  /** Longest lease in ms that a backend server accepts, whatever deadline an order carries. */
  readonly maxServerLeaseMs: number;
  /** Maximum time in ms until no task starts in an evacuated availability zone. */
  readonly evacuateMs: number;
  /** Bandwidth of this entry instance's network link, in bytes per millisecond. */
  readonly linkBytesPerMs: number;
  /** Time in ms after a takeover during which no run is interrupted. */
  readonly takeoverPauseMs: number;
}

/**
 * Schedules all jobs during one tenure of the lock. Its state is rebuilt from the store and the
 * backend servers at the beginning of each tenure, and discarded at the end.
 */
export class Scheduler {
  readonly jobRegistry: JobRegistry;
  readonly drivers: FleetDrivers;
  readonly tracker: RunTracker;
  readonly relocator: TaskRelocator;
  readonly writer: ProgressWriter;
  /** Cores of each pool once it has the size that its demand requires. Empty if instances don't move. */
  expectedPoolCores: ReadonlyMap<string, number> = new Map();
  /** Run durations of this tenure, after those that the former scheduler stored. */
  readonly durations = new DurationModels();
  /** Order of the waiting steps, whose classes are kept between rounds. */
  readonly planner = new StepPlanner(this.durations);
  readonly reasons: WaitReasons;
  readonly #retries = new RetryBudgets();
  readonly #options: SchedulerOptions;
  readonly #ticketCache: PlacementTicketCache;
  readonly #learnt: LearntRecordKeeper;
  readonly #tenureAges: TenureAgeKeeper;
  readonly #takenOverAt: number;
  readonly #load: SchedulerLoad;
  readonly #evacuations: EvacuationGuard;
  #roundScheduled = false;
  /** Delay in ms between the next change and its placement round. */
  #roundPauseMs = ROUND_DELAY_MS;

  constructor(options: SchedulerOptions) {
    this.#options = options;
    const { log, clock, leaseTtlMs, config, tenure, counters } = options;
    this.#takenOverAt = clock.now();
    this.reasons = new WaitReasons((reason) => {
      counters.event(`wait_${reason}`);
    });
    const requestRound = (): void => {
      this.#requestRound();
    };
    this.#ticketCache = new PlacementTicketCache({
      clock,
      log,
      advisor: options.advisor,
      onTicketsAdded: requestRound,
    });
    this.#load = new SchedulerLoad(clock, log);
    this.#evacuations = new EvacuationGuard(options);
    this.writer = new ProgressWriter({
      ...options,
      onAttemptEnded: (begunAt) => {
        this.#load.recordWrite(begunAt);
      },
    });
    this.jobRegistry = new JobRegistry(log, {
      added: (job) => {
        this.#jobAdded(job);
      },
      cancelled: (job) => void this.tracker.endJob(job, "cancelled"),
    });
    this.tracker = new RunTracker({
      ...{
        clock,
        log,
        tenure,
        jobRegistry: this.jobRegistry,
        writer: this.writer,
        config,
        requestRound,
        leaseTtlMs,
        maxServerLeaseMs: options.maxServerLeaseMs,
        formerTenures: options.formerTenures,
        takenOverAt: this.#takenOverAt,
      },
      ...{ counters, durations: this.durations, linkBytesPerMs: options.linkBytesPerMs },
      ticketCache: this.#ticketCache,
      driver: (server) => this.drivers.get(server),
      serverRebooted: (registration) => {
        this.drivers.rebooted(registration);
      },
    });
    this.#tenureAges = new TenureAgeKeeper({
      ...{ ...options, takenOverAt: this.#takenOverAt },
      needed: () => this.tracker.recordedLeases.inDoubt,
    });
    const servers = (): Iterable<ServerDriver> => this.drivers.all();
    this.#learnt = new LearntRecordKeeper({
      ...{ ...options, durations: this.durations, servers },
      serversLoaded: () => this.drivers.loaded,
    });
    this.drivers = new FleetDrivers({
      open: (registration, former) => this.#createDriver(registration, former),
      onNewBoot: (server, bootedAt) => {
        this.tracker.lostRuns.releaseOrMoveAll(server, bootedAt);
      },
      onChange: requestRound,
    });
    this.relocator = this.#createRelocator();
  }

  /** True once jobs, backend servers and the configuration are loaded. */
  get ready(): boolean {
    const { config } = this.#options;
    return this.jobRegistry.loaded && this.drivers.loaded && config.current !== undefined;
  }

  /** Applies job records that were just stored, before the store's watch delivers them. */
  recordsStored(records: readonly WrittenRecord[]): void {
    // Before all jobs are loaded, an existing job could be mistaken for a new one without progress.
    if (!this.jobRegistry.loaded) return;
    for (const record of records) this.jobRegistry.change({ kind: "written", record });
  }

  /** Schedules until the lock is lost or released. */
  async run(): Promise<void> {
    const { clock, registry, tenure, log, config, store, random } = this.#options;
    const { signal } = tenure;
    // Runs beside the other reads, because a takeover does not wait for what only improves decisions.
    const keepingLearnt = this.#learnt.run();
    if (!(await this.#readProgress())) {
      await keepingLearnt;
      return;
    }
    const jobs = { store, clock, random, log, prefix: JOBS_PREFIX, listener: this.jobRegistry };
    const followingJobs = new RecordFollower(jobs).run(signal);
    // Unknown runs on backend servers can be recognised only once all jobs are loaded.
    await this.jobRegistry.whenLoaded(signal);
    const keepingAge = this.#tenureAges.run();
    const followingServers = registry.follow(this.drivers, signal);
    const stopListening = config.onChange(() => {
      this.#requestRound();
    });
    const runs = { relocator: this.relocator, runRegistry: this.tracker.runRegistry };
    const drivers = (): Iterable<ServerDriver> => this.drivers.all();
    const zoneEvacuator = new ZoneEvacuator({ ...this.#options, ...runs, drivers });
    const drainingEvacuator = new DrainingEvacuator({ clock, ...runs, drivers });
    const openJobs = (): Iterable<Job> => this.jobRegistry.openJobs;
    const spreader = new LongTaskSpreader({ clock, ...runs, openJobs });
    while (!signal.aborted) {
      await clock.sleep(IDLE_ROUND_INTERVAL_MS, signal);
      this.tracker.restartStragglers();
      this.relocator.update();
      drainingEvacuator.run();
      spreader.run();
      if (this.drivers.loaded) zoneEvacuator.run();
      this.tracker.lostRuns.checkUnregistered(this.#takenOverAt);
      this.drivers.prune((server) => this.tracker.hasRuns(server));
      this.#logLoad();
      this.#requestRound();
    }
    stopListening();
    this.drivers.close();
    await Promise.all([followingJobs, followingServers, keepingLearnt, keepingAge]);
    log.info({ token: tenure.token }, "scheduling ended");
  }

  /** Reads stored progress before any job, so that no existing job is mistaken for a new one. */
  async #readProgress(): Promise<boolean> {
    const { store, clock, tenure, log, counters } = this.#options;
    while (!tenure.signal.aborted) {
      const [range, tenureAges] = await Promise.all([
        store.range(PROGRESS_PREFIX),
        this.#tenureAges.read(),
      ]);
      if (range.ok) {
        this.tracker.recordedLeases.formerAgesRead(tenureAges);
        this.jobRegistry.loadProgress(range.val.records);
        const durationMs = Math.round(clock.now() - this.#takenOverAt);
        counters.duration("takeover_read", durationMs);
        log.info({ jobs: range.val.records.length, durationMs }, "progress read at takeover");
        return true;
      }
      await clock.sleep(READ_RETRY_MS, tenure.signal);
    }
    return false;
  }

  #jobAdded(job: Job): void {
    this.tracker.inheritRuns(job);
    this.#requestRound();
  }

  #createRelocator(): TaskRelocator {
    return new TaskRelocator({
      ...{ ...this.#options, runRegistry: this.tracker.runRegistry, durations: this.durations },
      ticketCache: this.#ticketCache,
      driver: (server) => this.drivers.get(server),
      driversInPool: (pool) => this.drivers.inPool(pool),
      openJobs: () => this.jobRegistry.openJobs,
      stop: (run) => {
        this.tracker.stop(run);
      },
      startsAt: this.#takenOverAt + this.#options.takeoverPauseMs,
    });
  }

  #createDriver(registration: RegisteredServer, former: ServerDriver | undefined): ServerDriver {
    const { clock, log, tenure, connector, leaseTtlMs, maxServerLeaseMs } = this.#options;
    const { id, bootedAt } = registration;
    if (former !== undefined)
      log.info({ server: id, bootedAt, former: former.leaseFields }, "later boot is known");
    const driver = new ServerDriver({
      ...{ clock, log, tenure, registration, leaseTtlMs, listener: this.tracker },
      backend: connector.connect(registration.address, registration.id, registration),
      ...{ maxServerLeaseMs, takenOverAt: this.#takenOverAt, formerLease: former?.leaseBounds },
      evacuations: this.#evacuations,
    });
    this.#learnt.serverOpened(driver);
    return driver;
  }

  #requestRound(): void {
    if (this.#roundScheduled || this.#options.tenure.signal.aborted) return;
    this.#roundScheduled = true;
    this.#options.clock.schedule(this.#roundPauseMs, () => {
      this.#roundScheduled = false;
      this.#round();
    });
  }

  #round(): void {
    const { clock, config, tenure } = this.#options;
    // Tasks must not be placed while their placements cannot be recorded.
    if (!tenure.valid || this.writer.stalled || !this.#evacuations.upToDate) return;
    if (!this.ready || !this.tracker.starter.canStartMore) return;
    const jobs = this.#jobsToPlace();
    const round = new PlacementRound({
      ...{ clock, config, runRegistry: this.tracker.runRegistry },
      driversOf: (pool) => this.drivers.inPool(pool),
      expectedCores: (pool) => this.expectedPoolCores.get(pool) ?? 0,
      durations: this.durations,
      ...{ planner: this.planner, retries: this.#retries, reasons: this.reasons },
      ticketCache: this.#ticketCache,
      mayStart: () => this.tracker.starter.canStartMore,
      place: (task, driver) => this.tracker.place(task, driver),
      undoPlacement: (run) => {
        this.tracker.undoPlacement(run);
      },
    });
    const begunAt = clock.now();
    let placed = 0;
    for (const [job, runs] of round.run(jobs)) {
      placed += runs.length;
      void this.tracker.launch(job, runs);
    }
    this.#load.recordRound(begunAt, placed);
    const pauseMs = (clock.now() - begunAt) * ROUND_PAUSE_FACTOR;
    this.#roundPauseMs = Math.min(MAX_ROUND_PAUSE_MS, Math.max(ROUND_DELAY_MS, pauseMs));
  }

  /** Open jobs that have, or may get, tasks that can start now. */
  #jobsToPlace(): readonly Job[] {
    const jobs: Job[] = [];
    for (const job of this.jobRegistry.openJobs)
      if (job.readySteps().length > 0 || job.spec.schedule !== undefined) jobs.push(job);
    return jobs;
  }

  #logLoad(): void {
    this.#load.logIfDue({
      openJobs: this.jobRegistry.openJobs.size,
      runs: this.tracker.runRegistry.size,
      unwritten: this.writer.waiting,
      windowBytes: Math.round(this.tracker.starter.windowBytes),
    });
  }
}
