import type { Clock } from "../../ports/clock.ts";
import type { InstanceControl } from "../../ports/instance-control.ts";
import type { JobBackendConnector } from "../../ports/job-backend.ts";
import type { Log } from "../../ports/log.ts";
import type { PlacementAdvisor } from "../../ports/placement-advisor.ts";
import type { Random } from "../../ports/random.ts";
import type { RecordStore } from "../../ports/record-store.ts";
import { ENTRIES_PREFIX, type SessionRecord } from "../../protocol/job-records.ts";
import type { StoreConnectivity } from "../../state/jobs/election/election-delay.ts";
import type { Counters } from "../ports.ts";
import type { WrittenRecord } from "../../protocol/peer-messages.ts";
import { GuardedInstanceControl } from "./fleet/guarded-instance-control.ts";
import { InstanceOrderTimes } from "./fleet/instance-order-times.ts";
import { InstanceListCache } from "./fleet/instance-list-cache.ts";
import { FleetConfigView } from "./config-view.ts";
import { EntryView } from "./election/entry-view.ts";
import type { OperatorFeed, ServerRegistry } from "./job-feeds.ts";
import { JobAdmission } from "./admission/job-admission.ts";
import { JobService } from "./admission/job-service.ts";
import { JobSubmitter } from "./admission/job-submitter.ts";
import type { LoadNotifier } from "./admission/load-notifier.ts";
import { LoadPublisher } from "./admission/load-publisher.ts";
import { LoadView } from "./admission/load-view.ts";
import { MaintenanceRunner } from "./fleet/maintenance-runner.ts";
import { PendingPublisher } from "./admission/pending-counts.ts";
import { PoolSizer } from "./fleet/pool-sizer.ts";
import { RecordGarbageCollector } from "./records/record-garbage-collector.ts";
import { RecordFollower } from "./records/record-follower.ts";
import type { PeerConnections } from "./peer-connections.ts";
import { OrderExecutor } from "./execution/order-executor.ts";
import { RelayedBackendConnector } from "./execution/relayed-backend.ts";
import type { RecordNotifier } from "./records/record-notifier.ts";
import { PlacementAnswers } from "./scheduling/placement-answers.ts";
import type { PlacementQuestions } from "./scheduling/placement-questions.ts";
import { Scheduler } from "./scheduling/scheduler.ts";
import { SchedulerElection } from "./election/scheduler-election.ts";
import { SessionRegistration } from "./election/session-registration.ts";
import { SchedulerLock, type LockTenure } from "./election/scheduler-lock.ts";

/** Longest time in ms that a request waits for the configuration to be confirmed as current. */
const CONFIG_CONFIRMATION_TIMEOUT_MS = 500;
/**
 * Without a response from the store for this time in ms, the entry instance is not ready, so that
 * callers are sent to another one.
 */
const MAX_STORE_UNRESPONSIVE_MS = 1800;

/** External dependencies of an entry instance. */
export interface JobEntryPorts {
  readonly store: RecordStore;
  readonly registry: ServerRegistry;
  readonly operators: OperatorFeed;
  readonly connector: JobBackendConnector;
  /** Undefined where instances can't be controlled. */
  readonly instances: InstanceControl | undefined;
  readonly advisor: PlacementAdvisor;
  readonly notifier: RecordNotifier;
  /** Connections for orders that executors send, separate so that other calls don't wait. */
  readonly executorConnections: PeerConnections;
  readonly loadNotifier: LoadNotifier;
  readonly placementQuestions: PlacementQuestions;
  /** Current connectivity to the store. */
  readonly storeConnectivity: () => StoreConnectivity;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly counters: Counters;
}

/** Options of {@link JobEntry}. */
export interface JobEntryOptions extends JobEntryPorts {
  /** Name of this entry instance. */
  readonly name: string;
  /** Session record that peers read to find this entry instance. */
  readonly session: SessionRecord;
  /** Maximum time in ms until a configuration change takes effect. */
  readonly maxConfigAgeMs: number;
  /** Maximum time in ms until no task starts in an evacuated availability zone. */
  readonly evacuateMs: number;
  /** Time to live in ms of the leases granted to backend servers. */
  readonly leaseTtlMs: number;
  /** Longest lease in ms that a backend server accepts, whatever deadline an order carries. */
  readonly maxServerLeaseMs: number;
  /** Bandwidth of this entry instance's network link, in bytes per millisecond. */
  readonly linkBytesPerMs: number;
  /** Minimum time in ms between orders of two successive schedulers to the same instance. */
  readonly takeoverPauseMs: number;
  /** Time in ms for which the state of an ended job remains available to callers. */
  readonly keepEndedMs: number;
}

/** One entry instance: serves callers of the jobs API and is a candidate for scheduler. */
export class JobEntry {
  /** Fleet configuration as last read. */
  readonly config: FleetConfigView;
  readonly service: JobService;
  /** Sends orders to backend servers for the scheduler. */
  readonly executor: OrderExecutor;
  /** Load of queues near their limit, as last reported. */
  readonly loadView: LoadView;
  /** Answers operators' questions about the placement of jobs. */
  readonly placementAnswers: PlacementAnswers;
  readonly #options: JobEntryOptions;
  readonly #view: EntryView;
  readonly #stopped = new AbortController();
  readonly #lock: SchedulerLock;
  readonly #election: SchedulerElection;
  /** Set while this entry instance is the scheduler. */
  #scheduler: Scheduler | undefined;
  #running: Promise<unknown> = Promise.resolve();

  constructor(options: JobEntryOptions) {
    this.#options = options;
    this.config = new FleetConfigView(options.clock, options.log, (event) => {
      options.counters.event(event);
    });
    this.executor = new OrderExecutor(options);
    const stored = (records: readonly WrittenRecord[]): void => {
      this.#notifyScheduler(records);
    };
    const submitter = new JobSubmitter({ ...options, stored });
    this.loadView = new LoadView(options);
    const admission = new JobAdmission({ ...options, loadView: this.loadView });
    this.service = new JobService({ ...options, submitter, admission, stored });
    this.#lock = new SchedulerLock({ ...options, holder: options.name });
    this.#view = new EntryView(options.clock, options.log, () => {
      this.#election.viewChanged();
    });
    this.placementAnswers = new PlacementAnswers({
      ...{ ...options, config: this.config, loadView: this.loadView, admission },
      questions: options.placementQuestions,
      scheduler: () => this.#scheduler,
      schedulerSession: () => this.#view.schedulerSession,
    });
    this.#election = new SchedulerElection({
      ...{ ...options, lock: this.#lock, view: this.#view },
      runScheduler: (tenure) => this.#runScheduler(tenure),
    });
  }

  /** Readiness: true if this entry instance can serve callers. */
  get ready(): boolean {
    if (this.#stopped.signal.aborted || this.config.current === undefined) return false;
    // Requests wait briefly for a late confirmation, so a single late one does not end readiness.
    const maxAgeMs = 2 * this.#options.maxConfigAgeMs;
    return (
      this.config.ageMs <= maxAgeMs &&
      this.#options.storeConnectivity().unresponsiveMs <= MAX_STORE_UNRESPONSIVE_MS
    );
  }

  /** Resolves true once the configuration is confirmed as current; false if it may be outdated. */
  waitForConfirmedConfig(): Promise<boolean> {
    return this.config.waitUntilFresh(this.#options.maxConfigAgeMs, CONFIG_CONFIRMATION_TIMEOUT_MS);
  }

  /** Live entry instances, as last read. */
  get sessions(): readonly SessionRecord[] {
    return this.#view.sessions;
  }

  /** True while this entry instance is the scheduler. */
  get scheduling(): boolean {
    return this.#election.scheduling;
  }

  /** Starts following the store and taking part in the scheduler election. */
  start(): void {
    const { store, clock, random, log, operators } = this.#options;
    const { signal } = this.#stopped;
    const entries = { store, clock, random, log, prefix: ENTRIES_PREFIX, listener: this.#view };
    this.#running = Promise.all([
      operators.follow(this.config, signal),
      new RecordFollower(entries).run(signal),
      new SessionRegistration(this.#options).run(signal),
      this.#election.run(signal),
    ]);
  }

  /** Releases the scheduler lock, so that another entry instance can take over at once. */
  async stepDown(): Promise<void> {
    this.#stopped.abort();
    this.executor.stop();
    await this.#election.stepDown();
  }

  /** Resolves once all background work has stopped after {@link stepDown}. */
  async whenStopped(): Promise<void> {
    await this.#running;
  }

  /** Passes records that a peer has just stored to the scheduler, if it runs here. */
  recordsStored(records: readonly WrittenRecord[]): void {
    this.#scheduler?.recordsStored(records);
  }

  #notifyScheduler(records: readonly WrittenRecord[]): void {
    if (this.#scheduler !== undefined) {
      this.#scheduler.recordsStored(records);
      return;
    }
    const { schedulerSession } = this.#view;
    if (schedulerSession === undefined) return;
    void this.#options.notifier.notify(schedulerSession.peerAddress, records);
  }

  async #runScheduler(tenure: LockTenure): Promise<void> {
    const connector = new RelayedBackendConnector({
      ...{ ...this.#options, direct: this.#options.connector, tenure },
      connections: this.#options.executorConnections,
      sessions: () => this.sessions,
    });
    const scheduler = new Scheduler({
      ...{ ...this.#options, config: this.config, tenure, connector },
      formerTenures: this.#view.tenures,
    });
    this.#scheduler = scheduler;
    const { jobRegistry } = scheduler;
    const openJobs = () => jobRegistry.openJobs;
    const instanceList = this.#createInstanceList();
    await Promise.all([
      this.#lock.renewUntilLost(tenure),
      scheduler.run(),
      new PendingPublisher({ ...this.#options, tenure, openJobs }).run(),
      new LoadPublisher({
        ...{ ...this.#options, config: this.config, tenure, scheduler },
        instances: instanceList === undefined ? undefined : () => instanceList.read(),
        notifier: this.#options.loadNotifier,
        peers: () => this.sessions.filter(({ name }) => name !== this.#options.name),
        receive: (report) => this.loadView.receive(report),
      }).run(),
      new RecordGarbageCollector({
        ...{ ...this.#options, tenure, jobRegistry, retentionMs: this.#options.keepEndedMs },
      }).run(),
      this.#runInstanceControl(tenure, scheduler, instanceList),
    ]);
    this.#scheduler = undefined;
  }

  #createInstanceList(): InstanceListCache | undefined {
    const { instances } = this.#options;
    return instances === undefined
      ? undefined
      : new InstanceListCache({ ...this.#options, instances });
  }

  /** Maintains instances and moves them between pools while the tenure lasts. */
  async #runInstanceControl(
    tenure: LockTenure,
    scheduler: Scheduler,
    view: InstanceListCache | undefined,
  ): Promise<void> {
    if (this.#options.instances === undefined || view === undefined) return;
    const { counters } = this.#options;
    const instances = new GuardedInstanceControl({
      ...{ instances: this.#options.instances, tenure, counters },
    });
    const controlOptions = {
      ...{ ...this.#options, holder: this.#options.name, config: this.config },
      ...{
        instances,
        tenure,
        scheduler,
        view,
      },
      orders: new InstanceOrderTimes({ ...this.#options, tenure }),
    };
    await Promise.all([
      new MaintenanceRunner(controlOptions).run(),
      new PoolSizer(controlOptions).run(),
    ]);
  }
}
