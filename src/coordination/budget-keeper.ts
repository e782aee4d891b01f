/** This entry's budgets: rows in the ledger, raised on demand and lowered when idle. */
import type { Clock } from "../ports/clock.ts";
import type { Random } from "../ports/random.ts";
import type { TaskRef } from "../ports/backend-server.ts";
import { ledgerShardForTeam } from "../protocol/ledger-document.ts";
import type { AckReply, BudgetRequest, TeamLoad } from "../protocol/peer-messages.ts";
import type { TaskCharges } from "../state/task-charges.ts";
import { addTombstone, type BudgetTarget, type UpperLimit } from "../state/ledger.ts";
import type { DocumentStore } from "./document-store.ts";
import { BudgetReserve } from "./budget-reserve.ts";
import { requestBudget } from "./budget-requests.ts";
import { IdleWindow } from "./idle-window.ts";
import type { LeaseCoverage } from "./lease-coverage.ts";
import { LedgerShard } from "./ledger-shard.ts";
import {
  Budgets,
  type ConfigView,
  type Counters,
  type HeldServers,
  type Peers,
  type Unsubscribe,
} from "./ports.ts";
import { UsableSlots } from "./usable-slots.ts";

/** Minimum time between two writes of a shard by one entry; limits the key-value service's load. */
const WRITE_INTERVAL_MS = 500;
/** Maximum random delay added before retrying a raise that found no remaining budget. */
const RETRY_JITTER_MS = 500;
/** Maximum time between two steps of a shard when no event occurs. */
const TICK_MS = 500;
/** Same for a shard that has neither rows of this entry nor demand; only events can change it. */
const UNUSED_TICK_MS = 5000;
/** Age at which a shard in use is read again to detect new caps and retirement marks. */
const REFRESH_MS = 5000;
/** Budget that the last holder of an idle team keeps, because no raise is possible in an outage. */
const LAST_HOLDER_BUDGET = 1;

/** Options of {@link BudgetKeeper}. */
export interface BudgetKeeperOptions {
  readonly store: DocumentStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly peers: Peers;
  readonly config: ConfigView;
  readonly charges: TaskCharges;
  readonly coverage: LeaseCoverage;
  readonly counters: Counters;
  readonly ledgerShards: number;
  readonly budgetIdleMs: number;
  /** Servers whose free slots bound the requested budget. Without it, demand is not bounded. */
  readonly held?: HeldServers;
  /** Called when a shard marks this incarnation as retired. */
  readonly onRetired: () => void;
}

/** Maintains this entry's rows in every ledger shard, with one loop per shard. */
export class BudgetKeeper extends Budgets {
  readonly #options: BudgetKeeperOptions;
  readonly #shards: readonly LedgerShard[];
  readonly #stepTriggers = new Map<number, () => void>();
  readonly #demand = new Map<string, number>();
  readonly #requestedReleases = new Map<string, number>();
  readonly #idle: IdleWindow;
  readonly #slots: UsableSlots;
  readonly #reserve: BudgetReserve;
  readonly #listeners = new Set<() => void>();
  readonly #shardIndexes = new Map<string, number>();
  readonly #stopped = new AbortController();
  #loops: Promise<unknown> = Promise.resolve();

  constructor(options: BudgetKeeperOptions) {
    super();
    this.#options = options;
    const { store, clock, charges, ledgerShards, budgetIdleMs, peers } = options;
    const { incarnation } = peers.self;
    const limitOf = (team: string): UpperLimit | undefined => this.#limitOf(team);
    this.#shards = Array.from(
      { length: ledgerShards },
      (_, shard) => new LedgerShard({ shard, incarnation, store, clock, limitOf }),
    );
    this.#idle = new IdleWindow({ clock, windowMs: budgetIdleMs });
    this.#slots = new UsableSlots({ clock, held: options.held });
    this.#reserve = new BudgetReserve({ clock, peers });
    charges.onChange((team) => {
      this.#idle.observe(team, this.#spare(team));
      this.#notify();
    });
  }

  /** Runs one loop per shard until {@link stop}. */
  async run(): Promise<void> {
    const unsubscribe = [
      this.#options.coverage.onStart(() => {
        this.#triggerAllSteps();
      }),
      this.#options.config.onChange(() => {
        this.#triggerAllSteps();
      }),
    ];
    this.#loops = Promise.all(this.#shards.map((shard, index) => this.#runShard(shard, index)));
    await this.#loops;
    for (const end of unsubscribe) end();
  }

  /** Stops the loops; the rows stay unchanged. */
  stop(): void {
    this.#stopped.abort();
    this.#triggerAllSteps();
  }

  /**
   * Releases all budget that running tasks do not use and marks this incarnation as retired, so
   * that the rest is reclaimed when those tasks end. Returns false if a shard could not be written.
   */
  async retireSelf(): Promise<boolean> {
    this.stop();
    await this.#loops;
    const { peers, clock } = this.#options;
    const { incarnation, zone } = peers.self;
    const done = await Promise.all(
      this.#shards.map(async (shard) => {
        const marked = await shard.update((doc, writeId) => {
          if (!doc?.teams.some(({ rows }) => rows.some((row) => row.incarnation === incarnation))) {
            return undefined;
          }
          const next = addTombstone(doc, { incarnation, zone, at: clock.wallTime() });
          return next && { ...next, writeId };
        });
        if (!marked.ok) return false;
        const targets = shard.teams().map((team) => this.#budgetTarget(team, this.running(team)));
        return (await shard.adjust(targets)).ok;
      }),
    );
    return done.every(Boolean);
  }

  tryCharge(team: string, ref: TaskRef): boolean {
    if (this.availableBudget(team) <= 0) return false;
    return this.#options.charges.add(team, ref);
  }

  release(_team: string, ref: TaskRef): void {
    this.#options.charges.endCharge(ref);
  }

  availableBudget(team: string): number {
    if (this.#stopped.signal.aborted) return 0;
    const shard = this.#shardOf(team);
    if (!this.#isUsable(shard)) return 0;
    return Math.max(0, shard.allowance(team) - this.running(team));
  }

  running(team: string): number {
    return this.#options.charges.running(team);
  }

  setDemand(team: string, queued: number): void {
    if (queued > 0) this.#demand.set(team, queued);
    else this.#demand.delete(team);
    this.#idle.observe(team, this.#spare(team));
    if (queued > this.availableBudget(team)) this.#triggerStep(team);
  }

  onChange(listener: () => void): Unsubscribe {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Handles a peer's request for unused budget. */
  handleBudgetRequest({ team, wanted }: BudgetRequest): AckReply {
    const released = Math.min(wanted, this.#spare(team));
    if (released <= 0) return { type: "ack", accepted: false };
    this.#requestedReleases.set(team, Math.max(released, this.#requestedReleases.get(team) ?? 0));
    this.#reserve.recordRelease(team);
    this.#triggerStep(team);
    return { type: "ack", accepted: true };
  }

  /** Budget and load per team, in the form that gossip carries. */
  loads(): readonly TeamLoad[] {
    const teams = this.#options.config.current()?.teams ?? [];
    return teams.map(({ name: team }) => ({
      team,
      running: this.running(team),
      budget: this.#shardOf(team).allowance(team),
      queued: this.#startableDemand(team),
    }));
  }

  async #runShard(shard: LedgerShard, index: number): Promise<void> {
    const { clock, random } = this.#options;
    while (!this.#stopped.signal.aborted) {
      const isBudgetShort = await this.#step(shard, index);
      const delay = WRITE_INTERVAL_MS + (isBudgetShort ? random.next() * RETRY_JITTER_MS : 0);
      await clock.sleep(delay, this.#stopped.signal);
      if (!isBudgetShort && !this.#hasPendingWork(shard, index))
        await this.#waitForEvent(shard, index);
    }
  }

  /** Runs one round of reads and writes of a shard. Returns true if a team still lacks budget. */
  async #step(shard: LedgerShard, index: number): Promise<boolean> {
    const { clock, coverage, peers } = this.#options;
    const age = clock.now() - (shard.confirmedAt ?? -Infinity);
    const mustReadShard = coverage.since() !== undefined && !this.#isUsable(shard);
    const teams = this.#teamsOf(shard, index);
    if (mustReadShard || (age > REFRESH_MS && (teams.length > 0 || shard.hasUnresolvedWrite)))
      await shard.read();
    if (shard.retired) this.#options.onRetired();
    const targets = this.#budgetTargets(shard, teams);
    if (targets.length > 0) {
      const result = await shard.adjust(targets);
      if (!result.ok) this.#options.counters.event(`ledger_${result.val.kind}`);
    }
    this.#notify();
    const teamsShortOfBudget = teams.filter((team) => this.#shortfall(team) > 0);
    if (teamsShortOfBudget.length === 0 || !this.#isUsable(shard)) return false;
    await Promise.all(
      teamsShortOfBudget.map((team) => requestBudget(peers, team, this.#shortfall(team))),
    );
    await shard.read();
    return true;
  }

  #budgetTargets(shard: LedgerShard, teams: readonly string[]): readonly BudgetTarget[] {
    return teams.flatMap((team) => {
      const budget = shard.budget(team);
      // Gossip omits budget that this entry may not use. No peer would request it, so none is kept.
      const mayReleaseLast = this.#requestedReleases.has(team) || !this.#isUsable(shard);
      const keepIfLast = mayReleaseLast ? 0 : Math.min(LAST_HOLDER_BUDGET, shard.allowance(team));
      const target = this.#targetBudget(shard, team, budget);
      return target === budget ? [] : [{ ...this.#budgetTarget(team, target), keepIfLast }];
    });
  }

  /** Target budget, based on running tasks, demand, peer requests and idle time. */
  #targetBudget(shard: LedgerShard, team: string, budget: number): number {
    const running = this.running(team);
    const allowance = shard.allowance(team);
    if (allowance < budget) return Math.min(budget, Math.max(running, allowance));
    const requested = this.#requestedReleases.get(team) ?? 0;
    this.#requestedReleases.delete(team);
    const demand = this.#startableDemand(team);
    const reserve = this.#reserveOf(team);
    if (this.#isUsable(shard) && running + demand > budget) return running + demand + reserve;
    if (this.#mayReserve(shard, team) && budget < running + reserve) return running + reserve;
    // Released budget could not be raised again while the platform is unreachable.
    if (!this.#options.config.platformReachable()) return budget;
    const idle = Math.max(0, this.#idle.take(team, this.#spare(team)) - reserve);
    const released = Math.max(Math.min(requested, this.#spare(team)), idle);
    return Math.max(running, budget - released);
  }

  /** Budget of a team that neither running nor queued tasks need. */
  #spare(team: string): number {
    const shard = this.#shardOf(team);
    const needed = this.#isUsable(shard) ? this.#startableDemand(team) : 0;
    return shard.budget(team) - this.running(team) - needed;
  }

  /** Queued tasks that could start here if the budget allowed it. */
  #startableDemand(team: string): number {
    const demand = this.#demand.get(team) ?? 0;
    return demand === 0 ? 0 : Math.min(demand, this.#slots.count());
  }

  #shortfall(team: string): number {
    return this.#startableDemand(team) - this.availableBudget(team);
  }

  #reserveOf(team: string): number {
    return this.#reserve.sizeFor(this.#limitOf(team)?.limit ?? 0);
  }

  #mayReserve(shard: LedgerShard, team: string): boolean {
    if (!this.#isUsable(shard) || !this.#reserve.mayRaise(team)) return false;
    return this.#slots.count() > 0 && shard.remaining(team) > 0;
  }

  /**
   * True if the shard was read during the current uninterrupted lease coverage. Otherwise this
   * entry may use none of its budget.
   */
  #isUsable(shard: LedgerShard): boolean {
    const since = this.#options.coverage.since();
    return since !== undefined && (shard.confirmedAt ?? -Infinity) >= since;
  }

  #budgetTarget(team: string, target: number): BudgetTarget {
    return { team, target, ...(this.#limitOf(team) ?? { limit: 0, configRevision: 0 }) };
  }

  /** Upper limit of a team; zero if the configuration does not contain the team. */
  #limitOf(team: string): UpperLimit | undefined {
    const config = this.#options.config.current();
    if (config === undefined) return undefined;
    const found = config.teams.find(({ name }) => name === team);
    return { limit: found?.upperLimit ?? 0, configRevision: config.revision };
  }

  #teamsOf(shard: LedgerShard, index: number): readonly string[] {
    const own = [...this.#demand.keys()].filter((team) => this.#shardIndexOf(team) === index);
    const { teams = [] } = this.#options.config.current() ?? {};
    const reserved = teams.flatMap(({ name }) =>
      this.#shardIndexOf(name) === index && this.#reserveOf(name) > 0 ? [name] : [],
    );
    return [...new Set([...shard.teams(), ...own, ...reserved])];
  }

  #hasPendingWork(shard: LedgerShard, index: number): boolean {
    if (this.#options.coverage.since() !== undefined && !this.#isUsable(shard)) return true;
    return this.#teamsOf(shard, index).some((team) => this.#shortfall(team) > 0);
  }

  /** Cached per team, because the hash is expensive and needed for every start. */
  #shardIndexOf(team: string): number {
    let index = this.#shardIndexes.get(team);
    if (index === undefined) {
      index = ledgerShardForTeam(team, this.#shards.length);
      this.#shardIndexes.set(team, index);
    }
    return index;
  }

  #shardOf(team: string): LedgerShard {
    const shard = this.#shards[this.#shardIndexOf(team)];
    if (shard === undefined) throw new Error("the ledger must have at least one shard");
    return shard;
  }

  async #waitForEvent(shard: LedgerShard, index: number): Promise<void> {
    const event = new AbortController();
    this.#stepTriggers.set(index, () => {
      event.abort();
    });
    const unused = this.#teamsOf(shard, index).length === 0 && !shard.hasUnresolvedWrite;
    await this.#options.clock.sleep(unused ? UNUSED_TICK_MS : TICK_MS, event.signal);
  }

  #triggerStep(team: string): void {
    this.#stepTriggers.get(this.#shardIndexOf(team))?.();
  }

  #triggerAllSteps(): void {
    for (const trigger of this.#stepTriggers.values()) trigger();
  }

  #notify(): void {
    for (const listener of this.#listeners) listener();
  }
}
