/** An entry instance that consists of its state and membership modules only. */
import { Err, Ok, type Result } from "ts-results";
import { BudgetKeeper } from "../../src/coordination/budget-keeper.ts";
import { ChargeResolver } from "../../src/coordination/charge-resolver.ts";
import { DocumentFollower } from "../../src/coordination/document-follower.ts";
import { DocumentStore } from "../../src/coordination/document-store.ts";
import { LeaderRole } from "../../src/coordination/leader-role.ts";
import { Fencing, RECLAIM_INTERVAL_MS } from "../../src/coordination/fencing.ts";
import { FencingProver } from "../../src/coordination/fencing-prover.ts";
import { SlotOwnership } from "../../src/coordination/slot-ownership.ts";
import { LeaseCoverage } from "../../src/coordination/lease-coverage.ts";
import { LeaseKeeper } from "../../src/coordination/lease-keeper.ts";
import { LimitsPeerHandler } from "../../src/coordination/limits-peer-handler.ts";
import {
  SLOT_OWNERSHIP_KIND,
  SLOT_OWNERSHIP_WATCH_MS,
  MemberView,
} from "../../src/coordination/member-view.ts";
import { Peers, type PeerState } from "../../src/coordination/ports.ts";
import { fleetKind } from "../../src/coordination/server-drain.ts";
import { SessionKeeper } from "../../src/coordination/session-keeper.ts";
import type { BackendServer, TaskSpec } from "../../src/ports/backend-server.ts";
import type { KeyValueService } from "../../src/ports/key-value-service.ts";
import type { PeerError } from "../../src/ports/peer-transport.ts";
import type { SlotOwnershipDocument } from "../../src/protocol/slot-ownership-document.ts";
import type { Hello, PeerReply, PeerRequest, ReplyTo } from "../../src/protocol/peer-messages.ts";
import { TaskCharges } from "../../src/state/task-charges.ts";
import { helloOf, taskSpec } from "./builders.ts";
import { LinkedBackend, LinkedKeyValue, newLink, type Link } from "./limits-network.ts";
import { FollowedFleet, InMemorySlotRecords, TEAM, type TestConfig } from "./limits-ports.ts";
import { RecordedCounters } from "./observability-fakes.ts";
import { ProcessClock, ProcessGate } from "./process-gate.ts";
import type { SeededRandom } from "./seeded-random.ts";
import type { VirtualClock } from "./virtual-clock.ts";

const LEASE_TTL_MS = 4000;
const SESSION_TTL_MS = 6000;
export const GROUP = "g";

/** The clock, the services and the network that the entries of a test share. */
export interface ClusterContext {
  readonly clock: VirtualClock;
  readonly random: SeededRandom;
  readonly kv: KeyValueService;
  readonly config: TestConfig;
  readonly entries: readonly Entry[];
  server(address: string): BackendServer;
  connected(a: Entry, b: Entry): boolean;
}

class ClusterPeers extends Peers {
  readonly self: Hello;
  readonly states = new Map<string, PeerState>();
  readonly #cluster: ClusterContext;
  constructor(cluster: ClusterContext, self: Hello) {
    super();
    this.#cluster = cluster;
    this.self = self;
  }
  async call<T extends PeerRequest>(
    incarnation: string,
    req: T,
  ): Promise<Result<ReplyTo<T>, PeerError>> {
    const { clock } = this.#cluster;
    const from = this.#cluster.entries.find((entry) => entry.peers === this)!;
    const to = this.#cluster.entries.find((entry) => entry.hello.incarnation === incarnation);
    await clock.sleep(1);
    if (to === undefined || !this.#cluster.connected(from, to)) {
      await from.clock.untilRunning();
      return Err({ kind: "not-sent", detail: "simulated fault" });
    }
    const reply: PeerReply | undefined = await to.handler.handlePeer(this.self, req);
    await clock.sleep(1);
    await from.clock.untilRunning();
    return reply === undefined ? Err({ kind: "busy" }) : Ok(reply as ReplyTo<T>);
  }
  gossip(): ReadonlyMap<string, PeerState> {
    const oldest = this.#cluster.clock.now() - 3000;
    return new Map([...this.states].filter(([, state]) => state.requestedAt >= oldest));
  }
  announceLeaving(): void {
    return;
  }
}

/** An entry instance on a simulated process. */
export class Entry {
  readonly gate: ProcessGate;
  readonly clock: ProcessClock;
  readonly kvLink: Link = newLink();
  readonly backendLink: Link = newLink();
  readonly hello: Hello;
  readonly peers: ClusterPeers;
  readonly ownershipFollower: DocumentFollower<SlotOwnershipDocument>;
  readonly fleet: FollowedFleet;
  readonly coverage: LeaseCoverage;
  readonly charges = new TaskCharges();
  readonly leases: LeaseKeeper;
  readonly budgets: BudgetKeeper;
  readonly slotOwnership: SlotOwnership;
  readonly prover: FencingProver;
  readonly handler: LimitsPeerHandler;
  readonly records = new InMemorySlotRecords();
  readonly counters = new RecordedCounters();
  readonly store: DocumentStore;
  stopping = false;
  retiredCount = 0;
  #attempts = 0;

  constructor(cluster: ClusterContext, incarnation: string, zone: string) {
    const baseClock = cluster.clock;
    const { random } = cluster;
    this.gate = new ProcessGate({ clock: baseClock });
    this.clock = new ProcessClock({ base: baseClock, gate: this.gate });
    const { clock, counters, charges } = this;
    const linkOptions = { link: this.kvLink, baseClock, clock, random };
    const kv = new LinkedKeyValue(cluster.kv, linkOptions);
    this.hello = helloOf(incarnation, { address: `10.0.0.1:${incarnation}`, zone });
    const peers = (this.peers = new ClusterPeers(cluster, this.hello));
    const store = (this.store = new DocumentStore({ kv, clock, random, counters }));
    const base = { kv, store, clock, random, counters, peers };
    const ownershipFollower = new DocumentFollower({
      ...base,
      kind: SLOT_OWNERSHIP_KIND,
      waitMs: SLOT_OWNERSHIP_WATCH_MS,
    });
    const fleetFollower = new DocumentFollower({ ...base, kind: fleetKind(GROUP), waitMs: 1500 });
    this.ownershipFollower = ownershipFollower;
    const fleet = (this.fleet = new FollowedFleet(fleetFollower));
    const coverage = (this.coverage = new LeaseCoverage({ clock }));
    const membership = new MemberView({ ownershipFollower, incarnation });
    const onRetired = (): void => {
      this.retiredCount++;
    };
    const connector = {
      connect: (address: string) =>
        new LinkedBackend(cluster.server(address), { ...linkOptions, link: this.backendLink }),
    };
    const leaseOptions = { leaseTtlMs: LEASE_TTL_MS, resultRetentionMs: 600_000 };
    const shared = {
      ...base,
      fleet,
      ownershipFollower,
      membership,
      coverage,
      charges,
      connector,
      onRetired,
    };
    const sizes = { ledgerShards: 2, budgetIdleMs: 2000, idempotencyWindowMs: 3_600_000 };
    const options = { ...shared, ...leaseOptions, ...sizes, sessionTtlMs: SESSION_TTL_MS };
    const leases = (this.leases = new LeaseKeeper({ ...options, config: cluster.config }));
    const budgets = (this.budgets = new BudgetKeeper({
      ...options,
      held: leases,
      config: cluster.config,
    }));
    const ownership = (this.slotOwnership = new SlotOwnership({
      ...options,
      records: this.records,
    }));
    const prover = (this.prover = new FencingProver({ ...options, leases }));
    this.handler = new LimitsPeerHandler({
      leases,
      budgets,
      charges,
      slotOwnership: ownership,
      prover,
    });
    const session = new SessionKeeper({ ...options, self: this.hello });
    const fencing = new Fencing({ ...options, prover });
    const reclaimRole = new LeaderRole({
      ...options,
      name: `reclaim-${zone}`,
      session,
      incarnation,
      step: () => fencing.step(),
      intervalMs: RECLAIM_INTERVAL_MS,
    });
    const resolver = new ChargeResolver({ ...options, held: leases });
    void ownershipFollower.run();
    void fleetFollower.run();
    void session.run();
    void ownership.join().then(() => ownership.run());
    void leases.run();
    void budgets.run();
    void reclaimRole.run();
    void resolver.run();
    leases.onFinished(({ server, record }) => void leases.acknowledge(server, record));
  }

  /** Creates a new task of the team, or of an open queue if `team` is undefined. */
  nextTask(team: string | undefined): TaskSpec {
    const { incarnation } = this.hello;
    const requestId = `${incarnation}-${++this.#attempts}`;
    return taskSpec({ requestId, home: incarnation, chargedTo: incarnation, team });
  }

  /**
   * Starts one task of the team if a slot and budget are free. An ambiguous start keeps its charge,
   * which the charge resolver settles.
   */
  async runOne(): Promise<"started" | "declined" | "ambiguous"> {
    const spec = this.nextTask(TEAM);
    const target = this.leases
      .list()
      .find((server) => server.dispatchable && server.running < server.slots);
    if (target === undefined || !this.budgets.tryCharge(TEAM, spec)) return "declined";
    const outcome = await this.leases.start(target.name, spec);
    if (outcome.ok) return "started";
    if (outcome.val.kind === "ambiguous") return "ambiguous";
    this.budgets.release(TEAM, spec);
    return "declined";
  }

  /** Tries to start `queued` tasks every 25 ms. Never returns. */
  async generateLoad(queued: number): Promise<void> {
    for (;;) {
      this.budgets.setDemand(TEAM, queued);
      await Promise.all(Array.from({ length: queued }, () => this.runOne()));
      await this.clock.sleep(25);
    }
  }
}
