/** Simulated backend server that runs tasks of jobs on a given clock, with switchable faults. */
import { Err, Ok } from "ts-results";
import type { Clock } from "../ports/clock.ts";
import {
  JobBackend,
  type BackendClock,
  type EndedRun,
  type OrderError,
  type OrderResult,
  type PaceOrder,
  type PollOrder,
  type RunEnd,
  type RunLists,
  type StartOrder,
  type StopOrder,
} from "../ports/job-backend.ts";
import type { Resources } from "../protocol/job-spec.ts";

/** A run that a backend server started, recorded so that tests can check it. */
export interface ObservedRun {
  readonly task: string;
  readonly run: number;
  readonly server: string;
  readonly startedAt: number;
  endedAt: number | undefined;
  /** How the run ended; undefined while it runs and after a crash. */
  end: RunEnd | undefined;
  /**
   * Whether the end of the run was acknowledged before the server's lease lapsed. After that the scheduler
   * may have started the task elsewhere.
   */
  acknowledged: boolean;
}

/** How a task behaves. */
export interface TaskBehaviour {
  /** Duration of a run in ms; undefined if it runs until it is stopped. */
  readonly durationMs: number | undefined;
  /** Whether runs end as failed. @default false */
  readonly fails?: boolean;
}

/** Faults on the connection to the server. */
export interface ServerFaults {
  /** Orders get no reply and have no effect. */
  unresponsive: boolean;
  /** Time in milliseconds that an order takes to arrive. */
  latencyMs: number;
  /** Number of upcoming starts that are carried out late and get no reply. */
  lateStarts: number;
  /** Delay of late starts in milliseconds. */
  lateStartDelayMs: number;
  /** A crash or reboot discards pending late starts, as the loss of their TCP connection does. */
  rebootDiscardsLateStarts: boolean;
}

/** Options of {@link SimulatedJobServer}. */
export interface SimulatedJobServerOptions {
  readonly clock: Clock;
  readonly id: string;
  readonly capacity: Resources;
  /** Returns the behaviour of the named task. */
  readonly behaviour: (task: string) => TaskBehaviour;
  /** Rate of the server's clock relative to `clock`. @default 1 */
  readonly clockRate?: number;
  /** Returns the reading in ms at which a boot's clock begins; the first boot is number 0. @default 0 */
  readonly clockStartMs?: (boot: number) => number;
  /** Longest lease in ms that the server accepts; a longer one is shortened. @default unlimited */
  readonly maxLeaseMs?: number;
  /** Time in ms that a stop takes. @default 0 */
  readonly stopMs?: number;
}

interface RunningTask {
  readonly observed: ObservedRun;
  readonly behaviour: TaskBehaviour;
}

const ORDER_TIMEOUT_MS = 900;
const DEFAULT_LATENCY_MS = 2;
/** Time until a task that runs until it is stopped reports 100 percent, in milliseconds. */
const SERVING_STARTUP_MS = 500;
const POLL_STEP_MS = 10;

/** Simulates one backend server across reboots. */
export class SimulatedJobServer {
  readonly id: string;
  readonly capacity: Resources;
  readonly faults: ServerFaults = {
    ...{ unresponsive: false, latencyMs: DEFAULT_LATENCY_MS },
    ...{ lateStarts: 0, lateStartDelayMs: 0, rebootDiscardsLateStarts: false },
  };
  /** Every run that was started, in start order and across boots. */
  readonly history: ObservedRun[] = [];
  bootedAt: number;
  up = true;
  readonly #options: Required<SimulatedJobServerOptions>;
  readonly #running = new Map<string, RunningTask>();
  /** Highest run number of each task that was stopped or has ended in this boot. */
  readonly #lastEndedRun = new Map<string, number>();
  #ended: EndedRun[] = [];
  #sequence = 0;
  /** Ended runs up to this position were not acknowledged before the lease lapsed. */
  #lapsedSequence = 0;
  #token = 0;
  #deadlineMs = 0;
  #bootedAtMonotonic: number;
  #boots = 0;

  constructor(options: SimulatedJobServerOptions) {
    const { clockRate = 1, clockStartMs = () => 0, maxLeaseMs = Infinity, stopMs = 0 } = options;
    this.#options = { ...options, clockRate, clockStartMs, maxLeaseMs, stopMs };
    this.id = options.id;
    this.capacity = options.capacity;
    this.bootedAt = options.clock.wallTime();
    this.#bootedAtMonotonic = options.clock.now();
  }

  /** Names of the running tasks. */
  get running(): readonly string[] {
    return [...this.#running.keys()];
  }

  /** Names of the tasks whose stop was ordered and that still run. */
  get stopping(): readonly string[] {
    return [...this.#running].flatMap(
      ([
        task,
        {
          observed: { run },
        },
      ]) => (run <= (this.#lastEndedRun.get(task) ?? 0) ? [task] : []),
    );
  }

  /** Creates a client of the server. */
  client(): JobBackend {
    return new SimulatedJobBackend(this, this.#options.clock);
  }

  /** Ends all runs without a recorded result; the next boot does not list them. */
  crash(): void {
    for (const { observed } of this.#running.values()) this.#recordEnd(observed, undefined);
    this.#running.clear();
    this.up = false;
  }

  /** Boots after a crash, without the ended runs, lease and fencing token of the earlier boot. */
  boot(): void {
    const { clock } = this.#options;
    this.#lastEndedRun.clear();
    this.#ended = [];
    this.#sequence = 0;
    this.#lapsedSequence = 0;
    this.#token = 0;
    this.#deadlineMs = 0;
    this.#bootedAtMonotonic = clock.now();
    this.#boots++;
    this.bootedAt = clock.wallTime();
    this.up = true;
  }

  /** Ends the runs whose duration has elapsed, and all runs if the lease has lapsed. */
  applyElapsedTime(): void {
    const { clock } = this.#options;
    const lapsed = this.#running.size > 0 && this.#clockMs() > this.#deadlineMs;
    for (const [task, { observed, behaviour }] of [...this.#running]) {
      const { durationMs, fails = false } = behaviour;
      const isDue = durationMs !== undefined && clock.now() - observed.startedAt >= durationMs;
      if (isDue) this.#end(task, fails ? "failed" : "done");
      else if (lapsed) this.#end(task, "lapsed");
    }
  }

  start({ task, run, deadlineMs, token }: StartOrder): BackendClock | OrderError {
    this.applyElapsedTime();
    if (token < this.#token) return { kind: "fenced" };
    this.#token = token;
    if (deadlineMs < this.#clockMs()) return { kind: "late" };
    this.#extendLease(deadlineMs);
    if (run <= (this.#lastEndedRun.get(task) ?? 0)) return { kind: "old-run" };
    if (this.#running.get(task)?.observed.run === run) return this.#clockReading();
    const startedAt = this.#options.clock.now();
    const observed: ObservedRun = {
      ...{ task, run, server: this.id, startedAt, endedAt: undefined, end: undefined },
      acknowledged: false,
    };
    this.history.push(observed);
    this.#running.set(task, { observed, behaviour: this.#options.behaviour(task) });
    return this.#clockReading();
  }

  stop({ task, run, token }: StopOrder): BackendClock | OrderError {
    this.applyElapsedTime();
    if (token < this.#token) return { kind: "fenced" };
    this.#token = token;
    this.#lastEndedRun.set(task, Math.max(run, this.#lastEndedRun.get(task) ?? 0));
    const running = this.#running.get(task);
    if (running !== undefined && running.observed.run <= run) this.#stopRun(task, running);
    return this.#clockReading();
  }

  poll({ token, deadlineMs, acknowledged }: PollOrder): RunLists | OrderError {
    this.applyElapsedTime();
    if (token < this.#token) return { kind: "fenced" };
    this.#token = token;
    this.#extendLease(deadlineMs ?? 0);
    for (const { sequence, task, run } of this.#ended) {
      const observed = this.history.findLast((entry) => entry.task === task && entry.run === run);
      const inTime = sequence <= acknowledged && sequence > this.#lapsedSequence;
      if (inTime && observed !== undefined) observed.acknowledged = true;
    }
    this.#ended = this.#ended.filter(({ sequence }) => sequence > acknowledged);
    const now = this.#options.clock.now();
    return {
      ...this.#clockReading(),
      bootedAt: this.bootedAt,
      running: [...this.#running.values()].map(({ observed, behaviour: { durationMs } }) => {
        const { task, run, startedAt } = observed;
        const totalMs = durationMs ?? SERVING_STARTUP_MS;
        const percent = Math.min(100, Math.floor(((now - startedAt) / totalMs) * 100));
        return { task, run, checkpoint: "", percent, load: 0 };
      }),
      ended: this.#ended,
    };
  }

  #stopRun(task: string, running: RunningTask): void {
    const { clock, stopMs } = this.#options;
    if (stopMs === 0) this.#end(task, "stopped");
    else
      clock.schedule(stopMs, () => {
        if (this.#running.get(task) === running) this.#end(task, "stopped");
      });
  }

  #extendLease(deadlineMs: number): void {
    if (this.#clockMs() > this.#deadlineMs) this.#lapsedSequence = this.#sequence;
    const latest = this.#clockMs() + this.#options.maxLeaseMs;
    this.#deadlineMs = Math.max(this.#deadlineMs, Math.min(deadlineMs, latest));
  }

  #end(task: string, end: RunEnd): void {
    const running = this.#running.get(task);
    if (running === undefined) return;
    this.#running.delete(task);
    this.#recordEnd(running.observed, end);
    const { run } = running.observed;
    this.#lastEndedRun.set(task, Math.max(run, this.#lastEndedRun.get(task) ?? 0));
    this.#ended.push({ sequence: ++this.#sequence, task, run, end, checkpoint: "" });
  }

  #recordEnd(observed: ObservedRun, end: RunEnd | undefined): void {
    observed.endedAt = this.#options.clock.now();
    observed.end = end;
  }

  #clockReading(): BackendClock {
    return { clockMs: this.#clockMs() };
  }

  #clockMs(): number {
    const { clock, clockRate, clockStartMs } = this.#options;
    const sinceBootMs = Math.floor((clock.now() - this.#bootedAtMonotonic) * clockRate);
    return clockStartMs(this.#boots) + sinceBootMs;
  }
}

class SimulatedJobBackend extends JobBackend {
  readonly #server: SimulatedJobServer;
  readonly #clock: Clock;

  constructor(server: SimulatedJobServer, clock: Clock) {
    super();
    this.#server = server;
    this.#clock = clock;
  }

  async start(order: StartOrder): OrderResult<BackendClock> {
    const { faults } = this.#server;
    if (faults.lateStarts > 0 && !this.#unreachable()) {
      faults.lateStarts--;
      const { bootedAt } = this.#server;
      this.#clock.schedule(faults.lateStartDelayMs, () => {
        const sameBoot = this.#server.up && this.#server.bootedAt === bootedAt;
        if (sameBoot || !faults.rebootDiscardsLateStarts) this.#server.start(order);
      });
      return this.#timeOut();
    }
    return this.#send(() => this.#server.start(order));
  }

  stop(order: StopOrder): OrderResult<BackendClock> {
    return this.#send(() => this.#server.stop(order));
  }

  pace(_order: PaceOrder): OrderResult<BackendClock> {
    return this.#send(() => ({ clockMs: 0 }));
  }

  /** Waits as ordered. The connection is lost silently if the server reboots in the meantime. */
  async poll(order: PollOrder): OrderResult<RunLists> {
    const deadline = this.#clock.now() + order.waitMs;
    let result = await this.#send(() => this.#server.poll(order));
    const { bootedAt } = this.#server;
    while (result.ok && result.val.ended.length === 0 && this.#clock.now() < deadline) {
      await this.#clock.sleep(POLL_STEP_MS);
      if (this.#server.bootedAt !== bootedAt) return this.#timeOut(deadline - this.#clock.now());
      result = await this.#send(() => this.#server.poll(order));
    }
    return result;
  }

  async #send<T extends object>(execute: () => T | OrderError): OrderResult<T> {
    if (this.#unreachable()) return this.#timeOut();
    await this.#clock.sleep(this.#server.faults.latencyMs);
    if (this.#unreachable()) return this.#timeOut();
    const result = execute();
    return "kind" in result ? Err(result) : Ok(result);
  }

  async #timeOut(waitMs = 0): OrderResult<never> {
    await this.#clock.sleep(waitMs + ORDER_TIMEOUT_MS);
    return Err({ kind: "unknown", detail: "no reply" });
  }

  #unreachable(): boolean {
    return this.#server.faults.unresponsive || !this.#server.up;
  }
}
