import type { Clock } from "../../ports/clock.ts";
import type { JobBackendConnector } from "../../ports/job-backend.ts";
import type { Log } from "../../ports/log.ts";
import type { PlacementAdvisor } from "../../ports/placement-advisor.ts";
import type { Random } from "../../ports/random.ts";
import type { RecordStore } from "../../ports/record-store.ts";
import type { RegisteredServer } from "../../protocol/fleet-config.ts";
import type { WrittenRecord } from "../../protocol/peer-messages.ts";
import { JOBS_PREFIX, PROGRESS_PREFIX, type SessionRecord } from "../../protocol/job-records.ts";
import type { Job } from "../../state/jobs/job.ts";
import { DurationModels } from "../../state/jobs/duration-model.ts";
import type { Counters } from "../ports.ts";
import type { FleetConfigView } from "./config-view.ts";
import { PlacementTicketCache } from "./placement-ticket-cache.ts";
import { FleetDrivers } from "./fleet-drivers.ts";
import { JobBoard } from "./job-board.ts";
import type { ServerRegistry } from "./job-feeds.ts";
import { PlacementRound } from "./placement-round.ts";
import { ProgressWriter } from "./progress-writer.ts";
import { RecordFollower } from "./record-follower.ts";
import { RunTracker } from "./run-tracker.ts";
import type { LockTenure } from "./scheduler-lock.ts";
import { SchedulerLoad } from "./scheduler-load.ts";
import type { StartCarrier } from "./start-carriers.ts";
import { ServerDriver } from "./server-driver.ts";

/** Changes within this time in ms share a round of placements. */
const ROUND_DELAY_MS = 3;
/** A long round is followed by a pause of this multiple, so that orders and leases get their time. */
const ROUND_REST_FACTOR = 3;
const MAX_ROUND_PAUSE_MS = 60;
/** Rounds that no change asks for, in ms: pauses end and scheduled occurrences fall due. */
const TICK_MS = 100;
const READ_RETRY_MS = 100;

/** Options of {@link Scheduler}. */
export interface SchedulerOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly counters: Counters;
  readonly tenure: LockTenure;
  readonly config: FleetConfigView;
  readonly registry: ServerRegistry;
  readonly connector: JobBackendConnector;
  readonly advisor: PlacementAdvisor;
  /** Time to live of the lease given to backend servers, in milliseconds. */
  readonly leaseTtlMs: number;
  /** Capacity of this instance's link. */
  readonly linkBytesPerMs: number;
  readonly carrier: StartCarrier;
  /** This entry instance. */
  readonly session: SessionRecord;
}

/**
 * Schedules all jobs during one tenure of the lock. Everything is built anew from the store and the
 * backend servers at the beginning of a tenure, and dropped at its end.
 */
export class Scheduler {
  readonly board: JobBoard;
  readonly drivers: FleetDrivers;
  readonly tracker: RunTracker;
  readonly writer: ProgressWriter;
  /** What was learnt of durations during this tenure. */
  readonly durations = new DurationModels();
  readonly #options: SchedulerOptions;
  readonly #advice: PlacementTicketCache;
  readonly #takenOverAt: number;
  readonly #load: SchedulerLoad;
  #roundDue = false;
  /** Time in ms from the next change to the round that it asks for. */
  #roundPauseMs = ROUND_DELAY_MS;

  constructor(options: SchedulerOptions) {
    this.#options = options;
    const { log, clock, leaseTtlMs, config, tenure, counters } = options;
    this.#takenOverAt = clock.now();
    const wake = (): void => {
      this.#wake();
    };
    this.#advice = new PlacementTicketCache({
      clock,
      log,
      advisor: options.advisor,
      onTicketsAdded: wake,
    });
    this.#load = new SchedulerLoad(clock, log);
    this.writer = new ProgressWriter({
      ...options,
      written: (begunAt) => {
        this.#load.recordWrite(begunAt);
      },
    });
    this.board = new JobBoard(log, {
      added: (job) => {
        this.#added(job);
      },
      cancelled: (job) => void this.tracker.end(job, "cancelled"),
    });
    this.tracker = new RunTracker({
      ...{ clock, log, tenure, board: this.board, writer: this.writer, config, wake, leaseTtlMs },
      ...{ counters, durations: this.durations, linkBytesPerMs: options.linkBytesPerMs },
      ...{ carrier: options.carrier, ownAddress: options.session.peerAddress },
      advice: this.#advice,
      driver: (server) => this.drivers.get(server),
    });
    this.drivers = new FleetDrivers({
      open: (registration) => this.#open(registration),
      rebooted: (server, bootedAt) => {
        this.tracker.rebooted(server, bootedAt);
      },
      onChange: wake,
    });
  }

  /** True once jobs, backend servers and the configuration are known. */
  get ready(): boolean {
    const { config } = this.#options;
    return this.board.loaded && this.drivers.loaded && config.current !== undefined;
  }

  /** Takes note of records of jobs that were just stored, ahead of the watch. */
  recordsStored(records: readonly WrittenRecord[]): void {
    // Before all jobs are read, the progress of a job that is not new could be missed.
    if (!this.board.loaded) return;
    for (const record of records) this.board.change({ kind: "written", record });
  }

  /** Schedules until the lock is lost or given up. */
  async run(): Promise<void> {
    const { clock, registry, tenure, log, config, store, random } = this.#options;
    const { signal } = tenure;
    if (!(await this.#readProgress())) return;
    const jobs = { store, clock, random, log, prefix: JOBS_PREFIX, listener: this.board };
    const followingJobs = new RecordFollower(jobs).run(signal);
    // Runs on backend servers can be told from unknown ones only once all jobs are known.
    await this.board.whenLoaded(signal);
    const followingServers = registry.follow(this.drivers, signal);
    const stopListening = config.onChange(() => {
      this.#wake();
    });
    while (!signal.aborted) {
      await clock.sleep(TICK_MS, signal);
      this.tracker.restartStragglers();
      this.tracker.evacuateLeaving(this.drivers.all());
      this.tracker.releaseUnreachable(this.#takenOverAt);
      this.drivers.prune((server) => this.tracker.hasRuns(server));
      this.#reviewLoad();
      this.#wake();
    }
    stopListening();
    this.drivers.close();
    await Promise.all([followingJobs, followingServers]);
    log.info({ token: tenure.token }, "scheduling ended");
  }

  /** Reads stored progress before any job, so that no job looks new that is not. */
  async #readProgress(): Promise<boolean> {
    const { store, clock, tenure, log, counters } = this.#options;
    while (!tenure.signal.aborted) {
      const range = await store.range(PROGRESS_PREFIX);
      if (range.ok) {
        this.board.takeProgress(range.val.records);
        const durationMs = Math.round(clock.now() - this.#takenOverAt);
        counters.duration("takeover_read", durationMs);
        log.info({ jobs: range.val.records.length, durationMs }, "progress read at takeover");
        return true;
      }
      await clock.sleep(READ_RETRY_MS, tenure.signal);
    }
    return false;
  }

  #added(job: Job): void {
    this.tracker.inherit(job);
    this.#wake();
  }

  #open(registration: RegisteredServer): ServerDriver {
    const { clock, log, tenure, connector, leaseTtlMs } = this.#options;
    return new ServerDriver({
      ...{ clock, log, tenure, registration, leaseTtlMs, listener: this.tracker },
      backend: connector.connect(registration.address, registration.id),
      takenOverAt: this.#takenOverAt,
    });
  }

  #wake(): void {
    if (this.#roundDue || this.#options.tenure.signal.aborted) return;
    this.#roundDue = true;
    this.#options.clock.schedule(this.#roundPauseMs, () => {
      this.#roundDue = false;
      this.#round();
    });
  }

  #round(): void {
    const { clock, config, tenure } = this.#options;
    // Placements that can't be recorded must not be made.
    if (!tenure.valid || this.writer.stalled) return;
    if (!this.ready || !this.tracker.starter.open) return;
    const round = new PlacementRound({
      ...{ clock, config, book: this.tracker.book, drivers: this.drivers.all() },
      durations: this.durations,
      advice: this.#advice,
      mayStart: () => this.tracker.starter.open,
      place: (task, driver) => this.tracker.place(task, driver),
      unplace: (run) => {
        this.tracker.unplace(run);
      },
    });
    const begunAt = clock.now();
    let placed = 0;
    for (const [job, runs] of round.run(this.board.open)) {
      placed += runs.length;
      void this.tracker.launch(job, runs);
    }
    this.#load.recordRound(begunAt, placed);
    const restMs = (clock.now() - begunAt) * ROUND_REST_FACTOR;
    this.#roundPauseMs = Math.min(MAX_ROUND_PAUSE_MS, Math.max(ROUND_DELAY_MS, restMs));
  }

  #reviewLoad(): void {
    this.#load.logIfDue({
      openJobs: this.board.open.size,
      runs: this.tracker.book.size,
      unwritten: this.writer.waiting,
      windowBytes: Math.round(this.tracker.starter.windowBytes),
    });
  }
}
