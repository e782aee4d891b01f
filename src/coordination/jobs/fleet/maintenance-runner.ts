import type { Clock } from "../../../ports/clock.ts";
import type {
  ControlError,
  ControlledInstance,
  InstanceControl,
} from "../../../ports/instance-control.ts";
import type { Log } from "../../../ports/log.ts";
import type { RecordStore } from "../../../ports/record-store.ts";
import type { WaveRequest } from "../../../protocol/fleet-config.ts";
import { mayInterrupt } from "../../../state/jobs/fleet/availability.ts";
import type { ActiveRun } from "../../../state/jobs/execution/run-registry.ts";
import {
  chooseReservations,
  effectOfOrder,
  type WaveInstance,
} from "../../../state/jobs/fleet/wave-plan.ts";
import type { FleetConfigView } from "../config-view.ts";
import type { InstanceOrderTimes } from "./instance-order-times.ts";
import type { InstanceListCache } from "./instance-list-cache.ts";
import type { OperatorFeed } from "../job-feeds.ts";
import type { Scheduler } from "../scheduling/scheduler.ts";
import type { LockTenure } from "../election/scheduler-lock.ts";
import type { ServerDriver } from "../execution/server-driver.ts";
import type { Counters } from "../../ports.ts";
import { BlockedMaintenance } from "./blocked-maintenance.ts";
import type { OngoingMaintenance, WaveProgress } from "./wave-progress.ts";
import { WaveRecords } from "./wave-records.ts";

const INTERVAL_MS = 300;
/** Time in ms that a reserved instance gets to finish its short tasks. */
const SHORT_TASK_GRACE_MS = 3000;
/** Consecutive lists without an instance before it counts as removed, because lists lag. */
const LISTS_WITHOUT_INSTANCE = 8;

/** Options of {@link MaintenanceRunner}. */
export interface MaintenanceRunnerOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly counters: Counters;
  readonly store: RecordStore;
  readonly tenure: LockTenure;
  readonly config: FleetConfigView;
  readonly operators: OperatorFeed;
  readonly instances: InstanceControl;
  readonly view: InstanceListCache;
  readonly scheduler: Scheduler;
  /** Name of this entry instance, sent with each order. */
  readonly holder: string;
  readonly orders: InstanceOrderTimes;
  /** Time in ms after a takeover during which no run is interrupted. */
  readonly takeoverPauseMs: number;
}

/**
 * Orders the maintenance of all instances of the requested waves, within each wave's limit and the
 * availability budgets of the tasks.
 */
export class MaintenanceRunner {
  readonly #options: MaintenanceRunnerOptions;
  readonly #waves = new Map<number, WaveProgress>();
  readonly #records: WaveRecords;
  readonly #blocked: BlockedMaintenance;

  constructor(options: MaintenanceRunnerOptions) {
    this.#options = options;
    this.#records = new WaveRecords(options);
    this.#blocked = new BlockedMaintenance(options);
  }

  /** Processes the requested waves until the tenure ends. */
  async run(): Promise<void> {
    const { clock, tenure, config, orders, scheduler, takeoverPauseMs } = this.#options;
    // Tasks that the previous scheduler's last orders interrupt may still be listed as running.
    await clock.sleep(takeoverPauseMs, tenure.signal);
    while (!tenure.signal.aborted) {
      await clock.sleep(INTERVAL_MS, tenure.signal);
      // Before the jobs are read an instance full of tasks looks idle.
      if (!scheduler.ready) continue;
      for (const request of config.waves) {
        if (!tenure.valid || !(await orders.load())) break;
        const wave = await this.#progressOf(request);
        if (wave !== undefined && wave.reported !== "completed") await this.#advance(wave);
      }
    }
  }

  /** Returns a wave's progress, initially from the store; undefined if the read failed. */
  async #progressOf(request: WaveRequest): Promise<WaveProgress | undefined> {
    const known = this.#waves.get(request.wave);
    if (known !== undefined) return known;
    const wave = await this.#records.read(request);
    if (wave !== undefined) this.#waves.set(request.wave, wave);
    return wave;
  }

  async #advance(wave: WaveProgress): Promise<void> {
    const { view, operators } = this.#options;
    this.#blocked.postpone(wave);
    const instances = await view.read();
    if (instances === undefined) return;
    if (wave.reported === "nothing" && (await operators.reportWave(wave.request.wave, "running")))
      wave.reported = "running";
    this.#updateOngoing(wave, instances);
    const open = this.#pendingInstances(wave, instances);
    this.#reserve(wave, instances, open);
    await Promise.all(open.map((candidate) => this.#maintain(wave, candidate)));
    const left = wave.request.instances.filter((name) => !this.#isFinished(wave, name));
    if (left.length === 0 && wave.ongoing.size === 0) await this.#complete(wave);
  }

  #isFinished({ done, missing }: WaveProgress, name: string): boolean {
    return done.has(name) || (missing.get(name) ?? 0) >= LISTS_WITHOUT_INSTANCE;
  }

  /**
   * Removes maintenances that have ended, because the instance is up with a different server or was
   * removed, and adds those that a previous scheduler ordered.
   */
  #updateOngoing(wave: WaveProgress, instances: readonly ControlledInstance[]): void {
    const listed = new Map(instances.map((instance) => [instance.name, instance]));
    for (const [name, order] of wave.ongoing) {
      this.#checkOrderEffect(wave, name, order, listed.get(name));
      const instance = listed.get(name);
      if (instance?.state === "up" && instance.server !== order.server) wave.ongoing.delete(name);
    }
    for (const name of wave.request.instances) {
      const absent = listed.has(name) ? 0 : (wave.missing.get(name) ?? 0) + 1;
      wave.missing.set(name, absent);
      // The instance was permanently removed while it was in maintenance.
      if (absent >= LISTS_WITHOUT_INSTANCE) wave.ongoing.delete(name);
    }
    // Instances that a previous scheduler sent into maintenance count towards the limit.
    for (const { name, state } of instances) {
      if (state !== "upkeep" || wave.ongoing.has(name)) continue;
      if (!wave.request.instances.includes(name)) continue;
      wave.ongoing.set(name, { server: undefined, acceptedAt: undefined, tookEffect: true });
    }
  }

  /**
   * Releases the runs of an instance once the list shows that its accepted order took effect. If the
   * order turns out to repeat an earlier one, the instance and its runs continue as before.
   */
  #checkOrderEffect(
    wave: WaveProgress,
    name: string,
    order: OngoingMaintenance,
    listed: ControlledInstance | undefined,
  ): void {
    const { clock, log, scheduler } = this.#options;
    if (order.acceptedAt === undefined || order.tookEffect) return;
    const effect = effectOfOrder(listed, order.server, clock.now() - order.acceptedAt);
    if (effect === "pending") return;
    const driver = order.server === undefined ? undefined : scheduler.drivers.get(order.server);
    if (effect === "applied") {
      order.tookEffect = true;
      if (driver !== undefined) scheduler.tracker.serverGone(driver);
      return;
    }
    log.info({ wave: wave.request.wave, instance: name }, "instance had been maintained before");
    wave.ongoing.delete(name);
    driver?.release("maintenance");
    if (driver !== undefined) driver.maintenancePending = false;
    const runs =
      order.server === undefined ? [] : scheduler.tracker.runRegistry.onServer(order.server);
    this.#runsGoOn(runs);
  }

  /** Notes that an order to their instance is about to end runs, and reserves capacity for their tasks. */
  #endsOrdered(runs: readonly ActiveRun[]): void {
    for (const run of runs) run.endOrdered = true;
    if (runs.length > 0) this.#options.scheduler.relocator.endOrdered(runs, "maintenance");
  }

  /** Notes that an order to their instance did not end runs. */
  #runsGoOn(runs: readonly ActiveRun[]): void {
    for (const run of runs) run.endOrdered = false;
    if (runs.length > 0) this.#options.scheduler.relocator.endRefused(runs);
  }

  #pendingInstances(
    wave: WaveProgress,
    instances: readonly ControlledInstance[],
  ): readonly WaveInstance[] {
    const wanted = new Set(wave.request.instances);
    return instances
      .filter(({ name }) => wanted.has(name) && !wave.done.has(name) && !wave.ongoing.has(name))
      .map((instance) => {
        const runs = this.#runsOn(instance);
        const longTasks = runs.filter((run) => run.task.step.spec.longRunning).length;
        const reserved = wave.reservations.has(instance.name);
        return { instance, reserved, longTasks, shortTasks: runs.length - longTasks };
      });
  }

  #reserve(
    wave: WaveProgress,
    instances: readonly ControlledInstance[],
    open: readonly WaveInstance[],
  ): void {
    const { clock, log } = this.#options;
    const poolSizes = new Map<string, number>();
    for (const { pool, state } of instances)
      if (state === "up") poolSizes.set(pool, (poolSizes.get(pool) ?? 0) + 1);
    const inMaintenance = instances.filter(({ name }) => wave.ongoing.has(name));
    const { request } = wave;
    const now = clock.now();
    const due = open.filter(
      ({ instance }) =>
        (wave.postponedUntil.get(instance.name) ?? 0) <= now && !this.#isMoveTarget(instance),
    );
    for (const instance of chooseReservations({ request, open: due, inMaintenance, poolSizes })) {
      log.info(
        { wave: request.wave, instance: instance.name, pool: instance.pool },
        "drains for maintenance",
      );
      const { name, server } = instance;
      const reservation = { noRoomSince: undefined, orderUnanswered: false };
      wave.reservations.set(name, { since: now, server, ...reservation });
    }
    for (const { instance } of open) {
      const driver = this.#driverOf(instance);
      if (driver !== undefined) driver.maintenancePending = true;
      if (wave.reservations.has(instance.name)) driver?.reserve("maintenance");
    }
  }

  async #maintain(wave: WaveProgress, { instance, shortTasks }: WaveInstance): Promise<void> {
    const { clock, log, instances, tenure, holder } = this.#options;
    const reservation = wave.reservations.get(instance.name);
    if (reservation === undefined || instance.state !== "up") return;
    if (wave.ongoing.size >= wave.request.maxAtOnce) return;
    if (!this.#options.orders.allowed(instance.name)) return;
    if (shortTasks > 0 && clock.now() - reservation.since < SHORT_TASK_GRACE_MS) return;
    const { runRegistry } = this.#options.scheduler.tracker;
    if (!mayInterrupt(this.#runsOn(instance), runRegistry, clock.now())) {
      const driver = this.#driverOf(instance);
      if (driver !== undefined) this.#blocked.evacuate(driver, reservation);
      return;
    }
    reservation.noRoomSince = undefined;
    const ongoing: OngoingMaintenance = {
      server: instance.server,
      acceptedAt: undefined,
      tookEffect: false,
    };
    wave.ongoing.set(instance.name, ongoing);
    // Instances are checked one after the other, so these runs count as unavailable from now on.
    // Otherwise the next check would spend the same availability budget again.
    const runs = this.#runsOn(instance);
    this.#endsOrdered(runs);
    const persisted = await this.#options.orders.persist([instance.name]);
    if (!persisted || !mayInterrupt(this.#runsOn(instance), runRegistry, clock.now())) {
      wave.ongoing.delete(instance.name);
      this.#runsGoOn(runs);
      return;
    }
    const order = { instance: instance.name, holder, token: tenure.token };
    const result = await instances.maintain(order, wave.request.wave);
    const { wave: number } = wave.request;
    log.info(
      { wave: number, instance: instance.name, runs: runs.length, ok: result.ok },
      "maintenance ordered",
    );
    if (result.err) {
      // An order that got no reply may still be carried out.
      if (result.val.kind !== "unknown") this.#runsGoOn(runs);
      this.#handleRefusal(wave, instance, result.val);
    } else {
      ongoing.acceptedAt = clock.now();
      await this.#markAccepted(wave, instance);
    }
  }

  #handleRefusal(wave: WaveProgress, { name }: ControlledInstance, err: ControlError): void {
    const { log, tenure } = this.#options;
    log.warn({ wave: wave.request.wave, instance: name, err }, "maintenance refused");
    if (err.kind === "fenced") tenure.end();
    // An order that got no reply is repeated. Orders are idempotent, so this is safe.
    wave.ongoing.delete(name);
    const reservation = wave.reservations.get(name);
    if (reservation !== undefined) reservation.orderUnanswered = err.kind === "unknown";
    if (err.kind !== "not-in-wave" && err.kind !== "invalid") return;
    wave.done.add(name);
    this.#endReservation(wave, name);
  }

  /** Lets an instance take tasks again that stays as it is. */
  #endReservation(wave: WaveProgress, name: string): void {
    const { server } = wave.reservations.get(name) ?? {};
    wave.reservations.delete(name);
    const driver = server === undefined ? undefined : this.#options.scheduler.drivers.get(server);
    if (driver === undefined) return;
    driver.release("maintenance");
    driver.maintenancePending = false;
  }

  async #markAccepted(wave: WaveProgress, { name }: ControlledInstance): Promise<void> {
    wave.done.add(name);
    wave.reservations.delete(name);
    await this.#records.write(wave, { completed: false });
  }

  async #complete(wave: WaveProgress): Promise<void> {
    const { operators, log } = this.#options;
    if (!(await operators.reportWave(wave.request.wave, "completed"))) return;
    wave.reported = "completed";
    // Instances that the lists no longer show may come back with the same server.
    for (const name of [...wave.reservations.keys()]) this.#endReservation(wave, name);
    log.info({ wave: wave.request.wave, instances: wave.done.size }, "wave completed");
    await this.#records.write(wave, { completed: true });
  }

  /** True while a long-running task is about to start on an instance. */
  #isMoveTarget({ server }: ControlledInstance): boolean {
    const { runRegistry } = this.#options.scheduler.tracker;
    return server !== undefined && runRegistry.reservationsOn(server) > 0;
  }

  #driverOf({ server }: ControlledInstance): ServerDriver | undefined {
    return server === undefined ? undefined : this.#options.scheduler.drivers.get(server);
  }

  #runsOn({ server }: ControlledInstance): readonly ActiveRun[] {
    return server === undefined ? [] : this.#options.scheduler.tracker.runRegistry.onServer(server);
  }
}
