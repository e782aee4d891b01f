import type { Clock } from "../ports/clock.ts";
import type { Priority } from "../ports/backend-server.ts";
import { OPEN_TEAM } from "../state/fair-share-queue.ts";
import type { RunTimeEstimates } from "../state/run-time-estimates.ts";
import type { PoolLending } from "./pool-lending.ts";
import type { PoolQueue } from "./pool-queue.ts";
import type { Budgets, ConfigView } from "./ports.ts";
import type { ServerPicker } from "./server-picker.ts";

const UNKNOWN_QUEUE_RUN_MS = 1000;
/** Expected time until an exhausted budget is raised: about one gossip round and two writes. */
const BUDGET_RAISE_MS = 500;
/** Weight of work open to all, and of teams that are no longer in the configuration. */
const DEFAULT_WEIGHT = 1;

/** Options of {@link WaitEstimator}. */
export interface WaitEstimatorOptions {
  readonly clock: Clock;
  readonly config: ConfigView;
  readonly budgets: Budgets;
  readonly estimates: RunTimeEstimates;
  readonly picker: ServerPicker;
  readonly lending: PoolLending;
  readonly queues: ReadonlyMap<string, PoolQueue>;
}

/** Properties of a request on which its expected wait depends. */
export interface WaitQuery {
  readonly pool: string;
  readonly team: string;
  readonly precedence: Priority;
}

/** Estimates waits from queue lengths, shares, observed run times and slots. */
export class WaitEstimator {
  readonly #options: WaitEstimatorOptions;

  constructor(options: WaitEstimatorOptions) {
    this.#options = options;
  }

  /** Expected run time of one request in milliseconds. */
  expectedRunMs(queue: string, team: string): number {
    const { config, estimates } = this.#options;
    const found = config.current()?.queues.find((each) => each.name === queue);
    return estimates.expected(queue, team, found?.declaredRunMs ?? UNKNOWN_QUEUE_RUN_MS);
  }

  /** Expected wait at this entry in milliseconds; infinite without slots. */
  expectedWaitMs({ pool, team, precedence }: WaitQuery): number {
    const { picker, lending, estimates } = this.#options;
    const pools = lending.poolsFor(pool);
    const total = pools.reduce((sum, each) => sum + picker.totalSlots(each), 0);
    if (total === 0) return Infinity;
    const free = pools.reduce((sum, each) => sum + picker.freeSlots(each, precedence), 0);
    const runMs = estimates.expectedOfPool(pool, this.#declaredOfPool(pool));
    const ahead = this.#queuedAhead(pool, team, precedence);
    const slotWait = (Math.max(0, ahead + 1 - free) * runMs) / total;
    return Math.max(slotWait, this.#budgetWait(pool, team, runMs));
  }

  /**
   * Wait of urgent and normal work at this entry in milliseconds: the expected wait, or the age of
   * the oldest request that waits for a slot, if that is longer.
   */
  observedWaitMs(pool: string): number {
    const queue = this.#options.queues.get(pool);
    if (queue === undefined) return 0;
    const now = this.#options.clock.now();
    const waited = (["urgent", "normal"] as const).map((precedence) => {
      const oldest = queue.oldestAcceptedAt(precedence);
      return oldest === undefined ? 0 : now - oldest;
    });
    if (queue.queued("urgent") + queue.queued("normal") === 0) return 0;
    const expected = this.expectedWaitMs({ pool, team: OPEN_TEAM, precedence: "normal" });
    return Math.max(...waited, Number.isFinite(expected) ? expected : 0);
  }

  weight(team: string): number {
    const found = this.#options.config.current()?.teams.find((each) => each.name === team);
    return found === undefined || found.share <= 0 ? DEFAULT_WEIGHT : found.share;
  }

  /** Number of queued requests that are likely to start before one of this team. */
  #queuedAhead(pool: string, team: string, precedence: Priority): number {
    const queue = this.#options.queues.get(pool);
    if (queue === undefined) return 0;
    const urgent = queue.queued("urgent");
    if (precedence === "urgent") return urgent;
    const total = urgent + queue.queued("normal") + queue.queued("batch");
    const teams = queue.queuedByTeam();
    const own = teams.get(team) ?? 0;
    if (own === total) return this.#ownAhead(queue, precedence, urgent);
    const weights = [...new Set([...teams.keys(), team])].map((each) => this.weight(each));
    const share = this.weight(team) / weights.reduce((sum, weight) => sum + weight, 0);
    // A team gets its share of the slots regardless of the length of other teams' queues.
    return Math.min(total, urgent + this.#teamAhead(queue, precedence, team) / share);
  }

  #ownAhead(queue: PoolQueue, precedence: Priority, urgent: number): number {
    const batch = precedence === "batch" ? queue.queued("batch") : 0;
    return urgent + queue.queued("normal") + batch;
  }

  #teamAhead(queue: PoolQueue, precedence: Priority, team: string): number {
    const batch = precedence === "batch" ? queue.queued("batch", team) : 0;
    return queue.queued("normal", team) + batch;
  }

  #budgetWait(pool: string, team: string, runMs: number): number {
    const { budgets, queues, config } = this.#options;
    if (team === OPEN_TEAM || budgets.availableBudget(team) > 0) return 0;
    const running = budgets.running(team);
    if (running === 0) return config.platformReachable() ? BUDGET_RAISE_MS : Infinity;
    const queued = queues.get(pool)?.queuedByTeam().get(team) ?? 0;
    return Math.max(BUDGET_RAISE_MS, ((queued + 1) * runMs) / running);
  }

  #declaredOfPool(pool: string): number {
    const queues = this.#options.config.current()?.queues ?? [];
    return queues.find((each) => each.pool === pool)?.declaredRunMs ?? UNKNOWN_QUEUE_RUN_MS;
  }
}
