import type { Clock } from "../ports/clock.ts";
import type { TaskRef, TaskSpec } from "../ports/backend-server.ts";
import { OPEN_TEAM } from "../state/fair-share-queue.ts";
import type { TeamUsage } from "../state/team-usage.ts";
import type { PoolLending } from "./pool-lending.ts";
import { fairShareTeam, type QueuedItem } from "./pool-queue.ts";
import type {
  Budgets,
  Counters,
  HeldServer,
  HeldServers,
  RequestOwnership,
  Peers,
} from "./ports.ts";
import type { ServerPicker } from "./server-picker.ts";
import { refKey, type StartOutcome } from "./work.ts";

/** Time for which a team is skipped after a charge was refused despite free budget. */
const BUDGET_PAUSE_MS = 20;

/** Options of {@link TaskStarter}. */
export interface TaskStarterOptions {
  readonly clock: Clock;
  readonly held: HeldServers;
  readonly budgets: Budgets;
  readonly ownership: RequestOwnership;
  readonly peers: Peers;
  readonly counters: Counters;
  readonly picker: ServerPicker;
  readonly lending: PoolLending;
  readonly usage: TeamUsage;
}

/** A task started here whose end is not known yet. */
export interface StartedTask {
  readonly server: string;
  readonly pool: string;
  readonly team: string | undefined;
  readonly queue: string;
  /** Monotonic time in milliseconds. */
  readonly startedAt: number;
}

/** Charges the budget and starts queued items on held servers. */
export class TaskStarter {
  readonly #options: TaskStarterOptions;
  readonly #started = new Map<string, StartedTask>();
  readonly #pausedUntil = new Map<string, number>();
  /** Running tasks by pool of the server and team. */
  readonly #running = new Map<string, number>();

  constructor(options: TaskStarterOptions) {
    this.#options = options;
  }

  /** Running tasks of open queues that were started here; they are charged to no budget. */
  get runningOfOpenQueues(): number {
    let sum = 0;
    for (const [key, count] of this.#running) if (key.endsWith(`/${OPEN_TEAM}`)) sum += count;
    return sum;
  }

  /** Running tasks of a team that were started here on servers of a pool. */
  running(pool: string, team: string): number {
    return this.#running.get(`${pool}/${team}`) ?? 0;
  }

  /** True while a team is skipped after a refused charge. */
  isTeamPaused(team: string): boolean {
    return (this.#pausedUntil.get(team) ?? 0) > this.#options.clock.now();
  }

  /** Starts an item. Undefined if it certainly did not start and may be queued again. */
  async start(item: QueuedItem): Promise<StartOutcome | undefined> {
    const { ownership, picker, lending, budgets } = this.#options;
    const { work } = item;
    if (work.offered && ownership.isRetired(work.owner))
      return { kind: "declined", reason: "peer_declined" };
    const server = picker.pick(lending.poolsFor(item.pool), work.avoid);
    if (server === undefined) return undefined;
    const ref = work.nextRef();
    const { team } = work.spec;
    if (team !== undefined && !budgets.tryCharge(team, ref)) {
      this.#pausedUntil.set(team, this.#options.clock.now() + BUDGET_PAUSE_MS);
      return undefined;
    }
    return this.#startOn(server, item, ref);
  }

  /** Removes an ended task and returns it; undefined if it is unknown. */
  removeEnded(ref: TaskRef): StartedTask | undefined {
    const key = refKey(ref);
    const task = this.#started.get(key);
    if (task === undefined) return undefined;
    this.#started.delete(key);
    this.#addRunning(task, -1);
    return task;
  }

  /** Removes tasks on servers that are no longer held. */
  prune(): void {
    const held = new Set(this.#options.held.list().map((server) => server.name));
    for (const [key, task] of this.#started) {
      if (held.has(task.server)) continue;
      this.#started.delete(key);
      this.#addRunning(task, -1);
    }
  }

  #recordStart(server: HeldServer, item: QueuedItem, ref: TaskRef): void {
    const { team, queue } = item.work.spec;
    const startedAt = this.#options.clock.now();
    const task = { server: server.name, pool: server.pool, team, queue, startedAt };
    this.#started.set(refKey(ref), task);
    this.#addRunning(task, 1);
    this.#options.usage.recordStart(item.team, startedAt);
  }

  #addRunning({ pool, team }: StartedTask, change: number): void {
    const key = `${pool}/${fairShareTeam(team)}`;
    const count = (this.#running.get(key) ?? 0) + change;
    if (count === 0) this.#running.delete(key);
    else this.#running.set(key, count);
  }

  async #startOn(
    server: HeldServer,
    item: QueuedItem,
    ref: TaskRef,
  ): Promise<StartOutcome | undefined> {
    const { held, peers, picker, counters, budgets } = this.#options;
    const { spec } = item.work;
    const holder = peers.self.incarnation;
    this.#recordStart(server, item, ref);
    const started = await held.start(server.name, taskSpec(item, ref, holder));
    if (started.ok) return { kind: "started", ref, server: server.name, holder };
    if (started.val.kind === "ambiguous") {
      return { kind: "ambiguous", ref, server: server.name, holder };
    }
    this.removeEnded(ref);
    if (spec.team !== undefined) budgets.release(spec.team, ref);
    picker.coolDown(server.name);
    counters.retry(started.val.reason);
    return item.work.offered ? { kind: "declined", reason: started.val.reason } : undefined;
  }
}

function taskSpec(item: QueuedItem, ref: TaskRef, holder: string): TaskSpec {
  const { team, queue, priority, idempotent, payload } = item.work.spec;
  return {
    ...ref,
    home: item.work.owner,
    chargedTo: holder,
    team,
    queue,
    priority,
    idempotent,
    payload,
  };
}
