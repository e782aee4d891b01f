import type { Clock } from "../ports/clock.ts";
import type { Random } from "../ports/random.ts";
import type { GossipMessage } from "../protocol/peer-messages.ts";
import type { EntrySettings } from "../settings/entry-settings.ts";
import { FailureAttribution } from "../state/failure-attribution.ts";
import { OPEN_TEAM } from "../state/fair-share-queue.ts";
import { RequestTable } from "../state/request-table.ts";
import { RetryBudget } from "../state/retry-budget.ts";
import { RunTimeEstimates } from "../state/run-time-estimates.ts";
import { AttemptTracker } from "./attempt-tracker.ts";
import { Dispatcher } from "./dispatcher.ts";
import { EntryRequests } from "./entry-requests.ts";
import { OwnerClient } from "./owner-client.ts";
import { OwnedRequests } from "./owned-requests.ts";
import { UnclaimedResults } from "./unclaimed-results.ts";
import { PeerRequests } from "./peer-requests.ts";
import {
  type Budgets,
  type ConfigView,
  type Counters,
  type FleetView,
  type HeldServers,
  type RequestOwnership,
  type Peers,
} from "./ports.ts";
import { RequestDriver } from "./request-driver.ts";
import { RequestRecords } from "./request-records.ts";
import { ResultDelivery } from "./result-delivery.ts";
import { ReceivedOffers } from "./received-offers.ts";

const SHUTDOWN_POLL_MS = 50;

/** Options of {@link RequestPath}. */
export interface RequestPathOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly settings: EntrySettings;
  readonly config: ConfigView;
  readonly fleet: FleetView;
  readonly held: HeldServers;
  readonly budgets: Budgets;
  readonly ownership: RequestOwnership;
  readonly peers: Peers;
  readonly counters: Counters;
}

/** Connects the components that handle requests to the other components of an entry instance. */
export class RequestPath {
  /** Handles requests from callers. */
  readonly requests: EntryRequests;
  /** Handles messages from peers. */
  readonly peerRequests: PeerRequests;
  /** Exports and imports records when hash slots move. */
  readonly records: RequestRecords;
  readonly #options: RequestPathOptions;
  readonly #attribution: FailureAttribution;
  readonly #table: RequestTable;
  readonly #dispatcher: Dispatcher;
  readonly #driver: RequestDriver;

  constructor(options: RequestPathOptions) {
    this.#options = options;
    const estimates = new RunTimeEstimates();
    const attribution = new FailureAttribution(options.settings);
    const retryBudget = new RetryBudget();
    const { clock, settings } = options;
    const table = new RequestTable({ clock, ...settings });
    const dispatcher = new Dispatcher({ ...options, estimates, attribution });
    const tracker = new AttemptTracker(options);
    const shared = { ...options, table, dispatcher, tracker, retryBudget, attribution };
    const driver = new RequestDriver(shared);
    this.records = new RequestRecords({ ...shared, driver });
    const ownedRequests = new OwnedRequests({ ...shared, driver });
    const results = new ResultDelivery({ ...shared, ownedRequests });
    const offers = new ReceivedOffers(shared);
    const ownerClient = new OwnerClient(options);
    const unclaimedResults = new UnclaimedResults({ ...options, results });
    this.requests = new EntryRequests({
      ...options,
      ownedRequests,
      ownerClient,
      offers,
      unclaimedResults,
    });
    this.peerRequests = new PeerRequests({
      ...options,
      ownedRequests,
      offers,
      unclaimedResults,
    });
    this.#attribution = attribution;
    this.#table = table;
    this.#dispatcher = dispatcher;
    this.#driver = driver;
  }

  /** Pool and team loads for this entry's gossip. */
  gossipLoads(): Pick<GossipMessage, "pools" | "teams"> {
    const { budgets, config } = this.#options;
    const queued = this.#dispatcher.queuedByTeam();
    const teams = (config.current()?.teams ?? []).map(({ name: team }) => {
      const running = budgets.running(team);
      const budget = running + budgets.availableBudget(team);
      return { team, running, budget, queued: queued.get(team) ?? 0 };
    });
    const active = teams.filter((each) => each.budget > 0 || each.running > 0 || each.queued > 0);
    const open = queued.get(OPEN_TEAM) ?? 0;
    if (open > 0) active.push({ team: OPEN_TEAM, running: 0, budget: 0, queued: open });
    return { pools: this.#dispatcher.poolLoads(), teams: active };
  }

  /** True while work is queued here. */
  hasQueuedWork(): boolean {
    return this.#dispatcher.queuedByTeam().size > 0;
  }

  /** True if the server is on probation and failed several jobs since its last success. */
  isBadServer(server: string): boolean {
    return this.#attribution.quarantineCandidates().includes(server);
  }

  /** Uses new capacity reported by gossip without waiting for the next review. */
  gossipReceived(): void {
    this.#dispatcher.review();
  }

  /**
   * First part of a shutdown: refuses new requests, offers queued work to peers, and waits up to
   * `timeoutMs` until no caller waits and, if there are peers, no request is left to start. Hash
   * slots can move afterwards.
   */
  async drain(timeoutMs: number): Promise<void> {
    const { clock, peers } = this.#options;
    const end = clock.now() + timeoutMs;
    this.requests.stop();
    this.#dispatcher.beginStopping();
    const busy = (): boolean => {
      const placeable = peers.gossip().size > 0 && this.#driver.unstartedCount > 0;
      return placeable || this.requests.waitingSubmits + this.#table.countAwaited() > 0;
    };
    while (clock.now() < end && busy()) await clock.sleep(SHUTDOWN_POLL_MS);
  }

  /** Last part of a shutdown: refuses all queued requests as not run. */
  async refuseQueued(): Promise<void> {
    this.#driver.withdrawQueued("stopping");
    this.#dispatcher.close();
    // Leaves time to write the refusals before the callers' connections are closed.
    await this.#options.clock.sleep(SHUTDOWN_POLL_MS);
    this.requests.replyToWaiting();
    await this.#options.clock.sleep(SHUTDOWN_POLL_MS);
  }

  /**
   * Stops at once and reports an unknown outcome to every waiting caller, even for queued requests:
   * after this incarnation is retired, the next owner may run a retry of them.
   */
  abandon(): void {
    this.requests.stop();
    this.requests.replyToWaiting();
    this.#dispatcher.close();
  }

  /** Drains for up to `timeoutMs`, then refuses the requests that are still queued. */
  async shutdown(timeoutMs: number): Promise<void> {
    await this.drain(timeoutMs);
    await this.refuseQueued();
  }
}
