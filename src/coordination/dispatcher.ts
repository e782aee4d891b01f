import type { Clock } from "../platform/clock.ts";
import type { Priority, TaskRef } from "../platform/backend-server.ts";
import type { PoolLoad } from "../protocol/peer-messages.ts";
import type { EntrySettings } from "../settings/entry-settings.ts";
import type { FailureAttribution } from "../state/failure-attribution.ts";
import type { RunTimeEstimates } from "../state/run-time-estimates.ts";
import { TeamUsage } from "../state/team-usage.ts";
import { LocalPolicy } from "./local-policy.ts";
import { PeerOffers } from "./peer-offers.ts";
import { PoolLending } from "./pool-lending.ts";
import { PoolQueue, shareTeam, type QueuedItem } from "./pool-queue.ts";
import { PoolWaits } from "./pool-waits.ts";
import type {
  Budgets,
  ConfigView,
  Counters,
  FleetView,
  HeldServers,
  Homes,
  Peers,
  Unsubscribe,
} from "./ports.ts";
import { ServerPicker } from "./server-picker.ts";
import { TaskStarter } from "./task-starter.ts";
import type { StartOutcome, WithdrawReason, Work } from "./work.ts";

/** How often lending, offers and demand are reviewed without another cause. */
const REVIEW_INTERVAL_MS = 50;
/** Queued requests looked at for offers in one pass, which bounds the time a pass takes. */
const MAX_OFFER_SCAN = 64;

/** Work nearer to its deadline is not offered, since the reply might come too late. */
const MIN_OFFER_TIME_MS = 100;

/** Options of {@link Dispatcher}. */
export interface DispatcherOptions {
  readonly clock: Clock;
  readonly settings: Pick<EntrySettings, "lendWaitMs" | "lendAfterMs">;
  readonly config: ConfigView;
  readonly fleet: FleetView;
  readonly held: HeldServers;
  readonly budgets: Budgets;
  readonly homes: Homes;
  readonly peers: Peers;
  readonly counters: Counters;
  readonly estimates: RunTimeEstimates;
  readonly attribution: FailureAttribution;
}

/** Work handed to the dispatcher. */
export interface Ticket {
  /** Settles once: when the work has started, may have started, or certainly does not start. */
  readonly outcome: Promise<StartOutcome>;
  /** Removes the work if it is still queued; otherwise it is withdrawn as soon as possible. */
  readonly withdraw: (reason: WithdrawReason) => void;
}

/** Queues work per pool and starts it on held servers or at peers. */
export class Dispatcher {
  readonly #options: DispatcherOptions;
  readonly #queues = new Map<string, PoolQueue>();
  readonly #picker: ServerPicker;
  readonly #lending: PoolLending;
  readonly #waits: PoolWaits;
  readonly #usage = new TeamUsage();
  readonly #offers: PeerOffers;
  readonly #starter: TaskStarter;
  readonly #demand = new Set<string>();
  readonly #subscriptions: readonly Unsubscribe[];
  readonly #closed = new AbortController();
  #lastGossipAt = -1;
  #ids = 0;
  #stopping = false;

  constructor(options: DispatcherOptions) {
    this.#options = options;
    this.#picker = new ServerPicker(options);
    this.#lending = new PoolLending({ ...options.settings, config: options.config });
    const shared = {
      picker: this.#picker,
      lending: this.#lending,
      queues: this.#queues,
      usage: this.#usage,
    };
    this.#waits = new PoolWaits({ ...options, ...shared });
    this.#offers = new PeerOffers(options);
    this.#starter = new TaskStarter({ ...options, ...shared });
    const pump = (): void => {
      this.pump();
    };
    this.#subscriptions = [options.held.onChange(pump), options.budgets.onChange(pump)];
    void this.#reviewLoop();
  }

  /** Queues work for its queue's pool and starts it at once if possible. */
  dispatch(work: Work): Ticket {
    let resolve: (outcome: StartOutcome) => void = () => undefined;
    const outcome = new Promise<StartOutcome>((settle) => (resolve = settle));
    const item: QueuedItem = {
      id: `${work.spec.requestId}#${++this.#ids}`,
      work,
      pool: this.#poolOf(work.spec.queue),
      team: shareTeam(work.spec.team),
      stage: "queued",
      withdrawn: undefined,
      offeredTo: undefined,
      leave: new AbortController(),
      settle: (result) => {
        if (item.stage === "settled") return;
        item.stage = "settled";
        expiry.cancel();
        resolve(result);
      },
    };
    const withdraw = (reason: WithdrawReason): void => {
      this.#withdraw(item, reason);
    };
    const { clock } = this.#options;
    const expiry = clock.schedule(work.expiresAt - clock.now(), () => {
      withdraw("deadline");
    });
    if (this.#stopping && work.offered) item.settle({ kind: "withdrawn", reason: "stopping" });
    else this.#enqueue(item, false);
    return { outcome, withdraw };
  }

  /** Expected wait in milliseconds of a request; 0 if no capacity is known anywhere. */
  expectedWait(queue: string, team: string | undefined, precedence: Priority): number {
    const pool = this.#poolOf(queue);
    const here = this.#waits.here({ pool, team: shareTeam(team), precedence });
    const wait = Math.min(here, ...this.#waits.atPeers(pool));
    return Number.isFinite(wait) ? wait : 0;
  }

  /** Free and total slots, queue length and expected normal wait of each pool. */
  poolLoads(): readonly PoolLoad[] {
    return this.#lending.poolsInOrder().map((pool) => ({
      pool,
      freeSlots: this.#stopping ? 0 : this.#picker.freeSlots(pool, "normal"),
      totalSlots: this.#stopping ? 0 : this.#picker.totalSlots(pool),
      queued: this.#queues.get(pool)?.length ?? 0,
      waitMs: Math.round(this.#waits.observed(pool)),
    }));
  }

  /** Queued items of all pools per team. */
  queuedByTeam(): ReadonlyMap<string, number> {
    const sums = new Map<string, number>();
    for (const queue of this.#queues.values()) {
      for (const [team, count] of queue.queuedByTeam())
        sums.set(team, (sums.get(team) ?? 0) + count);
    }
    return sums;
  }

  /** Takes the end of a task on a held server into account for estimates and limits. */
  taskEnded(ref: TaskRef, server: string): void {
    const run = this.#starter.ended(ref);
    if (run === undefined) return;
    const team = shareTeam(run.team);
    const runMs = this.#options.clock.now() - run.startedAt;
    this.#picker.observe(server, runMs, this.#waits.runMs(run.queue, team));
    this.#options.estimates.observe(this.#poolOf(run.queue), run.queue, team, runMs);
  }

  /** Starts what can start here, then offers what a peer would start sooner. */
  pump(): void {
    for (const pool of this.#lending.poolsInOrder()) this.#queues.get(pool)?.pump();
    for (const [pool, queue] of this.#queues) this.#offerQueued(pool, queue);
    this.#reportDemand();
  }

  /** Declines what peers offered, and offers whatever is queued to peers. */
  beginStopping(): void {
    this.#stopping = true;
    for (const queue of this.#queues.values()) {
      for (const item of [...queue.items]) if (item.work.offered) this.#withdraw(item, "stopping");
    }
    this.pump();
  }

  /** Withdraws what is still queued and stops the review. */
  close(): void {
    this.#closed.abort();
    for (const unsubscribe of this.#subscriptions) unsubscribe();
    for (const queue of this.#queues.values()) {
      for (const item of [...queue.items]) this.#withdraw(item, "stopping");
    }
  }

  #poolOf(queue: string): string {
    const { queues = [] } = this.#options.config.current() ?? {};
    return queues.find((each) => each.name === queue)?.pool ?? "";
  }

  #enqueue(item: QueuedItem, returned: boolean): void {
    const queue = this.#queueOf(item.pool);
    queue.add(item, returned);
    if (item.stage === "queued") this.#offerQueued(item.pool, queue);
    this.#reportDemand();
  }

  #queueOf(pool: string): PoolQueue {
    let queue = this.#queues.get(pool);
    if (queue !== undefined) return queue;
    const policy = new LocalPolicy({
      clock: this.#options.clock,
      pool,
      picker: this.#picker,
      lending: this.#lending,
      budgets: this.#options.budgets,
      waits: this.#waits,
      usage: this.#usage,
      openRunning: () => this.#starter.openRunning,
      paused: (team) => this.#starter.paused(team),
    });
    queue = new PoolQueue({ policy, launch: (item) => this.#launch(item) });
    this.#queues.set(pool, queue);
    return queue;
  }

  async #launch(item: QueuedItem): Promise<void> {
    item.stage = "starting";
    const outcome = await this.#starter.start(item);
    if (outcome !== undefined) item.settle(outcome);
    else this.#returnToQueue(item);
  }

  #returnToQueue(item: QueuedItem): void {
    const reason = item.withdrawn ?? (this.#closed.signal.aborted ? "stopping" : undefined);
    if (reason !== undefined) item.settle({ kind: "withdrawn", reason });
    else this.#enqueue(item, true);
  }

  #withdraw(item: QueuedItem, reason: WithdrawReason): void {
    if (item.stage === "settled") return;
    if (item.stage === "queued" && this.#queues.get(item.pool)?.take(item) === true)
      item.settle({ kind: "withdrawn", reason });
    else item.withdrawn ??= reason;
    // At the deadline a started attempt goes on; only a cancelled one is stopped.
    if (reason === "cancelled" && item.offeredTo !== undefined)
      this.#offers.withdraw(item.offeredTo);
  }

  #offerQueued(pool: string, queue: PoolQueue): void {
    const count = queue.ownLength;
    if (count === 0 || this.#options.peers.gossip().size === 0) return;
    let position = 0;
    for (const item of [...queue.ownItems].slice(0, MAX_OFFER_SCAN)) {
      position++;
      const { priority } = item.work.spec;
      const wait = this.#stopping
        ? Infinity
        : this.#waits.here({ pool, team: item.team, precedence: priority });
      const peer = this.#offers.choose({
        pools: this.#lending.poolsFor(pool),
        team: item.team,
        precedence: priority,
        // An item near the head waits less than one that is queued now.
        ownWaitMs: Number.isFinite(wait) ? (wait * position) / count : wait,
        runMs: this.#waits.runMs(item.work.spec.queue, item.team),
      });
      const late = item.work.expiresAt - this.#options.clock.now() < MIN_OFFER_TIME_MS;
      if (peer !== undefined && !late && queue.take(item)) void this.#offer(peer, item);
    }
  }

  async #offer(peer: string, item: QueuedItem): Promise<void> {
    const ref = item.work.nextRef();
    item.stage = "offered";
    item.offeredTo = { peer, ref };
    const outcome = await this.#offers.offer(peer, item.work, ref);
    item.offeredTo = undefined;
    if (outcome.kind === "declined") this.#returnToQueue(item);
    else if (outcome.kind === "lost")
      item.settle({ kind: "ambiguous", ref, server: undefined, holder: peer });
    else if (outcome.kind === "uncertain")
      item.settle({ kind: "ambiguous", ref, server: outcome.server, holder: peer });
    else item.settle({ kind: "started", ref, server: outcome.server, holder: peer });
  }

  async #reviewLoop(): Promise<void> {
    const { clock } = this.#options;
    while (!this.#closed.signal.aborted) {
      this.#reviewPeers();
      this.#picker.prune();
      this.#starter.prune();
      for (const pool of this.#lending.poolsInOrder()) {
        const wait = Math.max(this.#waits.observed(pool), ...this.#waits.atPeers(pool));
        this.#lending.update(pool, wait, clock.now());
        this.#options.attribution.review(this.#picker.serversOf(pool));
      }
      this.pump();
      await clock.sleep(REVIEW_INTERVAL_MS, this.#closed.signal);
    }
  }

  #reviewPeers(): void {
    const gossip = [...this.#options.peers.gossip().values()];
    const newest = Math.max(-1, ...gossip.map((peer) => peer.receivedAt));
    if (newest === this.#lastGossipAt) return;
    this.#lastGossipAt = newest;
    const running = new Map<string, number>();
    for (const { message } of gossip) {
      for (const load of message.teams)
        running.set(load.team, (running.get(load.team) ?? 0) + load.running);
    }
    this.#usage.update(running, gossip.length);
  }

  /** Budgets are raised for queued work only, so each change of a team's queue is stated. */
  #reportDemand(): void {
    const queued = this.queuedByTeam();
    for (const team of new Set([...this.#demand, ...queued.keys()])) {
      if (team === "") continue;
      this.#options.budgets.setDemand(team, queued.get(team) ?? 0);
      if (queued.has(team)) this.#demand.add(team);
      else this.#demand.delete(team);
    }
  }
}
