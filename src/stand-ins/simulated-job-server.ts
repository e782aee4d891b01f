/** A backend server that runs tasks of jobs, on a given clock and with switchable faults. */
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

/** A start that a backend server carried out, for checks. */
export interface ObservedRun {
  readonly task: string;
  readonly run: number;
  readonly server: string;
  readonly startedAt: number;
  endedAt: number | undefined;
  end: RunEnd | undefined;
  /** The end was acknowledged. */
  acknowledged: boolean;
}

/** How a task behaves. */
export interface TaskBehaviour {
  /** Duration of a run in ms; undefined if it runs until it is stopped. */
  readonly durationMs: number | undefined;
  /** Runs end as failed. @default false */
  readonly fails?: boolean;
}

/** Faults of the way to the server. */
export interface ServerFaults {
  /** Orders are not answered and have no effect. */
  silent: boolean;
  /** Number of the next starts that are carried out late and not answered. */
  lateStarts: number;
  /** Delay of late starts in milliseconds. */
  lateMs: number;
  /** Late starts end with the boot that received them, as those on a TCP connection do. */
  lateStartsEndWithBoot: boolean;
}

/** Options of {@link SimulatedJobServer}. */
export interface SimulatedJobServerOptions {
  readonly clock: Clock;
  readonly id: string;
  readonly capacity: Resources;
  /** Behaviour of a task by its name. */
  readonly behaviour: (task: string) => TaskBehaviour;
  /** Rate of its clock relative to the given one. @default 1 */
  readonly clockRate?: number;
}

interface RunningTask {
  readonly observed: ObservedRun;
  readonly behaviour: TaskBehaviour;
}

const ORDER_TIMEOUT_MS = 900;
const LATENCY_MS = 2;
const START_UP_MS = 500;
const STEP_MS = 10;

/** One backend server through all of its boots. */
export class SimulatedJobServer {
  readonly id: string;
  readonly capacity: Resources;
  readonly faults: ServerFaults = {
    ...{ silent: false, lateStarts: 0, lateMs: 0 },
    lateStartsEndWithBoot: false,
  };
  /** Every start that was carried out, in order. */
  readonly history: ObservedRun[] = [];
  bootedAt: number;
  up = true;
  readonly #options: Required<SimulatedJobServerOptions>;
  readonly #running = new Map<string, RunningTask>();
  /** Highest run of each task that was stopped or has ended here. */
  readonly #barred = new Map<string, number>();
  #ended: EndedRun[] = [];
  #sequence = 0;
  #token = 0;
  #deadlineMs = 0;
  #bootedClock: number;

  constructor({ clockRate = 1, ...options }: SimulatedJobServerOptions) {
    this.#options = { clockRate, ...options };
    this.id = options.id;
    this.capacity = options.capacity;
    this.bootedAt = options.clock.wallTime();
    this.#bootedClock = options.clock.now();
  }

  /** Names of the tasks that run now. */
  get running(): readonly string[] {
    return [...this.#running.keys()];
  }

  /** Opens a client of this boot. */
  client(): JobBackend {
    return new SimulatedJobBackend(this, this.#options.clock);
  }

  /** Ends everything; nothing is known of it after the next boot. */
  crash(): void {
    for (const { observed } of this.#running.values()) this.#close(observed, undefined);
    this.#running.clear();
    this.up = false;
  }

  /** Boots again with nothing known. */
  boot(): void {
    const { clock } = this.#options;
    this.#barred.clear();
    this.#ended = [];
    this.#sequence = 0;
    this.#token = 0;
    this.#deadlineMs = 0;
    this.#bootedClock = clock.now();
    this.bootedAt = clock.wallTime();
    this.up = true;
  }

  /** Applies the time that has passed: runs end, and all of them when the lease lapses. */
  applyElapsedTime(): void {
    const { clock } = this.#options;
    const lapsed = this.#running.size > 0 && this.#clockMs() > this.#deadlineMs;
    for (const [task, { observed, behaviour }] of [...this.#running]) {
      const { durationMs, fails = false } = behaviour;
      const over = durationMs !== undefined && clock.now() - observed.startedAt >= durationMs;
      if (over) this.#end(task, fails ? "failed" : "done");
      else if (lapsed) this.#end(task, "lapsed");
    }
  }

  start({ task, run, deadlineMs, token }: StartOrder): BackendClock | OrderError {
    this.applyElapsedTime();
    if (token < this.#token) return { kind: "fenced" };
    this.#token = token;
    if (deadlineMs < this.#clockMs()) return { kind: "late" };
    this.#deadlineMs = Math.max(this.#deadlineMs, deadlineMs);
    if (run <= (this.#barred.get(task) ?? 0)) return { kind: "old-run" };
    if (this.#running.get(task)?.observed.run === run) return this.#clock();
    const startedAt = this.#options.clock.now();
    const observed: ObservedRun = {
      ...{ task, run, server: this.id, startedAt, endedAt: undefined, end: undefined },
      acknowledged: false,
    };
    this.history.push(observed);
    this.#running.set(task, { observed, behaviour: this.#options.behaviour(task) });
    return this.#clock();
  }

  stop({ task, run, token }: StopOrder): BackendClock | OrderError {
    this.applyElapsedTime();
    if (token < this.#token) return { kind: "fenced" };
    this.#token = token;
    this.#barred.set(task, Math.max(run, this.#barred.get(task) ?? 0));
    if ((this.#running.get(task)?.observed.run ?? Infinity) <= run) this.#end(task, "stopped");
    return this.#clock();
  }

  poll({ token, deadlineMs, acknowledged }: PollOrder): RunLists | OrderError {
    this.applyElapsedTime();
    if (token < this.#token) return { kind: "fenced" };
    this.#token = token;
    this.#deadlineMs = Math.max(this.#deadlineMs, deadlineMs ?? 0);
    for (const { sequence, task, run } of this.#ended) {
      const observed = this.history.findLast((entry) => entry.task === task && entry.run === run);
      if (sequence <= acknowledged && observed !== undefined) observed.acknowledged = true;
    }
    this.#ended = this.#ended.filter(({ sequence }) => sequence > acknowledged);
    const now = this.#options.clock.now();
    return {
      ...this.#clock(),
      bootedAt: this.bootedAt,
      running: [...this.#running.values()].map(({ observed, behaviour: { durationMs } }) => {
        const { task, run, startedAt } = observed;
        const whole = durationMs ?? START_UP_MS;
        const percent = Math.min(100, Math.floor(((now - startedAt) / whole) * 100));
        return { task, run, checkpoint: "", percent, load: 0 };
      }),
      ended: this.#ended,
    };
  }

  #end(task: string, end: RunEnd): void {
    const running = this.#running.get(task);
    if (running === undefined) return;
    this.#running.delete(task);
    this.#close(running.observed, end);
    const { run } = running.observed;
    this.#barred.set(task, Math.max(run, this.#barred.get(task) ?? 0));
    this.#ended.push({ sequence: ++this.#sequence, task, run, end, checkpoint: "" });
  }

  #close(observed: ObservedRun, end: RunEnd | undefined): void {
    observed.endedAt = this.#options.clock.now();
    observed.end = end;
  }

  #clock(): BackendClock {
    return { clockMs: this.#clockMs() };
  }

  #clockMs(): number {
    const { clock, clockRate } = this.#options;
    return Math.floor((clock.now() - this.#bootedClock) * clockRate);
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
      this.#clock.schedule(faults.lateMs, () => {
        const sameBoot = this.#server.up && this.#server.bootedAt === bootedAt;
        if (sameBoot || !faults.lateStartsEndWithBoot) this.#server.start(order);
      });
      return this.#unanswered();
    }
    return this.#order(() => this.#server.start(order));
  }

  stop(order: StopOrder): OrderResult<BackendClock> {
    return this.#order(() => this.#server.stop(order));
  }

  pace(_order: PaceOrder): OrderResult<BackendClock> {
    return this.#order(() => ({ clockMs: 0 }));
  }

  async poll(order: PollOrder): OrderResult<RunLists> {
    const end = this.#clock.now() + order.waitMs;
    for (;;) {
      const result = await this.#order(() => this.#server.poll(order));
      if (result.err || result.val.ended.length > 0 || this.#clock.now() >= end) return result;
      await this.#clock.sleep(STEP_MS);
    }
  }

  async #order<T extends object>(execute: () => T | OrderError): OrderResult<T> {
    if (this.#unreachable()) return this.#unanswered();
    await this.#clock.sleep(LATENCY_MS);
    if (this.#unreachable()) return this.#unanswered();
    const result = execute();
    return "kind" in result ? Err(result) : Ok(result);
  }

  async #unanswered(): OrderResult<never> {
    await this.#clock.sleep(ORDER_TIMEOUT_MS);
    return Err({ kind: "unknown", detail: "no answer" });
  }

  #unreachable(): boolean {
    return this.#server.faults.silent || !this.#server.up;
  }
}
