import type { Clock } from "../platform/clock.ts";
import type { Random } from "../platform/random.ts";
import type { Priority, TaskRef } from "../platform/backend-server.ts";
import type { PoolLoad } from "../protocol/peer-messages.ts";
import type { EntrySettings } from "../settings/entry-settings.ts";
import type { FailureAttribution } from "../state/failure-attribution.ts";
import type { RunTimeEstimates } from "../state/run-time-estimates.ts";
import { TeamUsage } from "../state/team-usage.ts";
import { CapacityReview } from "./capacity-review.ts";
import { LocalPolicy } from "./local-policy.ts";
import { PeerLoads } from "./peer-loads.ts";
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
import { TeamDemand } from "./team-demand.ts";
import type { StartOutcome, WithdrawReason, Work } from "./work.ts";

/** Queued requests looked at for offers in one pass, which bounds the time a pass takes. */
const MAX_OFFER_SCAN = 64;

/** Work nearer to its deadline is not offered, since the reply might come too late. */
const MIN_OFFER_TIME_MS = 100;

/** Options of {@link Dispatcher}. */
export interface DispatcherOptions {
  readonly clock: Clock;
  readonly random: Random;
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
  readonly #loads: PeerLoads;
  readonly #offers: PeerOffers;
  readonly #starter: TaskStarter;
  readonly #demand: TeamDemand;
  readonly #subscriptions: readonly Unsubscribe[];
  readonly #closed = new AbortController();
  #ids = 0;
  #stopping = false;
  #pumpDue = false;

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
    this.#demand = new TeamDemand({ ...options, ...shared });
    this.#waits = new PoolWaits({ ...options, ...shared });
    this.#loads = new PeerLoads(options);
    this.#offers = new PeerOffers({ ...options, loads: this.#loads });
    this.#starter = new TaskStarter({ ...options, ...shared });
    // One end of a task causes several notices, so they are gathered.
    const pump = (): void => {
      if (this.#pumpDue) return;
      this.#pumpDue = true;
      queueMicrotask(() => {
        this.pump();
      });
    };
    this.#subscriptions = [options.held.onChange(pump), options.budgets.onChange(pump)];
    const review = new CapacityReview({
      ...options,
      ...shared,
      waits: this.#waits,
      loads: this.#loads,
      starter: this.#starter,
    });
    void review.run(this.#closed.signal, () => {
      this.pump();
    });
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
    const wait = Math.min(here, ...this.#loads.waits(pool));
    return Number.isFinite(wait) ? wait : 0;
  }

  /** True if this entry or a peer in contact has slots for the queue's pool. */
  hasCapacity(queue: string): boolean {
    const pools = this.#lending.poolsFor(this.#poolOf(queue));
    return pools.some(
      (pool) => this.#picker.totalSlots(pool) > 0 || this.#loads.waits(pool).length > 0,
    );
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
    this.#pumpDue = false;
    for (const pool of this.#lending.poolsInOrder()) this.#queues.get(pool)?.pump();
    for (const [pool, queue] of this.#queues) this.#offerQueued(pool, queue);
    this.#demand.report();
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
    if (isQueued(item)) this.#offerQueued(item.pool, queue);
    this.#demand.report();
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
    if (count === 0 || this.#loads.takingWork().length === 0) return;
    const { clock } = this.#options;
    const waits = new Map<string, number>();
    let position = 0;
    for (const item of firstOf(queue.ownItems, MAX_OFFER_SCAN)) {
      position++;
      const { priority, queue: name } = item.work.spec;
      if (item.work.expiresAt - clock.now() < MIN_OFFER_TIME_MS) continue;
      const key = `${priority} ${item.team}`;
      const wait = waits.get(key) ?? this.#ownWait(pool, item.team, priority);
      waits.set(key, wait);
      const peer = this.#offers.choose({
        pools: this.#lending.poolsFor(pool),
        team: item.team,
        precedence: priority,
        // An item near the head waits less than one that is queued now.
        ownWaitMs: Number.isFinite(wait) ? (wait * position) / count : wait,
        runMs: this.#waits.runMs(name, item.team),
      });
      if (peer !== undefined && queue.take(item)) void this.#offer(peer, item);
    }
  }

  #ownWait(pool: string, team: string, precedence: Priority): number {
    return this.#stopping ? Infinity : this.#waits.here({ pool, team, precedence });
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
}

/** A function, because adding an item to its queue may start it at once. */
function isQueued(item: QueuedItem): boolean {
  return item.stage === "queued";
}

function firstOf<T>(items: Iterable<T>, limit: number): readonly T[] {
  const first: T[] = [];
  for (const item of items) {
    if (first.length >= limit) break;
    first.push(item);
  }
  return first;
}
