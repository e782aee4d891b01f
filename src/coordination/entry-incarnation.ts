import { PEER_PROTOCOL_VERSION, type Hello } from "../protocol/peer-messages.ts";
import type { PeerReply, PeerRequest, TeamLoad } from "../protocol/peer-messages.ts";
import type { SlotOwnershipDocument } from "../protocol/slot-ownership-document.ts";
import type { EntryStatus } from "../protocol/entry-status.ts";
import { TaskCharges } from "../state/task-charges.ts";
import { activeMembers } from "../state/slot-ownership.ts";
import { BudgetKeeper } from "./budget-keeper.ts";
import { ChargeResolver } from "./charge-resolver.ts";
import { ConfigFollower } from "./config-follower.ts";
import { ConfigGossip } from "./config-gossip.ts";
import { DocumentFollower } from "./document-follower.ts";
import { DocumentStore } from "./document-store.ts";
import type { LeaderRole } from "./leader-role.ts";
import { createLeaderRoles } from "./entry-leader-roles.ts";
import type { EntryDependencies } from "./entry-dependencies.ts";
import type { EntryPlannerSupport } from "./entry-planner-support.ts";
import { MembersOutageView, RequestPathRecords } from "./entry-views.ts";
import { FencingProver } from "./fencing-prover.ts";
import { FleetFollower } from "./fleet-follower.ts";
import { SlotOwnership } from "./slot-ownership.ts";
import { LeaseCoverage } from "./lease-coverage.ts";
import { LeaseKeeper } from "./lease-keeper.ts";
import { LimitsPeerHandler } from "./limits-peer-handler.ts";
import { SLOT_OWNERSHIP_KIND, SLOT_OWNERSHIP_WATCH_MS, MemberView } from "./member-view.ts";
import { PeerDirectory } from "./peer-directory.ts";
import type { Planner } from "./planner.ts";
import type { PeerState } from "./ports.ts";
import { RequestPath } from "./request-path.ts";
import type { RequestMessage } from "./peer-requests.ts";
import { SessionKeeper } from "./session-keeper.ts";
import { ShareMonitor } from "./share-monitor.ts";

/** Options of {@link EntryIncarnation}. */
export interface EntryIncarnationOptions extends EntryDependencies {
  /** Called once when this incarnation detects that it was marked as retired. */
  readonly onRetired: () => void;
}

/** One incarnation of an entry instance: from joining the members until it stops or is retired. */
export class EntryIncarnation {
  readonly path: RequestPath;
  readonly hello: Hello;
  readonly #options: EntryIncarnationOptions;
  readonly #ownershipFollower: DocumentFollower<SlotOwnershipDocument>;
  readonly #fleet: FleetFollower;
  readonly #config: ConfigFollower;
  readonly #configGossip: ConfigGossip;
  readonly #session: SessionKeeper;
  readonly #leases: LeaseKeeper;
  readonly #budgets: BudgetKeeper;
  readonly #slotOwnership: SlotOwnership;
  readonly #resolver: ChargeResolver;
  readonly #peers: PeerDirectory;
  readonly #limitsHandler: LimitsPeerHandler;
  readonly #planner: Planner;
  readonly #plannerSupport: EntryPlannerSupport;
  readonly #leaderRoles: readonly LeaderRole[];
  readonly #watchLeavingServers: (signal: AbortSignal) => Promise<void>;
  readonly #stopped = new AbortController();
  readonly #shares: ShareMonitor;
  #retired = false;

  constructor(options: EntryIncarnationOptions) {
    this.#options = options;
    const { settings, clock, random, keyValue, counters, log, backends, peerTransport } = options;
    const incarnation = `${settings.zone}-${random.hex(6)}`;
    const { zone, group, peerAddress: address } = settings;
    this.hello = { version: PEER_PROTOCOL_VERSION, incarnation, address, zone, group };
    const base = { ...settings, kv: keyValue, keyValue, clock, random, counters, log };
    const store = new DocumentStore(base);
    const follower = new DocumentFollower({
      ...base,
      kind: SLOT_OWNERSHIP_KIND,
      waitMs: SLOT_OWNERSHIP_WATCH_MS,
    });
    const fleet = new FleetFollower(base);
    const config = new ConfigFollower({
      ...base,
      watchMs: settings.configWatchMs,
      outage: new MembersOutageView(follower, () => this.#peers.gossip().values()),
    });
    const peers = new PeerDirectory({
      ...base,
      self: this.hello,
      transport: peerTransport,
      intervalMs: settings.gossipIntervalMs,
      queued: () => this.path.hasQueuedWork(),
      configRevision: () => config.current()?.revision ?? 0,
      members: () => (follower.current === undefined ? [] : activeMembers(follower.current.value)),
      sources: [
        () => this.path.gossipLoads(),
        () => this.#leases.gossipHeld(),
        () => this.#configGossip.gossipFields(),
        () => this.#revisions(),
      ],
      onGossip: (state) => {
        this.#onGossip(state);
      },
    });
    const coverage = new LeaseCoverage({ clock });
    const charges = new TaskCharges();
    const membership = new MemberView({ ownershipFollower: follower, incarnation });
    const records = new RequestPathRecords(() => this.path);
    const onRetired = (): void => {
      this.#onRetired();
    };
    const shared = {
      ...base,
      store,
      peers,
      fleet,
      ownershipFollower: follower,
      config,
      coverage,
      charges,
      membership,
    };
    const keeperOptions = { ...shared, connector: backends, records, onRetired };
    const leases = new LeaseKeeper(keeperOptions);
    const budgets = new BudgetKeeper({ ...keeperOptions, held: leases });
    const slotOwnership = new SlotOwnership(keeperOptions);
    const prover = new FencingProver({ ...shared, leases });
    this.path = new RequestPath({
      ...shared,
      settings,
      held: leases,
      budgets,
      ownership: slotOwnership,
    });
    const session = new SessionKeeper({ ...base, self: this.hello });
    const leaderRoles = createLeaderRoles({
      ...shared,
      session,
      prover,
      settings,
      held: leases,
      backends,
      instanceList: options.instanceList,
      isBadServer: (server) => this.path.isBadServer(server),
    });
    this.#limitsHandler = new LimitsPeerHandler({
      leases,
      budgets,
      charges,
      slotOwnership,
      prover,
    });
    this.#resolver = new ChargeResolver({ ...shared, held: leases });
    this.#configGossip = new ConfigGossip({ clock, config, peers });
    this.#ownershipFollower = follower;
    this.#fleet = fleet;
    this.#config = config;
    this.#session = session;
    this.#leases = leases;
    this.#budgets = budgets;
    this.#slotOwnership = slotOwnership;
    this.#peers = peers;
    this.#planner = leaderRoles.planner;
    this.#plannerSupport = leaderRoles.support;
    this.#leaderRoles = leaderRoles.all;
    this.#watchLeavingServers = leaderRoles.watchLeavingServers;
    this.#shares = new ShareMonitor({ clock, config, loads: () => this.#teamLoads() });
  }

  /** Listens for peers and starts every loop. Rejects with an error that names an address in use. */
  async start(): Promise<void> {
    const { peerTransport } = this.#options;
    const listening = await peerTransport.listen(this.hello, (from, req) =>
      this.#handlePeer(from, req),
    );
    if (listening.err) throw new Error(listening.val);
    void this.#ownershipFollower.run();
    this.#fleet.start();
    this.#config.start();
    void this.#session.run();
    this.#peers.start();
    void this.#slotOwnership.join().then(() => this.#slotOwnership.run());
    void this.#leases.run();
    void this.#budgets.run();
    void this.#resolver.run();
    this.#planner.start();
    for (const role of this.#leaderRoles) void role.run();
    void this.#watchLeavingServers(this.#stopped.signal);
    this.#shares.start();
  }

  /** Stops every loop at once. Tasks keep running on their servers. */
  async stop(): Promise<void> {
    this.#stopped.abort();
    this.path.abandon();
    this.#shares.stop();
    this.#planner.stop();
    for (const role of this.#leaderRoles) void role.stop();
    this.#resolver.stop();
    this.#slotOwnership.stop();
    this.#budgets.stop();
    void this.#leases.shutdown();
    this.#peers.stop();
    this.#config.stop();
    this.#fleet.stop();
    this.#ownershipFollower.stop();
    void this.#session.stop();
    await this.#options.peerTransport.close();
  }

  /** Drains the requests, hands over hash slots and leases, releases budgets, and stops. */
  async shutdown(): Promise<void> {
    this.#retired = true;
    this.#peers.announceStopping();
    this.#planner.stop();
    await Promise.all(this.#leaderRoles.map((role) => role.stop()));
    await this.path.drain(this.#options.settings.shutdownTimeoutMs);
    await this.#slotOwnership.leave();
    await this.path.refuseQueued();
    await this.#leases.shutdown();
    await this.#budgets.retireSelf();
    await this.stop();
  }

  /** Reasons why this entry is not ready for requests; empty if it is ready. */
  notReadyReasons(): readonly string[] {
    const reasons: string[] = [];
    if (this.#config.current() === undefined) reasons.push("no configuration has been read yet");
    if (this.#ownershipFollower.current === undefined)
      reasons.push("no homes document has been read yet");
    if (this.#retired) reasons.push("stopping");
    return reasons;
  }

  /** Status for operators' tools. */
  status(): EntryStatus {
    const held = this.#leases.list();
    return {
      incarnation: this.hello.incarnation,
      zone: this.hello.zone,
      configRevision: this.#config.current()?.revision ?? 0,
      configAgeMs: this.#config.ageMs(),
      platformReachable: this.#config.platformReachable(),
      keyedWorkAllowed: this.#config.keyedWorkAllowed(),
      teams: this.path.gossipLoads().teams.map((load) => ({ ...load })),
      pools: this.path.gossipLoads().pools,
      closeness: [...this.#shares.summary()],
      held,
      peers: [...this.#peers.gossip().keys()],
      ...(this.#plannerSupport.isLeader() ? { planner: this.#planner.status() } : {}),
    };
  }

  #teamLoads(): Iterable<TeamLoad> {
    const peers = [...this.#peers.gossip().values()].flatMap(({ message }) => message.teams);
    return [...this.path.gossipLoads().teams, ...peers];
  }

  #revisions(): { readonly fleetRevision: number; readonly homesRevision: number } {
    return {
      fleetRevision: this.#fleet.current()?.revision ?? 0,
      homesRevision: this.#ownershipFollower.revision,
    };
  }

  #onGossip(state: PeerState): void {
    this.#configGossip.handleGossip(state);
    this.path.gossipReceived();
  }

  #onRetired(): void {
    if (this.#retired) return;
    this.#retired = true;
    this.#options.onRetired();
  }

  async #handlePeer(from: Hello, req: PeerRequest): Promise<PeerReply> {
    if (req.type === "gossip") return this.#peers.answerGossip(from, req);
    if (req.type === "config") return this.#configGossip.replyToRequest();
    if (req.type === "config-offer") return this.#configGossip.handleOffer(req);
    if (req.type === "reboot") return this.#plannerSupport.handleReboot(req.server);
    // Only entry instances of the job scheduler relay store calls.
    if (req.type === "store-call" || req.type === "record-notice")
      return { type: "ack", accepted: false };
    const reply = await this.#limitsHandler.handlePeer(from, req);
    return reply ?? this.path.peerRequests.handlePeer(from, req as RequestMessage);
  }
}
