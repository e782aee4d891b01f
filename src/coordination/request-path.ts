import type { Clock } from "../platform/clock.ts";
import type { Random } from "../platform/random.ts";
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
import { HomeClient } from "./home-client.ts";
import { HomeRequests } from "./home-requests.ts";
import {
  type Budgets,
  type ConfigView,
  type Counters,
  type FleetView,
  type HeldServers,
  type Homes,
  type Peers,
} from "./ports.ts";
import { RequestDriver } from "./request-driver.ts";
import { ResultDelivery } from "./result-delivery.ts";
import { RunOffers } from "./run-offers.ts";

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
  readonly homes: Homes;
  readonly peers: Peers;
  readonly counters: Counters;
  /** Passed in where other parts share it; built from the settings by default. */
  readonly table?: RequestTable;
}

/** Builds the parts of the request path on the other parts of an entry instance. */
export class RequestPath {
  /** For the caller server and, with `handlePeer`, for peers. */
  readonly requests: EntryRequests;
  readonly #options: RequestPathOptions;
  readonly #table: RequestTable;
  readonly #dispatcher: Dispatcher;
  readonly #driver: RequestDriver;

  constructor(options: RequestPathOptions) {
    this.#options = options;
    const estimates = new RunTimeEstimates();
    const attribution = new FailureAttribution(options.settings);
    const retryBudget = new RetryBudget();
    const { clock, settings } = options;
    const table = options.table ?? new RequestTable({ clock, ...settings });
    const dispatcher = new Dispatcher({ ...options, estimates, attribution });
    const tracker = new AttemptTracker(options);
    const shared = { ...options, table, dispatcher, tracker, retryBudget, attribution };
    const driver = new RequestDriver(shared);
    const home = new HomeRequests({ ...shared, driver });
    const results = new ResultDelivery({ ...shared, home });
    const offers = new RunOffers(shared);
    const homeClient = new HomeClient(options);
    this.requests = new EntryRequests({ ...options, home, homeClient, offers, results });
    this.#table = table;
    this.#dispatcher = dispatcher;
    this.#driver = driver;
  }

  /** Loads of pools and teams for this entry's gossip. */
  contribute(): Pick<GossipMessage, "pools" | "teams"> {
    const { budgets, config } = this.#options;
    const queued = this.#dispatcher.queuedByTeam();
    const teams = (config.current()?.teams ?? []).map(({ name: team }) => {
      const running = budgets.running(team);
      const budget = running + budgets.room(team);
      return { team, running, budget, queued: queued.get(team) ?? 0 };
    });
    const active = teams.filter((each) => each.budget > 0 || each.running > 0 || each.queued > 0);
    const open = queued.get(OPEN_TEAM) ?? 0;
    if (open > 0) active.push({ team: OPEN_TEAM, running: 0, budget: 0, queued: open });
    return { pools: this.#dispatcher.poolLoads(), teams: active };
  }

  /** Lets new capacity in gossip be used without waiting for the next review. */
  gossipReceived(): void {
    this.#dispatcher.pump();
  }

  /**
   * Stops taking requests, hands queued work to peers, and waits up to `timeoutMs` milliseconds
   * for requests that a caller waits for. What is still queued then is refused as not run, and
   * callers of what still runs are told that the outcome is unknown.
   */
  async shutdown(timeoutMs: number): Promise<void> {
    const { clock } = this.#options;
    const end = clock.now() + timeoutMs;
    this.requests.stop();
    this.#dispatcher.beginStopping();
    const waiting = (): number => this.requests.waiting + this.#table.waitedFor();
    while (clock.now() < end && waiting() > 0) await clock.sleep(SHUTDOWN_POLL_MS);
    this.#driver.withdrawQueued("stopping");
    this.#dispatcher.close();
    await clock.sleep(SHUTDOWN_POLL_MS);
    this.requests.answerWaiting();
    await clock.sleep(SHUTDOWN_POLL_MS);
  }
}
