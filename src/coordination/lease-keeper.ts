/** The backend servers leased by this entry; one lease controller per server of the zone. */
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
import { selectByRendezvous } from "../state/rendezvous.ts";
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
 * Minimum age of a lease that counts as evidence, in multiples of its time to live. A rebooted
 * server loses its lease, so for up to one time to live a former holder may still consider its
 * lease valid while the next holder already has one.
 */
const MIN_EVIDENCE_AGE_TTLS = 1.5;
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

/** Acquires, renews and hands over the leases of the zone's servers, and adopts their tasks. */
export class LeaseKeeper extends HeldServers {
  readonly #options: LeaseKeeperOptions;
  readonly #drain: ServerDrain;
  readonly #zone: ZoneView;
  readonly #controllers = new Map<string, LeaseController>();
  readonly #finishedListeners = new Set<(task: FinishedTask) => void>();
  readonly #changeListeners = new Set<() => void>();
  readonly #stopped = new AbortController();

  constructor(options: LeaseKeeperOptions) {
    super();
    this.#options = options;
    this.#zone = new ZoneView(options);
    const { store, clock, peers } = options;
    this.#drain = new ServerDrain({ store, clock, group: peers.self.group });
  }

  /** Manages the leases of the servers in the fleet document until {@link shutdown}. */
  async run(): Promise<void> {
    const { fleet, coverage, membership, clock } = this.#options;
    const unsubscribe = [
      fleet.onChange((document) => {
        this.#updateControllers(document);
      }),
      coverage.onStart(() => {
        void membership.refresh().then(() => {
          this.#notify();
        });
      }),
    ];
    const first = fleet.current();
    if (first !== undefined) this.#updateControllers(first);
    while (!this.#stopped.signal.aborted) {
      await clock.sleep(ACQUIRE_INTERVAL_MS, this.#stopped.signal);
      this.#tick();
    }
    for (const end of unsubscribe) end();
  }

  /** Hands each held server over to the entry preferred for it among the others. */
  async shutdown(): Promise<void> {
    this.#stopped.abort();
    const others = this.#zone.livePeers();
    const controllers = [...this.#controllers];
    await Promise.all(
      controllers.map(([name, controller]) => controller.stop(selectByRendezvous(name, others))),
    );
    this.#notify();
  }

  list(): readonly HeldServer[] {
    const listed: HeldServer[] = [];
    const mayDispatch = this.#mayDispatch();
    const leaving = this.#options.peers.leavingServers();
    // Called very often, so a plain loop that creates no records for servers of other entries.
    for (const record of this.#zone.records()) {
      const lease = this.#controllers.get(record.name)?.lease;
      if (lease?.held !== true) continue;
      const { name, zone, rack, pool, slots } = record;
      const allowed = mayDispatch && !leaving.has(name);
      const dispatchable = allowed && this.#isDispatchable(record, lease);
      listed.push({ name, zone, rack, pool, slots, running: lease.tasks.occupied, dispatchable });
    }
    return listed;
  }

  async start(server: string, spec: TaskSpec): Promise<Result<void, StartError>> {
    const record = this.#zone.records().find(({ name }) => name === server);
    const lease = this.#controllers.get(server)?.lease;
    if (record === undefined || lease === undefined) {
      return Err({ kind: "not-started", reason: "lease_lapsed" });
    }
    const allowed = this.#mayDispatch() && !this.#options.peers.leavingServers().has(server);
    if (!allowed || !this.#isDispatchable(record, lease)) {
      const reason = lease.leaving ? "server_leaving" : "lease_lapsed";
      return Err({ kind: "not-started", reason });
    }
    if (lease.tasks.occupied >= record.slots) {
      return Err({ kind: "not-started", reason: "server_full" });
    }
    // Invariant: work of a team never runs without a charge to this entry's own budget.
    if (spec.team !== undefined && !this.#options.charges.has(spec)) {
      this.#options.counters.event("start_without_charge");
      return Err({ kind: "not-started", reason: "never_started" });
    }
    return lease.start({ ...spec, chargedTo: this.#self });
  }

  async stop(server: string, ref: TaskRef, how: "stop" | "checkpoint"): Promise<void> {
    await this.#controllers.get(server)?.lease.stop(ref, how);
  }

  async acknowledge(server: string, ref: TaskRef): Promise<void> {
    await this.#controllers.get(server)?.lease.acknowledge(ref);
  }

  status(server: string, ref: TaskRef): TaskStatus {
    const lease = this.#controllers.get(server)?.lease;
    if (lease?.leaseId === undefined) return "not-holder";
    return lease.tasks.status(ref) ?? "lost";
  }

  onFinished(listener: (task: FinishedTask) => void): Unsubscribe {
    this.#finishedListeners.add(listener);
    return () => this.#finishedListeners.delete(listener);
  }

  onChange(listener: () => void): Unsubscribe {
    this.#changeListeners.add(listener);
    return () => this.#changeListeners.delete(listener);
  }

  client(
    server: string,
  ): { readonly backend: BackendServer; readonly leaseId: string } | undefined {
    const lease = this.#controllers.get(server)?.lease;
    const leaseId = lease?.leaseId;
    return lease === undefined || leaseId === undefined
      ? undefined
      : { backend: lease.backend, leaseId };
  }

  /** Handles a peer's request for the status of an attempt. */
  async handleTaskStatus({ server, ...ref }: TaskStatusRequest): Promise<TaskStatusReply> {
    const lease = this.#controllers.get(server)?.lease;
    const status = (await lease?.confirmedStatus(ref)) ?? "not-holder";
    return { type: "task-status-reply", status };
  }

  /** Leases that may serve as evidence in a fencing proof. */
  evidence(): readonly LeaseEvidence[] {
    const minHeldMs = this.#options.leaseTtlMs * MIN_EVIDENCE_AGE_TTLS;
    return [...this.#controllers].flatMap(([server, { lease }]) =>
      lease.validMs > 0 && lease.heldForMs >= minHeldMs ? [{ server, validMs: lease.validMs }] : [],
    );
  }

  /**
   * Running tasks on held servers that are charged to an incarnation. Tasks known from servers held
   * earlier are left out: they may have ended since, and the current holders report them.
   */
  chargedTo(incarnation: string): readonly TeamCharge[] {
    return [...this.#controllers.values()].flatMap(({ lease }) =>
      lease.leaseId === undefined ? [] : lease.tasks.chargedTo(incarnation),
    );
  }

  /** Held and leaving servers, for gossip. */
  gossipHeld(): Pick<GossipMessage, "held" | "leaving"> {
    const entries = [...this.#controllers];
    return {
      held: entries.flatMap(([name, { lease }]) => (lease.held ? [name] : [])),
      leaving: entries.flatMap(([name, { lease }]) => (lease.held && lease.leaving ? [name] : [])),
    };
  }

  get #self(): string {
    return this.#options.peers.self.incarnation;
  }

  #isDispatchable(record: ServerRecord, lease: ServerLease): boolean {
    if (lease.leaseId === undefined || lease.releasing || lease.leaving) return false;
    if (record.state !== "serving" || !this.#isRecordCurrent(lease)) return false;
    return !this.#drain.blocksDispatch(record.name, this.#zone.revision);
  }

  /**
   * True if the server's record was read after the server was acquired. A partitioned entry could
   * otherwise acquire a server that was drained and rebooted since, and dispatch work of its former
   * pool to it. In a platform-wide outage nobody can have changed the record.
   */
  #isRecordCurrent(lease: ServerLease): boolean {
    const { fleet, config } = this.#options;
    return lease.heldSince <= fleet.confirmedAt() || config.platformWideOutage();
  }

  /** Reads the fleet document again if a server was acquired after the last read. */
  #confirmRecords(): void {
    const confirmedAt = this.#options.fleet.confirmedAt();
    const controllers = [...this.#controllers.values()];
    if (!controllers.some(({ lease }) => lease.held && lease.heldSince > confirmedAt)) return;
    void this.#options.fleet.refresh().then(() => {
      this.#notify();
    });
  }

  /**
   * True if this entry was confirmed as an active member during its current coverage. A fenced
   * entry that resumes with a new lease must not start work, not even work that needs no budget.
   */
  #mayDispatch(): boolean {
    if (this.#stopped.signal.aborted) return false;
    const since = this.#options.coverage.since();
    const confirmedAt = this.#options.membership.activeConfirmedAt();
    return since !== undefined && confirmedAt !== undefined && confirmedAt >= since;
  }

  /** Adds, removes and replaces controllers when servers or their addresses change. */
  #updateControllers(document: FleetDocument): void {
    if (this.#stopped.signal.aborted) return;
    if (document.retired.some(({ incarnation }) => incarnation === this.#self)) return;
    const records = new Map(this.#zone.records().map((record) => [record.name, record]));
    for (const [name, controller] of this.#controllers) {
      if (records.get(name)?.address === controller.address) continue;
      void controller.stop(undefined);
      this.#controllers.delete(name);
    }
    for (const record of records.values()) {
      if (!this.#controllers.has(record.name)) this.#addController(record);
    }
    this.#notify();
  }

  #addController({ name, address }: ServerRecord): void {
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
    const controller = new LeaseController({
      ...this.#options,
      name,
      address,
      lease,
      self: this.#self,
    });
    this.#controllers.set(name, controller);
    controller.reconcile(this.#zoneHolders());
  }

  /** Acquires servers, hands them over and marks drained ones as empty. */
  #tick(): void {
    this.#confirmRecords();
    const holders = this.#zoneHolders();
    for (const controller of this.#controllers.values()) controller.reconcile(holders);
    for (const record of this.#zone.records()) {
      const lease = this.#controllers.get(record.name)?.lease;
      if (record.state !== "draining" || lease?.leaseId === undefined) continue;
      if (lease.tasks.occupied > 0) continue;
      void this.#drain.tryMarkEmpty(record, () => lease.listsNoTasks());
    }
  }

  /** Without live members if the fleet document is outdated, so that no lease changes holder. */
  #zoneHolders(): ZoneHolders {
    const liveMembers = this.#zone.isFleetStale() ? [] : this.#liveMembers();
    return { liveMembers, heldByPeers: this.#zone.heldByPeers() };
  }

  /** Entries that may hold servers of the zone, including this one until its shutdown. */
  #liveMembers(): readonly string[] {
    const others = this.#zone.livePeers();
    const excluded =
      this.#stopped.signal.aborted || this.#options.membership.mayBeRetired(this.#self);
    return excluded ? others : [this.#self, ...others];
  }

  #onFinished(server: string, record: TaskRecord): void {
    for (const listener of this.#finishedListeners) listener({ server, record });
    if (record.team === undefined || record.chargedTo === this.#self) return;
    const task = { requestId: record.requestId, attempt: record.attempt };
    // If the message is lost, the charged incarnation's periodic `task-status` ends the charge.
    void this.#options.peers.call(
      record.chargedTo,
      { type: "charge-release", tasks: [task] },
      CHARGE_RELEASE_TIMEOUT_MS,
    );
  }

  #notify(): void {
    for (const listener of this.#changeListeners) listener();
  }
}
