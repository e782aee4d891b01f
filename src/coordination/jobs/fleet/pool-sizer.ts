import type { Clock } from "../../../ports/clock.ts";
import type { ControlledInstance, InstanceControl } from "../../../ports/instance-control.ts";
import type { Log } from "../../../ports/log.ts";
import type { Resources } from "../../../protocol/job-spec.ts";
import {
  afterMoves,
  chooseDraining,
  planMoves,
  shareInstances,
  type MovableInstance,
  type PlannedMove,
} from "../../../state/jobs/fleet/pool-sizing.ts";
import { InstanceMoves } from "../../../state/jobs/fleet/instance-moves.ts";
import { NO_RESOURCES } from "../../../state/jobs/scheduling/resources.ts";
import type { Counters } from "../../ports.ts";
import type { FleetConfigView } from "../config-view.ts";
import type { InstanceOrderTimes } from "./instance-order-times.ts";
import type { InstanceListCache } from "./instance-list-cache.ts";
import { PoolDemand } from "./pool-demand.ts";
import type { Scheduler } from "../scheduling/scheduler.ts";
import type { LockTenure } from "../election/scheduler-lock.ts";
import type { ServerDriver } from "../execution/server-driver.ts";

const INTERVAL_MS = 250;
const LOG_INTERVAL_MS = 2000;
const MILLIS_PER_CORE = 1000;

/** Options of {@link PoolSizer}. */
export interface PoolSizerOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly counters: Counters;
  readonly tenure: LockTenure;
  readonly config: FleetConfigView;
  readonly instances: InstanceControl;
  readonly view: InstanceListCache;
  readonly scheduler: Scheduler;
  /** Name of this entry instance, sent with each order. */
  readonly holder: string;
  readonly orders: InstanceOrderTimes;
}

/** Moves instances between pools and the spare pool as demand rises and falls. */
export class PoolSizer {
  readonly #options: PoolSizerOptions;
  readonly #demand: PoolDemand;
  #loggedAt = -Infinity;
  readonly #idleSince = new Map<string, number>();
  readonly #moves = new InstanceMoves();

  constructor(options: PoolSizerOptions) {
    this.#options = options;
    this.#demand = new PoolDemand(options.clock, options.config);
  }

  /** Adjusts the pool sizes until the tenure ends. */
  async run(): Promise<void> {
    const { clock, tenure, scheduler, orders } = this.#options;
    while (!tenure.signal.aborted) {
      await clock.sleep(INTERVAL_MS, tenure.signal);
      this.#releaseEndedMoves();
      if (!tenure.valid || !scheduler.ready || !(await orders.load())) continue;
      const instances = await this.#options.view.read();
      if (instances === undefined) this.#releaseSurplus();
      else await this.#resize(instances);
    }
  }

  /** Lets instances take tasks again once their moves no longer count, if they did not leave. */
  #releaseEndedMoves(): void {
    const { clock, log, scheduler } = this.#options;
    for (const { instance, pool, server, outcome } of this.#moves.takeEnded(clock.now())) {
      if (server !== undefined) scheduler.drivers.get(server)?.release("move");
      if (outcome === "unanswered")
        log.info({ instance, pool }, "unanswered move no longer counts");
    }
  }

  /** Lets drained instances take tasks, because they can't be moved now. */
  #releaseSurplus(): void {
    for (const driver of this.#options.scheduler.drivers.all()) driver.release("surplus");
  }

  async #resize(instances: readonly ControlledInstance[]): Promise<void> {
    const { config } = this.#options;
    const pools = config.current?.pools ?? [];
    const sparePool = pools.find(({ spare }) => spare)?.name;
    if (sparePool === undefined) {
      this.#releaseSurplus();
      return;
    }
    const needed = this.#targetSizes(instances, sparePool);
    const sizes = this.#sizes(instances);
    const movable = this.#movable(instances, sparePool);
    this.#logSizes(needed, sizes, this.#withheld(instances));
    const plan = { needed, sizes, instances: movable, sparePool };
    const moves = planMoves(plan);
    const moving = moves.map((move) => move.instance);
    // An instance that is about to move takes no tasks, but is no part of the remaining surplus.
    this.#drain(new Set([...chooseDraining(afterMoves(plan, moves)), ...moving]), instances);
    if (!(await this.#options.orders.persist(moving))) return;
    await Promise.all(moves.map((move) => this.#move(move, instances)));
  }

  #drain(chosen: ReadonlySet<string>, instances: readonly ControlledInstance[]): void {
    for (const instance of instances) {
      const driver = this.#driver(instance);
      if (chosen.has(instance.name)) driver?.reserve("surplus");
      else driver?.release("surplus");
    }
  }

  #logSizes(
    needed: ReadonlyMap<string, number>,
    sizes: ReadonlyMap<string, number>,
    withheld: ReadonlyMap<string, number>,
  ): void {
    const { clock, log } = this.#options;
    if (clock.now() - this.#loggedAt < LOG_INTERVAL_MS) return;
    this.#loggedAt = clock.now();
    log.info(
      {
        needed: Object.fromEntries(needed),
        sizes: Object.fromEntries(sizes),
        withheld: Object.fromEntries(withheld),
      },
      "pool sizes",
    );
  }

  /** Number of instances of each pool that are up but get no tasks because a move was ordered. */
  #withheld(instances: readonly ControlledInstance[]): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const instance of instances) {
      if (instance.state !== "up" || this.#driver(instance)?.hasReservation("move") !== true)
        continue;
      counts.set(instance.pool, (counts.get(instance.pool) ?? 0) + 1);
    }
    return counts;
  }

  /** Target size of each pool. The sum is at most the number of usable instances. */
  #targetSizes(
    instances: readonly ControlledInstance[],
    sparePool: string,
  ): ReadonlyMap<string, number> {
    const { config, scheduler } = this.#options;
    this.#demand.sample(scheduler.jobRegistry.openJobs, scheduler.durations);
    const pools = (config.current?.pools ?? [])
      .filter(({ name, spare }) => !spare && name !== sparePool)
      .map(({ name }) => name);
    const capacity = typicalCapacity(instances);
    const claims = this.#demand.claims(pools, capacity);
    const sizes = shareInstances(claims, instances.filter((found) => this.#usable(found)).length);
    const cores = capacity.cpuMillis / MILLIS_PER_CORE;
    scheduler.expectedPoolCores = new Map([...sizes].map(([pool, size]) => [pool, size * cores]));
    return sizes;
  }

  /** False for instances that cannot accept tasks in any pool. */
  #usable(instance: ControlledInstance): boolean {
    // Tasks can't be started in an evacuated zone, so pools get instances of other zones.
    if (instance.state === "down" || this.#options.config.isEvacuated(instance.zone)) return false;
    const driver = this.#driver(instance);
    if (driver === undefined) return !this.#zoneUnreachable(instance.zone);
    // While an instance drains for maintenance, its long-running tasks need a substitute to move to.
    return driver.reachable && !(driver.hasReservation("maintenance") && this.#hasLongTask(driver));
  }

  #hasLongTask({ id }: ServerDriver): boolean {
    const runs = this.#options.scheduler.tracker.runRegistry.onServer(id);
    return runs.some((run) => run.task.step.spec.longRunning);
  }

  /** True if no backend server of an availability zone is reachable. */
  #zoneUnreachable(zone: string): boolean {
    const drivers = [...this.#options.scheduler.drivers.all()].filter(
      ({ registration, absent }) => registration.zone === zone && !absent,
    );
    return drivers.length > 0 && drivers.every(({ reachable }) => !reachable);
  }

  #driver({ server }: ControlledInstance): ServerDriver | undefined {
    return server === undefined ? undefined : this.#options.scheduler.drivers.get(server);
  }

  #sizes(instances: readonly ControlledInstance[]): ReadonlyMap<string, number> {
    const sizes = new Map<string, number>();
    for (const instance of instances) {
      if (!this.#usable(instance)) continue;
      const pool = this.#poolOf(instance);
      sizes.set(pool, (sizes.get(pool) ?? 0) + 1);
    }
    return sizes;
  }

  #poolOf({ name, pool }: ControlledInstance): string {
    return this.#moves.targetPool(name) ?? pool;
  }

  #movable(
    instances: readonly ControlledInstance[],
    sparePool: string,
  ): readonly MovableInstance[] {
    const { clock, scheduler } = this.#options;
    const now = clock.now();
    return instances.flatMap((instance): readonly MovableInstance[] => {
      const { name, pool, server, state } = instance;
      const spare = pool === sparePool;
      if (state !== "up" || this.#moves.has(name) || !this.#usable(instance)) return [];
      if (!this.#options.orders.allowed(name)) return [];
      const driver = this.#driver(instance);
      if (!spare && (driver?.adopted !== true || driver.reserved)) return [];
      const { runRegistry } = scheduler.tracker;
      const runs = server === undefined ? [] : runRegistry.onServer(server);
      const incoming = server === undefined ? 0 : runRegistry.reservationsOn(server);
      const idle = runs.length === 0 && incoming === 0;
      if (!idle) this.#idleSince.delete(name);
      else if (!this.#idleSince.has(name)) this.#idleSince.set(name, now);
      const idleMs = now - (this.#idleSince.get(name) ?? now);
      const runningLong = runs.filter((run) => run.task.step.spec.longRunning).length;
      const shortTasks = runs.length - runningLong;
      const longTasks = runningLong + incoming;
      const draining = driver?.hasReservation("surplus") === true;
      return [{ name, pool, spare, idle, idleMs, draining, shortTasks, longTasks }];
    });
  }

  async #move(
    { instance, pool }: PlannedMove,
    instances: readonly ControlledInstance[],
  ): Promise<void> {
    const { clock, log, counters, tenure, holder, scheduler } = this.#options;
    const listed = instances.find(({ name }) => name === instance);
    const driver = listed === undefined ? undefined : this.#driver(listed);
    if (driver !== undefined) {
      // A task may have been placed since the plan was made.
      const { runRegistry } = scheduler.tracker;
      if (runRegistry.countOn(driver.id) > 0 || runRegistry.reservationsOn(driver.id) > 0) return;
      driver.reserve("move");
    }
    this.#moves.planned(instance, pool, driver?.id);
    this.#idleSince.delete(instance);
    const order = { instance, holder, token: tenure.token };
    const result = await this.#options.instances.move(order, pool);
    log.info({ instance, from: listed?.pool, to: pool, ok: result.ok }, "instance moved");
    if (result.ok) {
      this.#moves.accepted(instance, clock.now());
      if (driver !== undefined) scheduler.tracker.serverGone(driver);
      return;
    }
    log.warn({ instance, pool, err: result.val }, "move refused");
    if (result.val.kind === "fenced") tenure.end();
    if (result.val.kind === "unknown") {
      // The order may still be carried out, so the instance stays reserved for a limited time.
      this.#moves.unanswered(instance, clock.now());
      counters.event("instance_move_unanswered");
      return;
    }
    this.#moves.refused(instance);
    driver?.release("move");
  }
}

function typicalCapacity(instances: readonly ControlledInstance[]): Resources {
  const sorted = instances
    .map(({ capacity }) => capacity)
    .sort((a, b) => a.cpuMillis - b.cpuMillis);
  return sorted[Math.floor(sorted.length / 2)] ?? NO_RESOURCES;
}
