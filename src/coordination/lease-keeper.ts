/** The backend servers under this entry's leases; one task per server of the zone. */
import { Err, type Result } from "ts-results";
import type {
  BackendConnector,
  BackendServer,
  TaskRecord,
  TaskRef,
  TaskSpec,
} from "../ports/backend-server.ts";
import type { Clock } from "../ports/clock.ts";
import type { Random } from "../ports/random.ts";
import type { FleetDocument, ServerRecord } from "../protocol/fleet-document.ts";
import type {
  GossipMessage,
  LeaseEvidence,
  TaskStatusReply,
  TaskStatusRequest,
} from "../protocol/peer-messages.ts";
import type { TaskCharges } from "../state/task-charges.ts";
import type { TeamCharge } from "../state/ledger.ts";
import { rendezvous } from "../state/rendezvous.ts";
import type { DocumentStore } from "./document-store.ts";
import type { LeaseCoverage } from "./lease-coverage.ts";
import type { Membership } from "./membership.ts";
import {
  HeldServers,
  type ConfigView,
  type Counters,
  type FinishedTask,
  type FleetView,
  type HeldServer,
  type Peers,
  type StartError,
  type TaskStatus,
  type Unsubscribe,
} from "./ports.ts";
import { ServerDrain } from "./server-drain.ts";
import { ACQUIRE_INTERVAL_MS, LeaseController, type ZoneHolders } from "./lease-controller.ts";
import { ServerLease } from "./server-lease.ts";
import { ZoneView } from "./zone-view.ts";

/**
 * Part of the time to live for which a lease must have been held to count as evidence. A server
 * that is rebooted forgets its lease, so for up to one time to live a former holder may still
 * believe in a lease that the next holder's evidence overlaps.
 */
const EVIDENCE_PART = 1.5;
const CHARGE_RELEASE_TIMEOUT_MS = 1000;

/** Options of {@link LeaseKeeper}. */
export interface LeaseKeeperOptions {
  readonly connector: BackendConnector;
  readonly store: DocumentStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly peers: Peers;
  readonly fleet: FleetView;
  readonly config: Pick<ConfigView, "platformWideOutage">;
  readonly membership: Membership;
  readonly coverage: LeaseCoverage;
  readonly charges: TaskCharges;
  readonly leaseTtlMs: number;
  readonly resultRetentionMs: number;
}

/** Acquires, renews, adopts and hands over the leases of the zone's servers. */
export class LeaseKeeper extends HeldServers {
  readonly #options: LeaseKeeperOptions;
  readonly #drain: ServerDrain;
  readonly #zone: ZoneView;
  readonly #drivers = new Map<string, LeaseController>();
  readonly #finished = new Set<(task: FinishedTask) => void>();
  readonly #changed = new Set<() => void>();
  readonly #stopped = new AbortController();

  constructor(options: LeaseKeeperOptions) {
    super();
    this.#options = options;
    this.#zone = new ZoneView(options);
    const { store, clock, peers } = options;
    this.#drain = new ServerDrain({ store, clock, group: peers.self.group });
  }

  /** Drives the servers named in the fleet document until {@link shutdown}. */
  async run(): Promise<void> {
    const { fleet, coverage, membership, clock } = this.#options;
    const unsubscribe = [
      fleet.onChange((document) => {
        this.#follow(document);
      }),
      coverage.onStart(() => {
        void membership.refresh().then(() => {
          this.#notify();
        });
      }),
    ];
    const first = fleet.current();
    if (first !== undefined) this.#follow(first);
    while (!this.#stopped.signal.aborted) {
      await clock.sleep(ACQUIRE_INTERVAL_MS, this.#stopped.signal);
      this.#tick();
    }
    for (const end of unsubscribe) end();
  }

  /** Hands every held server to the entry that is preferred without this one. */
  async shutdown(): Promise<void> {
    this.#stopped.abort();
    const others = this.#zone.livePeers();
    const drivers = [...this.#drivers];
    await Promise.all(drivers.map(([name, driver]) => driver.stop(rendezvous(name, others))));
    this.#notify();
  }

  list(): readonly HeldServer[] {
    const listed: HeldServer[] = [];
    const mayDispatch = this.#mayDispatch();
    const leaving = this.#options.peers.leavingServers();
    // A plain loop without records for servers of other entries, since this is called very often.
    for (const record of this.#zone.records()) {
      const lease = this.#drivers.get(record.name)?.lease;
      if (lease?.held !== true) continue;
      const { name, zone, rack, pool, slots } = record;
      const free = mayDispatch && !leaving.has(name);
      const dispatchable = free && this.#dispatchable(record, lease);
      listed.push({ name, zone, rack, pool, slots, running: lease.tasks.occupied, dispatchable });
    }
    return listed;
  }

  async start(server: string, spec: TaskSpec): Promise<Result<void, StartError>> {
    const record = this.#zone.records().find(({ name }) => name === server);
    const lease = this.#drivers.get(server)?.lease;
    if (record === undefined || lease === undefined) {
      return Err({ kind: "not-started", reason: "lease_lapsed" });
    }
    const free = this.#mayDispatch() && !this.#options.peers.leavingServers().has(server);
    if (!free || !this.#dispatchable(record, lease)) {
      const reason = lease.leaving ? "server_leaving" : "lease_lapsed";
      return Err({ kind: "not-started", reason });
    }
    if (lease.tasks.occupied >= record.slots) {
      return Err({ kind: "not-started", reason: "server_full" });
    }
    // Safety net: work of a team never runs without a charge to this entry's own budget.
    if (spec.team !== undefined && !this.#options.charges.has(spec)) {
      this.#options.counters.event("start_without_charge");
      return Err({ kind: "not-started", reason: "never_started" });
    }
    return lease.start({ ...spec, chargedTo: this.#self });
  }

  async stop(server: string, ref: TaskRef, how: "stop" | "checkpoint"): Promise<void> {
    await this.#drivers.get(server)?.lease.stop(ref, how);
  }

  async acknowledge(server: string, ref: TaskRef): Promise<void> {
    await this.#drivers.get(server)?.lease.acknowledge(ref);
  }

  status(server: string, ref: TaskRef): TaskStatus {
    const lease = this.#drivers.get(server)?.lease;
    if (lease?.leaseId === undefined) return "not-holder";
    return lease.tasks.status(ref) ?? "lost";
  }

  onFinished(listener: (task: FinishedTask) => void): Unsubscribe {
    this.#finished.add(listener);
    return () => this.#finished.delete(listener);
  }

  onChange(listener: () => void): Unsubscribe {
    this.#changed.add(listener);
    return () => this.#changed.delete(listener);
  }

  client(
    server: string,
  ): { readonly backend: BackendServer; readonly leaseId: string } | undefined {
    const lease = this.#drivers.get(server)?.lease;
    const leaseId = lease?.leaseId;
    return lease === undefined || leaseId === undefined
      ? undefined
      : { backend: lease.backend, leaseId };
  }

  /** Answers a peer that asks what became of an attempt. */
  async handleTaskStatus({ server, ...ref }: TaskStatusRequest): Promise<TaskStatusReply> {
    const lease = this.#drivers.get(server)?.lease;
    const status = (await lease?.confirmedStatus(ref)) ?? "not-holder";
    return { type: "task-status-reply", status };
  }

  /** Leases that may serve as evidence in a fencing proof. */
  evidence(): readonly LeaseEvidence[] {
    const least = this.#options.leaseTtlMs * EVIDENCE_PART;
    return [...this.#drivers].flatMap(([server, { lease }]) =>
      lease.validMs > 0 && lease.heldForMs >= least ? [{ server, validMs: lease.validMs }] : [],
    );
  }

  /**
   * Running tasks on held servers that are charged to an incarnation. What is remembered of servers
   * held earlier is left out: their tasks may have ended since, and their holders report them.
   */
  chargedTo(incarnation: string): readonly TeamCharge[] {
    return [...this.#drivers.values()].flatMap(({ lease }) =>
      lease.leaseId === undefined ? [] : lease.tasks.chargedTo(incarnation),
    );
  }

  /** Part of the gossip about servers. */
  gossipHeld(): Pick<GossipMessage, "held" | "leaving"> {
    const entries = [...this.#drivers];
    return {
      held: entries.flatMap(([name, { lease }]) => (lease.held ? [name] : [])),
      leaving: entries.flatMap(([name, { lease }]) => (lease.held && lease.leaving ? [name] : [])),
    };
  }

  get #self(): string {
    return this.#options.peers.self.incarnation;
  }

  #dispatchable(record: ServerRecord, lease: ServerLease): boolean {
    if (lease.leaseId === undefined || lease.releasing || lease.leaving) return false;
    if (record.state !== "serving" || !this.#recordKnown(lease)) return false;
    return !this.#drain.blocksDispatch(record.name, this.#zone.revision);
  }

  /**
   * True if the server's record was read after the server was acquired. An entry that is cut off
   * could otherwise take a server that was drained and rebooted since, and give it work of its
   * former pool. In a platform-wide outage nobody can have changed the record.
   */
  #recordKnown(lease: ServerLease): boolean {
    const { fleet, config } = this.#options;
    return lease.heldSince <= fleet.confirmedAt() || config.platformWideOutage();
  }

  /** Reads the fleet document again for servers that were acquired since it was read last. */
  #confirmRecords(): void {
    const confirmedAt = this.#options.fleet.confirmedAt();
    const drivers = [...this.#drivers.values()];
    if (!drivers.some(({ lease }) => lease.held && lease.heldSince > confirmedAt)) return;
    void this.#options.fleet.refresh().then(() => {
      this.#notify();
    });
  }

  /** A fenced entry that resumes with a new lease must not start even work without a budget. */
  #mayDispatch(): boolean {
    if (this.#stopped.signal.aborted) return false;
    const since = this.#options.coverage.since();
    const activeAsOf = this.#options.membership.activeConfirmedAt();
    return since !== undefined && activeAsOf !== undefined && activeAsOf >= since;
  }

  /** Starts and ends the tasks of servers that were added, removed or moved to another address. */
  #follow(document: FleetDocument): void {
    if (this.#stopped.signal.aborted) return;
    if (document.retired.some(({ incarnation }) => incarnation === this.#self)) return;
    const records = new Map(this.#zone.records().map((record) => [record.name, record]));
    for (const [name, driver] of this.#drivers) {
      if (records.get(name)?.address === driver.address) continue;
      void driver.stop(undefined);
      this.#drivers.delete(name);
    }
    for (const record of records.values()) {
      if (!this.#drivers.has(record.name)) this.#drive(record);
    }
    this.#notify();
  }

  #drive({ name, address }: ServerRecord): void {
    const { connector, peers } = this.#options;
    const lease = new ServerLease({
      ...this.#options,
      name,
      backend: connector.connect(address),
      incarnation: this.#self,
      onFinished: (record) => {
        this.#onFinished(name, record);
      },
      onLeaving: () => {
        peers.announceLeaving(name);
      },
      onChange: () => {
        this.#confirmRecords();
        this.#notify();
      },
    });
    const driver = new LeaseController({
      ...this.#options,
      name,
      address,
      lease,
      self: this.#self,
    });
    this.#drivers.set(name, driver);
    driver.reconcile(this.#holderView());
  }

  /** Acquires servers, hands them over and reports drained ones. */
  #tick(): void {
    this.#confirmRecords();
    const view = this.#holderView();
    for (const driver of this.#drivers.values()) driver.reconcile(view);
    for (const record of this.#zone.records()) {
      const lease = this.#drivers.get(record.name)?.lease;
      if (record.state !== "draining" || lease?.leaseId === undefined) continue;
      if (lease.tasks.occupied > 0) continue;
      void this.#drain.tryMarkEmpty(record, () => lease.listsNoTasks());
    }
  }

  /** Nothing is acquired or handed over by an outdated fleet document. */
  #holderView(): ZoneHolders {
    const liveMembers = this.#zone.isFleetStale() ? [] : this.#liveMembers();
    return { liveMembers, heldByPeers: this.#zone.heldByPeers() };
  }

  /** Entries that may hold servers of the zone, this one among them until its shutdown. */
  #liveMembers(): readonly string[] {
    const others = this.#zone.livePeers();
    const gone = this.#stopped.signal.aborted || this.#options.membership.retired(this.#self);
    return gone ? others : [this.#self, ...others];
  }

  #onFinished(server: string, record: TaskRecord): void {
    for (const listener of this.#finished) listener({ server, record });
    if (record.team === undefined || record.chargedTo === this.#self) return;
    const task = { requestId: record.requestId, attempt: record.attempt };
    // A lost message is made up for by the periodic `task-status` of the charged incarnation.
    void this.#options.peers.call(
      record.chargedTo,
      { type: "charge-release", tasks: [task] },
      CHARGE_RELEASE_TIMEOUT_MS,
    );
  }

  #notify(): void {
    for (const listener of this.#changed) listener();
  }
}
