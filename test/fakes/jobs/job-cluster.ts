import { Err, Ok } from "ts-results";
import { MetricCounters } from "../../../src/coordination/counters.ts";
import { JobEntry } from "../../../src/coordination/jobs/job-entry.ts";
import { RecordNotifier } from "../../../src/coordination/jobs/records/record-notifier.ts";
import type { JobRejection } from "../../../src/coordination/jobs/admission/job-admission.ts";
import type { SubmitOutcome } from "../../../src/coordination/jobs/admission/job-submitter.ts";
import { PlacementAdvisor } from "../../../src/ports/placement-advisor.ts";
import { InstanceControl } from "../../../src/ports/instance-control.ts";
import type { Log } from "../../../src/ports/log.ts";
import type { Random } from "../../../src/ports/random.ts";
import type { WrittenRecord } from "../../../src/protocol/peer-messages.ts";
import type { FleetConfig } from "../../../src/protocol/fleet-config.ts";
import type { JobRequest, JobState, Resources } from "../../../src/protocol/job-spec.ts";
import {
  MemoryRecordStore,
  type MemoryRecordClient,
} from "../../../src/stand-ins/memory-record-store.ts";
import {
  SimulatedJobServer,
  type TaskBehaviour,
} from "../../../src/stand-ins/simulated-job-server.ts";
import { EventCounts } from "../event-counts.ts";
import { advanceUntilSettled, VirtualClock } from "../virtual-clock.ts";
import { PeerConnections } from "../../../src/coordination/jobs/peer-connections.ts";
import { ClusterPeers, peerHello } from "./cluster-peers.ts";
import { ClusterLoadNotifier, ClusterQuestions } from "./cluster-load.ts";
import { EntryConnector, EntryStore, EntryFaults, SlowLink } from "./entry-faults.ts";
import { FakeOperators } from "./fake-operators.ts";
import { FakeRegistry } from "./fake-registry.ts";
import { fleetConfig } from "./job-builders.ts";

const LEASE_TTL_MS = 6000;
const MAX_SERVER_LEASE_MS = 6250;
const FAST_LINK_BYTES_PER_MS = 125_000;
const CALLER_WAIT_MS = 3000;
const EVACUATIONS_PREFIX = "op/evacuate/";
const WAVES_PREFIX = "op/wave/";
const WAVE_DURATION_S = 20;

const NOOP_LOG: Log = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

/** One entry instance of the cluster. */
export interface ClusterEntry {
  readonly entry: JobEntry;
  readonly faults: EntryFaults;
  readonly counts: EventCounts;
  readonly store: MemoryRecordClient;
  readonly connector: EntryConnector;
  readonly peers: ClusterPeers;
  alive: boolean;
}

/** Options of {@link JobCluster}. */
export interface JobClusterOptions {
  readonly random: Random;
  readonly entries?: number;
  readonly servers?: number;
  readonly capacity?: Resources;
  readonly behaviour?: (task: string) => TaskBehaviour;
  readonly config?: FleetConfig;
  /** Bandwidth of each entry's link in bytes per ms. @default unlimited */
  readonly linkBytesPerMs?: number;
  readonly log?: Log;
  /** Time in ms within which evacuations must take effect. @default 5000 */
  readonly evacuateMs?: number;
  /** Time in ms that a server takes to stop a run. @default 0 */
  readonly stopMs?: number;
  /** Longest lease in ms that a server accepts. @default 6250, little more than schedulers grant */
  readonly maxServerLeaseMs?: number;
  /** Returns the reading in ms at which a boot's clock begins; the first boot is number 0. @default 0 */
  readonly clockStartMs?: (boot: number) => number;
  /** Zone of every backend server. @default two zones without entry instances */
  readonly serverZone?: string;
  /** Creates the control of the servers' instances. @default no instances */
  readonly instances?: (cluster: JobCluster) => InstanceControl;
  /** Gives tickets for queues that need them. @default none is given */
  readonly advisor?: PlacementAdvisor;
  /** Makes entries ignore evacuations, to show that checks notice it. @default false */
  readonly ignoreEvacuations?: boolean;
}

/** Entry instances that share a store and backend servers, in virtual time. */
export class JobCluster {
  readonly clock = new VirtualClock();
  readonly store = new MemoryRecordStore(this.clock);
  readonly servers = new Map<string, SimulatedJobServer>();
  readonly entries: ClusterEntry[] = [];
  readonly #registry = new FakeRegistry(this.servers);
  readonly #operators: FakeOperators;
  readonly #instances: InstanceControl;
  readonly #options: Required<
    Omit<JobClusterOptions, "entries" | "servers" | "config" | "serverZone">
  >;

  constructor(options: JobClusterOptions) {
    const { entries = 3, servers = 4, config = fleetConfig() } = options;
    this.#options = {
      random: options.random,
      capacity: options.capacity ?? { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 },
      behaviour: options.behaviour ?? (() => ({ durationMs: 400 })),
      log: options.log ?? NOOP_LOG,
      linkBytesPerMs: options.linkBytesPerMs ?? FAST_LINK_BYTES_PER_MS,
      evacuateMs: options.evacuateMs ?? 5000,
      ignoreEvacuations: options.ignoreEvacuations ?? false,
      stopMs: options.stopMs ?? 0,
      maxServerLeaseMs: options.maxServerLeaseMs ?? MAX_SERVER_LEASE_MS,
      clockStartMs: options.clockStartMs ?? (() => 0),
      instances: options.instances ?? (() => new NoInstances()),
      advisor: options.advisor ?? new NoAdvisor(),
    };
    this.#instances = this.#options.instances(this);
    this.#operators = new FakeOperators(config, this.#options.ignoreEvacuations);
    const { serverZone } = options;
    if (serverZone !== undefined) this.#registry.zone = () => serverZone;
    for (let index = 0; index < servers; index++) this.addServer(`s${index}`);
    for (let index = 0; index < entries; index++) this.addEntry();
  }

  /** Adds a backend server. `capacity` is that of the other servers by default. */
  addServer(id: string, capacity = this.#options.capacity): SimulatedJobServer {
    const { behaviour, stopMs, maxServerLeaseMs, clockStartMs } = this.#options;
    const server = new SimulatedJobServer({
      ...{ clock: this.clock, id, capacity, behaviour, clockStartMs },
      ...{ maxLeaseMs: maxServerLeaseMs, stopMs },
    });
    this.servers.set(id, server);
    this.#registry.changed(id);
    return server;
  }

  addEntry(strength = 1): ClusterEntry {
    const faults = new EntryFaults(this.clock);
    const { linkBytesPerMs } = this.#options;
    if (linkBytesPerMs < FAST_LINK_BYTES_PER_MS)
      faults.link = new SlowLink(this.clock, linkBytesPerMs);
    const store = this.store.client();
    const clock = faults.clock();
    const { random, log } = this.#options;
    const name = `e${this.entries.length}`;
    const counters = new ObservedCounters();
    const peers = new ClusterPeers(this.clock, this.entries, faults);
    const connector = new EntryConnector(this.clock, faults, this.servers);
    const entry = new JobEntry({
      ...{ clock, random, log, counters },
      store: new EntryStore(store, faults),
      registry: this.#registry,
      operators: this.#operators.forEntry({
        ...{ store: new EntryStore(store, faults), clock, random, log },
        ...{ configApplyMs: 2000, evacuateMs: this.#options.evacuateMs },
        count: (event) => {
          counters.event(event);
        },
      }),
      connector,
      instances: this.#instances,
      advisor: this.#options.advisor,
      ...{ name, session: { name, peerAddress: name, zone: "z", strength } },
      notifier: new ClusterNotifier(this.entries, faults),
      executorConnections: new PeerConnections({ transport: peers, log, self: peerHello(name) }),
      placementQuestions: new ClusterQuestions(this.entries),
      loadNotifier: new ClusterLoadNotifier(this.entries, faults),
      storeConnectivity: () => faults.storeConnectivity,
      leaseTtlMs: LEASE_TTL_MS,
      maxServerLeaseMs: this.#options.maxServerLeaseMs,
      linkBytesPerMs,
      takeoverPauseMs: 0,
      maxConfigAgeMs: 2000,
      evacuateMs: this.#options.evacuateMs,
      keepEndedMs: 120_000,
    });
    entry.start();
    const added = {
      entry,
      counts: counters.counts,
      faults,
      store,
      connector,
      peers,
      alive: true,
    };
    this.entries.push(added);
    return added;
  }

  /** The live entry that holds the scheduler role, if any. */
  get scheduler(): ClusterEntry | undefined {
    return this.entries.find(({ entry, alive }) => alive && entry.scheduling);
  }

  get liveEntries(): readonly ClusterEntry[] {
    return this.entries.filter(({ alive }) => alive);
  }

  /** Kills a process at once, without notifying any other process. */
  kill(target: ClusterEntry): void {
    target.alive = false;
    target.store.faults.unresponsive = true;
    target.faults.cutFromServers = true;
    void target.entry.stepDown();
  }

  /** Crashes a backend server: it loses all its state and leaves the registry. */
  crash(id: string): void {
    this.servers.get(id)?.crash();
    this.#registry.changed(id);
  }

  /** Marks a backend server as draining in the registry. */
  drain(id: string): void {
    this.#registry.draining.add(id);
    this.#registry.changed(id);
  }

  /** Sets the labels that a server registers with. */
  setLabels(id: string, labels: readonly string[]): void {
    this.#registry.labels.set(id, labels);
    this.#registry.changed(id);
  }

  boot(id: string): void {
    this.servers.get(id)?.boot();
    this.#registry.changed(id);
  }

  /** Reboots a backend server under its id, without a registration. */
  rebootUnnoticed(id: string): void {
    this.servers.get(id)?.crash();
    this.servers.get(id)?.boot();
  }

  /** Delivers the current registration of a backend server. */
  announce(id: string): void {
    this.#registry.changed(id);
  }

  /** Sets the cold time in ms that a server registers with. */
  setColdTime(id: string, ms: number): void {
    this.#registry.coldMs.set(id, ms);
    this.#registry.changed(id);
  }

  /** Evacuates an availability zone, as operators do. */
  evacuate(zone: string, value = "{}"): void {
    this.store.write(`${EVACUATIONS_PREFIX}${zone}`, Buffer.from(value));
  }

  /** Ends the evacuation of an availability zone. */
  restore(zone: string): void {
    this.store.delete(`${EVACUATIONS_PREFIX}${zone}`);
  }

  /** Requests the maintenance of instances, as operators do. */
  requestWave(wave: number, instances: readonly string[], maxAtOnce = 1): void {
    const request = { wave, machines: instances, durationS: WAVE_DURATION_S, cap: maxAtOnce };
    this.store.write(`${WAVES_PREFIX}${wave}`, Buffer.from(JSON.stringify(request)));
  }

  configure(config: FleetConfig): void {
    this.#operators.configure(config);
  }

  /** Advances virtual time until a scheduler is elected. */
  async electScheduler(): Promise<ClusterEntry> {
    await this.clock.until(() => this.scheduler !== undefined);
    return this.scheduler!;
  }

  submit(
    target: ClusterEntry,
    id: string,
    job: JobRequest,
    organisation?: string,
    queueName?: string,
  ): Promise<SubmitOutcome | JobRejection> {
    const { entry } = target;
    const queues = entry.config.current?.queues ?? [];
    const queue = queues.find(({ name }) => name === (queueName ?? name));
    if (queue === undefined) return Promise.resolve("refused");
    const deadline = this.clock.now() + CALLER_WAIT_MS;
    return target.faults.runInProcess(() =>
      entry.service.submit(job, queue, { id, organisation, deadline }),
    );
  }

  /** Reads the state of a job from the store through any live entry. */
  async state(
    id: string,
    organisation?: string,
  ): Promise<JobState | "unknown-job" | "unavailable"> {
    const [target] = this.liveEntries;
    if (target === undefined) return "unavailable";
    const deadline = this.clock.now() + CALLER_WAIT_MS;
    const pending = target.entry.service.state({ id, organisation, deadline });
    const answer = await advanceUntilSettled(this.clock, pending);
    return answer.kind === "state" ? answer.state : answer.kind;
  }

  /** Updates every backend server to the current virtual time. */
  updateServers(): void {
    for (const server of this.servers.values()) server.applyElapsedTime();
  }
}

/**
 * Delivers notifications at once, or when a frozen sender or receiver is thawed. A dead receiver
 * gets none.
 */
class ClusterNotifier extends RecordNotifier {
  readonly #entries: readonly ClusterEntry[];
  readonly #faults: EntryFaults;

  constructor(entries: readonly ClusterEntry[], faults: EntryFaults) {
    super();
    this.#entries = entries;
    this.#faults = faults;
  }

  async notify(schedulerAddress: string, records: readonly WrittenRecord[]): Promise<void> {
    const target = this.#entries[Number(schedulerAddress.slice(1))];
    await this.#faults.untilRunning();
    if (target?.alive !== true) return;
    await target.faults.untilRunning();
    target.entry.recordsStored(records);
  }
}

/** Counters whose events tests can read. */
class ObservedCounters extends MetricCounters {
  readonly counts = new EventCounts();

  override event(name: string): void {
    super.event(name);
    this.counts.event(name);
  }
}

class NoInstances extends InstanceControl {
  list() {
    return Promise.resolve(Ok([]));
  }

  move() {
    return Promise.resolve(Ok(undefined));
  }

  maintain() {
    return Promise.resolve(Ok(undefined));
  }
}

class NoAdvisor extends PlacementAdvisor {
  advise() {
    return Promise.resolve(Err({ kind: "unavailable" as const, detail: "none" }));
  }
}
