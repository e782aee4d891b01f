import type { Clock } from "../../ports/clock.ts";
import type {
  ControlError,
  ControlledInstance,
  InstanceControl,
} from "../../ports/instance-control.ts";
import type { Log } from "../../ports/log.ts";
import type { RecordStore } from "../../ports/record-store.ts";
import type { WaveRequest } from "../../protocol/fleet-config.ts";
import { decodeWaveRecord, encodeWaveRecord, waveKey } from "../../protocol/job-records.ts";
import { mayInterrupt } from "../../state/jobs/availability.ts";
import type { ActiveRun } from "../../state/jobs/run-registry.ts";
import {
  chooseReservations,
  effectOfOrder,
  type WaveInstance,
} from "../../state/jobs/wave-plan.ts";
import type { FleetConfigView } from "./config-view.ts";
import type { InstanceOrders } from "./instance-orders.ts";
import type { InstanceView } from "./instance-view.ts";
import type { OperatorFeed } from "./job-feeds.ts";
import type { Scheduler } from "./scheduler.ts";
import type { LockTenure } from "./scheduler-lock.ts";
import type { ServerDriver } from "./server-driver.ts";

const INTERVAL_MS = 300;
/** Time in ms for which a reserved instance may finish its short tasks. */
const DRAIN_PATIENCE_MS = 3000;
/** Lists that lack an instance before it is taken as removed; lists lag. */
const LISTS_WITHOUT_INSTANCE = 8;

/** Options of {@link MaintenanceRunner}. */
export interface MaintenanceRunnerOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly store: RecordStore;
  readonly tenure: LockTenure;
  readonly config: FleetConfigView;
  readonly operators: OperatorFeed;
  readonly instances: InstanceControl;
  readonly view: InstanceView;
  readonly scheduler: Scheduler;
  /** Name of this entry instance, given with each order. */
  readonly holder: string;
  readonly orders: InstanceOrders;
  /** Time in ms after a takeover in which nothing is interrupted. */
  readonly takeoverPauseMs: number;
}

interface Underway {
  /** Server that ran on the instance when its maintenance was ordered. */
  readonly server: string | undefined;
  /** Monotonic time in ms at which the order was accepted; undefined before. */
  acceptedAt: number | undefined;
  /** The list has shown that the server is gone. */
  taken: boolean;
}

interface WaveProgress {
  readonly request: WaveRequest;
  /** Instances whose maintenance was accepted by the platform. */
  readonly done: Set<string>;
  readonly underway: Map<string, Underway>;
  readonly reservedSince: Map<string, number>;
  readonly missing: Map<string, number>;
  reported: "nothing" | "running" | "completed";
}

/** Brings the instances of maintenance waves through their maintenance, within every budget. */
export class MaintenanceRunner {
  readonly #options: MaintenanceRunnerOptions;
  readonly #waves = new Map<number, WaveProgress>();

  constructor(options: MaintenanceRunnerOptions) {
    this.#options = options;
  }

  /** Works on waves until the tenure ends. */
  async run(): Promise<void> {
    const { clock, tenure, config, orders, takeoverPauseMs } = this.#options;
    // Tasks that a predecessor's last orders end may still be listed as at work.
    await clock.sleep(takeoverPauseMs, tenure.signal);
    while (!tenure.signal.aborted) {
      await clock.sleep(INTERVAL_MS, tenure.signal);
      for (const request of config.waves) {
        if (!tenure.valid || !(await orders.load())) break;
        const wave = await this.#progress(request);
        if (wave !== undefined && wave.reported !== "completed") await this.#advance(wave);
      }
    }
  }

  /** Progress of a wave, read from the store at first; undefined if it can't be read. */
  async #progress(request: WaveRequest): Promise<WaveProgress | undefined> {
    const known = this.#waves.get(request.wave);
    if (known !== undefined) return known;
    const record = await this.#options.store.get(waveKey(request.wave));
    if (record.err) return undefined;
    const stored = record.val === undefined ? undefined : decodeWaveRecord(record.val.value);
    const wave: WaveProgress = {
      request,
      done: new Set(stored?.maintained),
      underway: new Map(),
      reservedSince: new Map(),
      missing: new Map(),
      reported: stored?.completed === true ? "completed" : "nothing",
    };
    this.#waves.set(request.wave, wave);
    return wave;
  }

  async #advance(wave: WaveProgress): Promise<void> {
    const { view, operators } = this.#options;
    const instances = await view.read();
    if (instances === undefined) return;
    if (wave.reported === "nothing" && (await operators.reportWave(wave.request.wave, "running")))
      wave.reported = "running";
    this.#noteReturns(wave, instances);
    const open = this.#open(wave, instances);
    this.#reserve(wave, instances, open);
    await Promise.all(open.map((candidate) => this.#maintain(wave, candidate)));
    const left = wave.request.instances.filter((name) => !this.#settled(wave, name));
    if (left.length === 0 && wave.underway.size === 0) await this.#complete(wave);
  }

  #settled({ done, missing }: WaveProgress, name: string): boolean {
    return done.has(name) || (missing.get(name) ?? 0) >= LISTS_WITHOUT_INSTANCE;
  }

  /** An instance is back when it is up with another server than before. */
  #noteReturns(wave: WaveProgress, instances: readonly ControlledInstance[]): void {
    const listed = new Map(instances.map((instance) => [instance.name, instance]));
    for (const [name, order] of wave.underway) {
      this.#noteEffect(wave, name, order, listed.get(name));
      const instance = listed.get(name);
      if (instance?.state === "up" && instance.server !== order.server) wave.underway.delete(name);
    }
    for (const name of wave.request.instances) {
      const absent = listed.has(name) ? 0 : (wave.missing.get(name) ?? 0) + 1;
      wave.missing.set(name, absent);
      // It was removed for good while it was in maintenance.
      if (absent >= LISTS_WITHOUT_INSTANCE) wave.underway.delete(name);
    }
    // Orders of a former scheduler: an instance that is down for maintenance takes a place.
    for (const { name, state } of instances) {
      if (state !== "upkeep" || wave.underway.has(name)) continue;
      if (!wave.request.instances.includes(name)) continue;
      wave.underway.set(name, { server: undefined, acceptedAt: undefined, taken: true });
    }
  }

  /** What runs on an instance is gone once the list shows that the accepted order took it. */
  #noteEffect(
    wave: WaveProgress,
    name: string,
    order: Underway,
    listed: ControlledInstance | undefined,
  ): void {
    const { clock, log, scheduler } = this.#options;
    if (order.acceptedAt === undefined || order.taken) return;
    const effect = effectOfOrder(listed, order.server, clock.now() - order.acceptedAt);
    if (effect === "awaited") return;
    const driver = order.server === undefined ? undefined : scheduler.drivers.get(order.server);
    if (effect === "taken") {
      order.taken = true;
      if (driver !== undefined) scheduler.tracker.runsGone(driver, "gone");
      return;
    }
    log.info({ wave: wave.request.wave, instance: name }, "instance had been maintained before");
    wave.underway.delete(name);
    driver?.release("maintenance");
    const runs = order.server === undefined ? [] : scheduler.tracker.book.onServer(order.server);
    for (const run of runs) run.endOrdered = false;
  }

  #open(wave: WaveProgress, instances: readonly ControlledInstance[]): readonly WaveInstance[] {
    const wanted = new Set(wave.request.instances);
    return instances
      .filter(({ name }) => wanted.has(name) && !wave.done.has(name) && !wave.underway.has(name))
      .map((instance) => {
        const runs = this.#runs(instance);
        const longTasks = runs.filter((run) => run.task.step.spec.longRunning).length;
        const reserved = wave.reservedSince.has(instance.name);
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
    const underway = instances.filter(({ name }) => wave.underway.has(name));
    const { request } = wave;
    for (const instance of chooseReservations({
      request,
      open,
      inMaintenance: underway,
      poolSizes,
    })) {
      log.info(
        { wave: request.wave, instance: instance.name, pool: instance.pool },
        "drains for maintenance",
      );
      wave.reservedSince.set(instance.name, clock.now());
    }
    for (const { instance } of open) {
      const driver = this.#driver(instance);
      if (driver !== undefined) driver.maintenanceAhead = true;
      if (wave.reservedSince.has(instance.name)) driver?.reserve("maintenance");
    }
  }

  async #maintain(wave: WaveProgress, { instance, shortTasks }: WaveInstance): Promise<void> {
    const { clock, log, instances, tenure, holder } = this.#options;
    const since = wave.reservedSince.get(instance.name);
    if (since === undefined || instance.state !== "up") return;
    if (wave.underway.size >= wave.request.maxAtOnce) return;
    if (!this.#options.orders.allowed(instance.name)) return;
    if (shortTasks > 0 && clock.now() - since < DRAIN_PATIENCE_MS) return;
    const { book } = this.#options.scheduler.tracker;
    if (!mayInterrupt(this.#runs(instance), book, clock.now())) {
      this.#evacuate(instance);
      return;
    }
    const underway: Underway = { server: instance.server, acceptedAt: undefined, taken: false };
    wave.underway.set(instance.name, underway);
    // The budget is checked for all instances in turn, so what ends here counts as away at once.
    const runs = this.#runs(instance);
    for (const run of runs) run.endOrdered = true;
    const announced = await this.#options.orders.announce([instance.name]);
    if (!announced || !mayInterrupt(this.#runs(instance), book, clock.now())) {
      wave.underway.delete(instance.name);
      for (const run of runs) run.endOrdered = false;
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
      // An order without an answer may still be carried out.
      for (const run of runs) run.endOrdered = result.val.kind === "unknown";
      this.#refused(wave, instance, result.val);
    } else {
      underway.acceptedAt = clock.now();
      await this.#accepted(wave, instance);
    }
  }

  /** Moves long-running tasks away one after the other where their budget forbids all at once. */
  #evacuate(instance: ControlledInstance): void {
    const { clock, scheduler } = this.#options;
    const { tracker } = scheduler;
    const now = clock.now();
    for (const run of this.#runs(instance)) {
      if (!run.task.step.spec.longRunning) continue;
      if (mayInterrupt([run], tracker.book, now)) tracker.stop(run);
    }
  }

  #refused(wave: WaveProgress, { name }: ControlledInstance, err: ControlError): void {
    const { log, tenure } = this.#options;
    log.warn({ wave: wave.request.wave, instance: name, err }, "maintenance refused");
    if (err.kind === "fenced") tenure.end();
    // An order without an answer is repeated; it has no further effect if it was carried out.
    wave.underway.delete(name);
    if (err.kind === "not-in-wave" || err.kind === "invalid") wave.done.add(name);
  }

  async #accepted(wave: WaveProgress, { name }: ControlledInstance): Promise<void> {
    const { store, tenure } = this.#options;
    wave.done.add(name);
    wave.reservedSince.delete(name);
    await this.#record(wave, false, store, tenure);
  }

  async #complete(wave: WaveProgress): Promise<void> {
    const { operators, store, tenure, log } = this.#options;
    if (!(await operators.reportWave(wave.request.wave, "completed"))) return;
    wave.reported = "completed";
    log.info({ wave: wave.request.wave, instances: wave.done.size }, "wave completed");
    await this.#record(wave, true, store, tenure);
  }

  /** A record that is not written costs a repeated order after a takeover, nothing else. */
  async #record(
    wave: WaveProgress,
    completed: boolean,
    store: RecordStore,
    tenure: LockTenure,
  ): Promise<void> {
    const value = encodeWaveRecord({ maintained: [...wave.done], completed });
    const put = { key: waveKey(wave.request.wave), value };
    const result = await store.commit({ conditions: [tenure.condition], puts: [put] });
    if (result.err)
      this.#options.log.warn({ wave: wave.request.wave, err: result.val }, "wave not recorded");
  }

  #driver({ server }: ControlledInstance): ServerDriver | undefined {
    return server === undefined ? undefined : this.#options.scheduler.drivers.get(server);
  }

  #runs({ server }: ControlledInstance): readonly ActiveRun[] {
    return server === undefined ? [] : this.#options.scheduler.tracker.book.onServer(server);
  }
}
