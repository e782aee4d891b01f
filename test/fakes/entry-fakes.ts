/** Fakes of the configuration, the fleet, held servers and budgets. */
import { Err, Ok, type Result } from "ts-results";
import type { TaskRef, TaskResult, TaskSpec } from "../../src/ports/backend-server.ts";
import type { ConfigDocument, QueueConfig } from "../../src/protocol/config-document.ts";
import type { FleetDocument } from "../../src/protocol/fleet-document.ts";
import {
  Budgets,
  ConfigView,
  FleetView,
  HeldServers,
  type FinishedTask,
  type HeldServer,
  type StartError,
  type TaskStatus,
  type Unsubscribe,
} from "../../src/coordination/ports.ts";
import { refKey } from "../../src/coordination/work.ts";
import { configDocument } from "./builders.ts";
import type { VirtualClock } from "./virtual-clock.ts";

/** A configuration that tests set. `T` may include undefined for a configuration not read yet. */
export class FakeConfig<T extends ConfigDocument | undefined = ConfigDocument> extends ConfigView {
  allowsKeyedWork = true;
  reachable = true;

  constructor(public document: T) {
    super();
  }

  current(): T {
    return this.document;
  }

  ageMs(): number {
    return 0;
  }

  keyedWorkAllowed(): boolean {
    return this.allowsKeyedWork;
  }

  platformReachable(): boolean {
    return this.reachable;
  }

  platformWideOutage(): boolean {
    return false;
  }

  /** The key of team `red` is `key-red`. */
  teamOfKey(key: string): string | undefined {
    return this.document?.teams.find((team) => key === `key-${team.name}`)?.name;
  }

  onChange(): Unsubscribe {
    return () => undefined;
  }
}

/** A configuration with pool `jobs` and queues `jobs` (not idempotent), `repeat` and `open`. */
export function fixtureConfig(
  change: {
    readonly urgentReserveSlots?: number;
    readonly shares?: Readonly<Record<string, number>>;
    readonly queues?: readonly QueueConfig[];
  } = {},
): ConfigDocument {
  const { shares = { red: 1, blue: 1 }, urgentReserveSlots = 0 } = change;
  const queue = { pool: "jobs", open: false, idempotent: false, declaredRunMs: 100 };
  const pool = { group: "g", minAvailable: 0, targetSize: 1 };
  return configDocument({
    pools: [
      { ...pool, name: "jobs", urgentReserveSlots, spare: false },
      { ...pool, name: "spare", urgentReserveSlots: 0, spare: true },
    ],
    queues: change.queues ?? [
      { ...queue, name: "jobs" },
      { ...queue, name: "repeat", idempotent: true },
      { ...queue, name: "open", open: true },
    ],
    teams: Object.entries(shares).map(([name, share]) => ({
      ...{ name, share, upperLimit: 100, keys: [] },
      queues: name === "narrow" ? ["repeat"] : [],
    })),
  });
}

export class FakeFleet extends FleetView {
  document: FleetDocument | undefined;

  confirmedAt(): number {
    return Infinity;
  }

  refresh(): Promise<void> {
    return Promise.resolve();
  }

  current(): FleetDocument | undefined {
    return this.document;
  }

  onChange(): Unsubscribe {
    return () => undefined;
  }
}

/** Decides the outcome of a start. Only the error `not-started` prevents the task from starting. */
export type StartRule = (server: string, spec: TaskSpec) => StartError | undefined;

export interface RunningTask {
  readonly server: string;
  readonly spec: TaskSpec;
}

export class FakeHeldServers extends HeldServers {
  readonly servers = new Map<string, Omit<HeldServer, "running">>();
  /** Every task ever started, in order of start. */
  readonly started: RunningTask[] = [];
  readonly stopped: TaskRef[] = [];
  readonly acknowledged: string[] = [];
  readonly statuses = new Map<string, TaskStatus>();
  rule: StartRule = () => undefined;
  /** Run time of each task in milliseconds. If undefined, the test ends the tasks. */
  runMs: number | undefined = 20;
  result: (task: RunningTask) => TaskResult = ({ spec }) => ({
    kind: "answer",
    payload: spec.payload,
  });
  readonly #running = new Map<string, RunningTask>();
  readonly #finished = new Set<(task: FinishedTask) => void>();
  readonly #changed = new Set<() => void>();

  constructor(readonly clock: VirtualClock) {
    super();
  }

  add(name: string, { slots = 2, pool = "jobs", rack = "r1", zone = "z1" } = {}): void {
    this.servers.set(name, { name, zone, rack, pool, slots, dispatchable: true });
    this.notifyChange();
  }

  remove(name: string): void {
    this.servers.delete(name);
    for (const [key, task] of this.#running) if (task.server === name) this.#running.delete(key);
    this.notifyChange();
  }

  notifyChange(): void {
    for (const listener of this.#changed) listener();
  }

  get running(): readonly RunningTask[] {
    return [...this.#running.values()];
  }

  list(): readonly HeldServer[] {
    return [...this.servers.values()].map((server) => ({
      ...server,
      running: this.running.filter((task) => task.server === server.name).length,
    }));
  }

  async start(server: string, spec: TaskSpec): Promise<Result<void, StartError>> {
    const failure = this.rule(server, spec);
    if (failure?.kind === "not-started") return Err(failure);
    const task = { server, spec };
    this.started.push(task);
    this.#running.set(refKey(spec), task);
    if (this.runMs !== undefined)
      this.clock.schedule(this.runMs, () => {
        this.finish(spec, this.result(task));
      });
    await Promise.resolve();
    return failure === undefined ? Ok(undefined) : Err(failure);
  }

  /** Ends a running task with a result. */
  finish(ref: TaskRef, result: TaskResult): void {
    const task = this.#running.get(refKey(ref));
    if (task === undefined) return;
    this.#running.delete(refKey(ref));
    this.report(task, result);
    this.notifyChange();
  }

  /** Reports a result as the server's events do, even if the task is unknown. */
  report({ server, spec }: RunningTask, result: TaskResult): void {
    const record = { ...spec, state: "finished", result } as const;
    for (const listener of this.#finished) listener({ server, record });
  }

  async stop(_server: string, ref: TaskRef): Promise<void> {
    this.stopped.push(ref);
    this.finish(ref, { kind: "stopped", checkpointed: false });
    await Promise.resolve();
  }

  async acknowledge(_server: string, ref: TaskRef): Promise<void> {
    this.acknowledged.push(refKey(ref));
    await Promise.resolve();
  }

  status(server: string, ref: TaskRef): TaskStatus {
    if (!this.servers.has(server)) return "not-holder";
    return this.statuses.get(refKey(ref)) ?? "running";
  }

  onFinished(listener: (task: FinishedTask) => void): Unsubscribe {
    this.#finished.add(listener);
    return () => this.#finished.delete(listener);
  }

  onChange(listener: () => void): Unsubscribe {
    this.#changed.add(listener);
    return () => this.#changed.delete(listener);
  }

  client(): undefined {
    return undefined;
  }
}

export class FakeBudgets extends Budgets {
  readonly limits = new Map<string, number>();
  readonly charges = new Map<string, Set<string>>();
  readonly demand = new Map<string, number>();
  readonly #changed = new Set<() => void>();

  constructor(held: FakeHeldServers) {
    super();
    // Stands in for the limits modules, which end the charge of a task that has ended.
    held.onFinished(({ record }) => {
      if (record.team !== undefined) this.release(record.team, record);
    });
  }

  setLimit(team: string, limit: number): void {
    this.limits.set(team, limit);
    for (const listener of this.#changed) listener();
  }

  tryCharge(team: string, ref: TaskRef): boolean {
    if (this.availableBudget(team) <= 0) return false;
    this.charges.set(team, (this.charges.get(team) ?? new Set()).add(refKey(ref)));
    return true;
  }

  release(team: string, ref: TaskRef): void {
    this.charges.get(team)?.delete(refKey(ref));
    for (const listener of this.#changed) listener();
  }

  availableBudget(team: string): number {
    return (this.limits.get(team) ?? 100) - this.running(team);
  }

  running(team: string): number {
    return this.charges.get(team)?.size ?? 0;
  }

  setDemand(team: string, queued: number): void {
    this.demand.set(team, queued);
  }

  onChange(listener: () => void): Unsubscribe {
    this.#changed.add(listener);
    return () => this.#changed.delete(listener);
  }
}
