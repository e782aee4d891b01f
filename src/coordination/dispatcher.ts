import type { Clock } from "../ports/clock.ts";
import type { Random } from "../ports/random.ts";
import type { Priority } from "../ports/backend-server.ts";
import type { PoolLoad } from "../protocol/peer-messages.ts";
import type { EntrySettings } from "../settings/entry-settings.ts";
import { OPEN_TEAM } from "../state/fair-share-queue.ts";
import type { FailureAttribution } from "../state/failure-attribution.ts";
import type { RunTimeEstimates } from "../state/run-time-estimates.ts";
import { ShareCorrection } from "../state/share-correction.ts";
import { TeamUsage } from "../state/team-usage.ts";
import { CapacityReview } from "./capacity-review.ts";
import { PoolSharePolicy } from "./pool-share-policy.ts";
import { PeerLoads } from "./peer-loads.ts";
import { PeerOffers } from "./peer-offers.ts";
import { PoolLending } from "./pool-lending.ts";
import { PoolQueue, fairShareTeam, type QueuedItem } from "./pool-queue.ts";
import { WaitEstimator } from "./wait-estimator.ts";
import type {
  Budgets,
  ConfigView,
  Counters,
  FinishedTask,
  FleetView,
  HeldServers,
  RequestOwnership,
  Peers,
  Unsubscribe,
} from "./ports.ts";
import { QueueOffers } from "./queue-offers.ts";
import { ServerPicker } from "./server-picker.ts";
import { TaskStarter } from "./task-starter.ts";
import { TeamDemand } from "./team-demand.ts";
import type { StartOutcome, WithdrawReason, Work } from "./work.ts";

/** Options of {@link Dispatcher}. */
export interface DispatcherOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly settings: Pick<EntrySettings, "lendWaitMs" | "lendAfterMs">;
  readonly config: ConfigView;
  readonly fleet: FleetView;
  readonly held: HeldServers;
  readonly budgets: Budgets;
  readonly ownership: RequestOwnership;
  readonly peers: Peers;
  readonly counters: Counters;
  readonly estimates: RunTimeEstimates;
  readonly attribution: FailureAttribution;
}

/** Handle of dispatched work: its outcome and a way to withdraw it. */
export interface DispatchHandle {
  /** Resolves once, when the work has started, may have started, or will certainly not start. */
  readonly outcome: Promise<StartOutcome>;
  /**
   * Removes the work and returns true if it is still queued. Otherwise the work is withdrawn as
   * soon as it is certain that it has not started.
   */
  readonly withdraw: (reason: WithdrawReason) => boolean;
}

/** Queues work per pool and starts it on held servers or at peers. */
export class Dispatcher {
  readonly #options: DispatcherOptions;
  readonly #queues = new Map<string, PoolQueue>();
  readonly #picker: ServerPicker;
  readonly #lending: PoolLending;
  readonly #waits: WaitEstimator;
  readonly #usage = new TeamUsage();
  readonly #correction = new ShareCorrection();
  readonly #loads: PeerLoads;
  readonly #offers: PeerOffers;
  readonly #queueOffers: QueueOffers;
  readonly #starter: TaskStarter;
  readonly #demand: TeamDemand;
  readonly #capacityReview: CapacityReview;
  readonly #subscriptions: readonly Unsubscribe[];
  readonly #closed = new AbortController();
  #lastItemNumber = 0;
  #stopping = false;
  #startScheduled = false;

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
    this.#waits = new WaitEstimator({ ...options, ...shared });
    this.#loads = new PeerLoads(options);
    this.#offers = new PeerOffers({ ...options, loads: this.#loads, waits: this.#waits });
    this.#queueOffers = new QueueOffers({
      ...options,
      ...shared,
      waits: this.#waits,
      loads: this.#loads,
      offers: this.#offers,
      stopping: () => this.#stopping,
      onDeclined: (item) => {
        this.#returnToQueue(item);
      },
    });
    this.#starter = new TaskStarter({ ...options, ...shared });
    this.#demand = new TeamDemand({ ...options, ...shared, starter: this.#starter });
    // One ended task causes several notifications; they are coalesced into one pass.
    const scheduleStart = (): void => {
      if (this.#startScheduled) return;
      this.#startScheduled = true;
      queueMicrotask(() => {
        this.#startQueued();
      });
    };
    this.#subscriptions = [
      options.held.onChange(scheduleStart),
      options.budgets.onChange(scheduleStart),
    ];
    this.#capacityReview = new CapacityReview({
      ...options,
      ...shared,
      waits: this.#waits,
      loads: this.#loads,
      starter: this.#starter,
    });
    void this.#capacityReview.run(this.#closed.signal, () => {
      this.review();
    });
  }

  /** Queues work in the pool of its queue and starts it at once if possible. */
  dispatch(work: Work): DispatchHandle {
    let resolve: (outcome: StartOutcome) => void = () => undefined;
    const outcome = new Promise<StartOutcome>((settle) => (resolve = settle));
    const item: QueuedItem = {
      id: `${work.spec.requestId}#${++this.#lastItemNumber}`,
      work,
      pool: this.#poolOf(work.spec.queue),
      team: fairShareTeam(work.spec.team),
      stage: "queued",
      withdrawn: undefined,
      offeredTo: undefined,
      queueAbort: new AbortController(),
      settle: (result) => {
        if (item.stage === "settled") return;
        item.stage = "settled";
        expiry.cancel();
        resolve(result);
      },
    };
    const withdraw = (reason: WithdrawReason): boolean => this.#withdraw(item, reason);
    const { clock } = this.#options;
    const expiry = clock.schedule(work.expiresAt - clock.now(), () => {
      withdraw("deadline");
    });
    const refused = this.#closed.signal.aborted || (this.#stopping && work.offered);
    if (refused) item.settle({ kind: "withdrawn", reason: "stopping" });
    else this.#enqueue(item, false);
    return { outcome, withdraw };
  }

  /**
   * Expected wait of a request in milliseconds; 0 if no capacity is known anywhere. Peers report
   * one wait per pool, estimated for normal work, so it is not applied to urgent work.
   */
  expectedWait(queue: string, team: string | undefined, precedence: Priority): number {
    const pool = this.#poolOf(queue);
    const query = { pool, team: fairShareTeam(team), precedence };
    const here = this.#waits.expectedWaitMs(query);
    const pools = this.#lending.poolsFor(pool);
    const runMs = this.#waits.expectedRunMs(queue, query.team);
    const atPeers = this.#offers.shortestWait({ ...query, pools, ownWaitMs: here, runMs });
    if (precedence === "urgent" && Number.isFinite(atPeers)) return 0;
    const wait = Math.min(here, atPeers, ...this.#loads.expectedWaits(pool));
    return Number.isFinite(wait) ? wait : 0;
  }

  /** True if this entry or a reachable peer has slots for the queue's pool. */
  hasCapacity(queue: string): boolean {
    const pools = this.#lending.poolsFor(this.#poolOf(queue));
    return pools.some(
      (pool) => this.#picker.totalSlots(pool) > 0 || this.#loads.expectedWaits(pool).length > 0,
    );
  }

  /** Free and total slots, queue length and observed wait of each pool. */
  poolLoads(): readonly PoolLoad[] {
    return this.#lending.poolsInDispatchOrder().map((pool) => ({
      pool,
      freeSlots: this.#stopping ? 0 : this.#picker.freeSlots(pool, "normal"),
      totalSlots: this.#stopping ? 0 : this.#picker.totalSlots(pool),
      queued: this.#queues.get(pool)?.length ?? 0,
      waitMs: Math.round(this.#waits.observedWaitMs(pool)),
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

  /**
   * Records the end of a task on a held server and updates the run time estimates and server
   * limits. Failed and stopped tasks say nothing about run times.
   */
  taskEnded({ server, record }: FinishedTask): void {
    const run = this.#starter.removeEnded(record);
    if (run === undefined || record.result?.kind !== "answer") return;
    const team = fairShareTeam(run.team);
    const runMs = this.#options.clock.now() - run.startedAt;
    this.#picker.observe(server, runMs, this.#waits.expectedRunMs(run.queue, team));
    this.#options.estimates.observe(this.#poolOf(run.queue), run.queue, team, runMs);
  }

  /** Starts queued work that can start here, then offers work that a peer would start sooner. */
  review(): void {
    this.#correctShares();
    this.#startQueued();
    for (const [pool, queue] of this.#queues) this.#queueOffers.offerAllIfSooner(pool, queue);
    this.#capacityReview.requestReview();
  }

  /** Declines the offers of peers and offers all queued work to peers. */
  beginStopping(): void {
    this.#stopping = true;
    for (const queue of this.#queues.values()) {
      for (const item of [...queue.items]) if (item.work.offered) this.#withdraw(item, "stopping");
    }
    this.review();
  }

  /** Withdraws all queued work and stops the periodic review. */
  close(): void {
    this.#closed.abort();
    for (const unsubscribe of this.#subscriptions) unsubscribe();
    for (const queue of this.#queues.values()) {
      for (const item of [...queue.items]) this.#withdraw(item, "stopping");
    }
  }

  #startQueued(): void {
    this.#startScheduled = false;
    // The second pass starts work that had to wait for urgent work of other pools.
    for (let pass = 0; pass < 2; pass++) {
      for (const pool of this.#lending.poolsInDispatchOrder())
        this.#queues.get(pool)?.startAllowed();
    }
    this.#demand.report();
  }

  #correctShares(): void {
    const waiting = [...this.queuedByTeam().keys()].map((team) => {
      return { team, running: this.#runningInFleet(team), weight: this.#waits.weight(team) };
    });
    this.#correction.update(waiting, this.#options.clock.now());
  }

  #runningInFleet(team: string): number {
    const { budgets } = this.#options;
    const here = team === OPEN_TEAM ? this.#starter.runningOfOpenQueues : budgets.running(team);
    return here + this.#usage.runningElsewhere(team);
  }

  #poolOf(queue: string): string {
    const { queues = [] } = this.#options.config.current() ?? {};
    return queues.find((each) => each.name === queue)?.pool ?? "";
  }

  #enqueue(item: QueuedItem, returned: boolean): void {
    const queue = this.#queueOf(item.pool);
    queue.add(item, returned);
    if (isQueued(item) && !item.work.offered) this.#queueOffers.offerNewIfSooner(queue, item);
    this.#demand.report();
    this.#capacityReview.requestReview();
    if (isQueued(item)) this.#options.peers.speedUpGossip();
  }

  #queueOf(pool: string): PoolQueue {
    let queue = this.#queues.get(pool);
    if (queue !== undefined) return queue;
    const policy = new PoolSharePolicy({
      clock: this.#options.clock,
      pool,
      picker: this.#picker,
      lending: this.#lending,
      budgets: this.#options.budgets,
      waits: this.#waits,
      usage: this.#usage,
      runningInFleet: (team) => this.#runningInFleet(team),
      correction: this.#correction,
      isTeamPaused: (team) => this.#starter.isTeamPaused(team),
      hasUrgentInOtherPools: (slotPool) => this.#hasUrgentInOtherPools(pool, slotPool),
    });
    queue = new PoolQueue({ policy, launch: (item) => this.#launch(item) });
    this.#queues.set(pool, queue);
    return queue;
  }

  #hasUrgentInOtherPools(pool: string, slotPool: string): boolean {
    for (const [other, queue] of this.#queues) {
      if (other === pool || !this.#lending.poolsFor(other).includes(slotPool)) continue;
      if (queue.urgentReady) return true;
    }
    return false;
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

  #withdraw(item: QueuedItem, reason: WithdrawReason): boolean {
    if (item.stage === "queued" && this.#queues.get(item.pool)?.remove(item) === true) {
      item.settle({ kind: "withdrawn", reason });
      return true;
    }
    item.withdrawn ??= reason;
    // At the deadline a started attempt continues; only a cancelled one is stopped.
    if (reason === "cancelled" && item.offeredTo !== undefined)
      this.#offers.withdraw(item.offeredTo);
    return false;
  }
}

/** A function call prevents type narrowing: adding an item to its queue may start it at once. */
function isQueued(item: QueuedItem): boolean {
  return item.stage === "queued";
}
