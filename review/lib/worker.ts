/** A worker as the users' PROTOCOL page describes it, with its runs recorded. */
import type { FakeHttpResponse, RecordedCall } from "../../test/fakes/jobs/fake-http-server.ts";

/** One run that a worker started. Times are monotonic milliseconds of the stand-ins' process. */
export interface WorkerRun {
  readonly worker: string;
  readonly born: number;
  readonly task: string;
  readonly run: number;
  readonly startedAt: number;
  endedAt: number | undefined;
  /** How it ended; undefined while it runs, and if its worker crashed. */
  how: string | undefined;
  /** Time at which the end was taken note of; undefined before. */
  notedAt: number | undefined;
}

/** Options of {@link Worker}. */
export interface WorkerOptions {
  readonly id: string;
  readonly holdMaxMs: number;
  readonly stopTimeoutMs: number;
  /** Duration of a run of the named task in ms; undefined for a task that lasts. */
  readonly durationMs: (task: string) => number | undefined;
  /** Whether a run of the named task ends `failed`. @default none does */
  readonly fails?: ((task: string, run: number) => boolean) | undefined;
  /** Work after which a task has a new checkpoint, in ms; undefined for tasks without. */
  readonly checkpointMs?: number | undefined;
  readonly onChange: (run: WorkerRun, what: "start" | "end") => void;
}

interface OrderBody {
  readonly task?: string;
  readonly run?: number;
  readonly deadlineMs?: number;
  readonly fencingToken?: number;
  readonly lastSeen?: number;
  readonly waitMs?: number;
}

type EndRow = readonly [number, string, number, string, string];

/** One worker across its lives. It keeps its id, and nothing else, over a crash. */
export class Worker {
  readonly id: string;
  readonly history: WorkerRun[] = [];
  born = 0;
  up = false;
  readonly #options: WorkerOptions;
  #bornAt = 0;
  #running = new Map<string, { readonly record: WorkerRun; stopping: boolean }>();
  #barred = new Map<string, number>();
  #ended: EndRow[] = [];
  #sequence = 0;
  #token = 0;
  #deadlineMs = 0;
  #waiters = new Set<() => void>();

  constructor(options: WorkerOptions) {
    this.#options = options;
    this.id = options.id;
  }

  /** Starts a new life. */
  boot(): void {
    this.born = Date.now();
    this.#bornAt = performance.now();
    this.#running = new Map();
    this.#barred = new Map();
    this.#ended = [];
    this.#sequence = 0;
    this.#token = 0;
    this.#deadlineMs = 0;
    this.up = true;
  }

  /** Ends everything without a trace on the worker. */
  crash(): void {
    this.up = false;
    for (const { record } of this.#running.values()) this.#finish(record, undefined);
    this.#running = new Map();
  }

  /** Ends the runs that are due; all of them if the lease has expired. */
  update(): void {
    if (!this.up) return;
    const lapsed = this.#clockMs() > this.#deadlineMs;
    for (const [task, { record }] of [...this.#running]) {
      const durationMs = this.#options.durationMs(task);
      if (durationMs !== undefined && performance.now() - record.startedAt >= durationMs)
        this.#end(task, this.#options.fails?.(task, record.run) === true ? "failed" : "done");
      else if (lapsed) this.#end(task, "lapsed");
    }
  }

  /** Handles an order; a status of undefined closes the connection. */
  async handle({ path, headers, body }: RecordedCall): Promise<FakeHttpResponse> {
    if (!this.up) return { status: undefined };
    if (headers["x-expect-instance"] !== this.id) return { status: 421 };
    const order = body as OrderBody;
    const life = this.born;
    const result = await this.#execute(path, order);
    return this.#lives(life) ? result : { status: undefined };
  }

  #lives(life: number): boolean {
    return this.up && this.born === life;
  }

  async #execute(path: string, order: OrderBody): Promise<FakeHttpResponse> {
    this.update();
    const token = order.fencingToken ?? 0;
    if (token < this.#token) return this.#refuse("fence");
    this.#token = token;
    if (path === "/v1/run-start") return this.#start(order);
    if (path === "/v1/run-stop") return this.#stop(order);
    if (path === "/v1/hold") return this.#hold(order);
    return { status: path === "/v1/pace" ? 200 : 404, body: { clockMs: this.#clockMs() } };
  }

  #start({ task = "", run = 0, deadlineMs = 0 }: OrderBody): FakeHttpResponse {
    if (deadlineMs < this.#clockMs()) return this.#refuse("late");
    this.#extend(deadlineMs);
    const running = this.#running.get(task)?.record;
    if (running?.run === run) return this.#ok();
    if (run <= (this.#barred.get(task) ?? 0) || running !== undefined) return this.#refuse("old");
    const record: WorkerRun = {
      ...{ worker: this.id, born: this.born, task, run, startedAt: performance.now() },
      ...{ endedAt: undefined, how: undefined, notedAt: undefined },
    };
    this.history.push(record);
    this.#running.set(task, { record, stopping: false });
    this.#options.onChange(record, "start");
    return this.#ok();
  }

  #stop({ task = "", run = 0 }: OrderBody): FakeHttpResponse {
    this.#barred.set(task, Math.max(run, this.#barred.get(task) ?? 0));
    const running = this.#running.get(task);
    if (running !== undefined && running.record.run <= run && !running.stopping) {
      running.stopping = true;
      setTimeout(() => {
        if (this.#running.get(task) === running) this.#end(task, "stopped");
      }, this.#options.stopTimeoutMs / 2);
    }
    return this.#ok();
  }

  async #hold({ lastSeen = 0, deadlineMs = 0, waitMs = 0 }: OrderBody): Promise<FakeHttpResponse> {
    this.#extend(deadlineMs);
    for (const [sequence, task, run] of this.#ended) {
      const noted = this.history.findLast((each) => each.task === task && each.run === run);
      if (sequence <= lastSeen && noted !== undefined) noted.notedAt = performance.now();
    }
    this.#ended = this.#ended.filter(([sequence]) => sequence > lastSeen);
    if (this.#ended.length === 0 && waitMs > 0) await this.#nextEnd(waitMs);
    const running = [...this.#running.values()].map(({ record: { task, run, startedAt } }) => {
      const duration = this.#options.durationMs(task) ?? 500;
      const percent = Math.floor((100 * (performance.now() - startedAt)) / duration);
      return [task, run, this.#checkpoint(task, startedAt), Math.min(100, percent), 0];
    });
    const ended = this.#ended.slice(0, 500);
    return { status: 200, body: { clockMs: this.#clockMs(), born: this.born, running, ended } };
  }

  #nextEnd(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const done = (): void => {
        clearTimeout(timer);
        this.#waiters.delete(done);
        resolve();
      };
      const timer = setTimeout(done, Math.min(2000, waitMs));
      this.#waiters.add(done);
    });
  }

  /** A longer lease is shortened to the maximum. */
  #extend(deadlineMs: number): void {
    const limit = this.#clockMs() + this.#options.holdMaxMs;
    this.#deadlineMs = Math.max(this.#deadlineMs, Math.min(deadlineMs, limit));
  }

  #end(task: string, how: string): void {
    const running = this.#running.get(task);
    if (running === undefined) return;
    this.#running.delete(task);
    const { run } = running.record;
    this.#barred.set(task, Math.max(run, this.#barred.get(task) ?? 0));
    const saved = this.#checkpoint(task, running.record.startedAt);
    this.#ended.push([++this.#sequence, task, run, how, saved]);
    this.#finish(running.record, how);
    for (const wake of [...this.#waiters]) wake();
  }

  #finish(record: WorkerRun, how: string | undefined): void {
    record.endedAt = performance.now();
    record.how = how;
    this.#options.onChange(record, "end");
  }

  /** Newest checkpoint of a task; empty if there is none. */
  #checkpoint(task: string, startedAt: number): string {
    const { checkpointMs } = this.#options;
    if (checkpointMs === undefined) return "";
    const steps = Math.floor((performance.now() - startedAt) / checkpointMs);
    if (steps === 0) return "";
    return `${steps.toString(16).padStart(4, "0")}${hash(task).toString(16).padStart(12, "0")}`;
  }

  #clockMs(): number {
    return Math.floor(performance.now() - this.#bornAt);
  }

  #ok(): FakeHttpResponse {
    return { status: 200, body: { clockMs: this.#clockMs() } };
  }

  #refuse(reason: string): FakeHttpResponse {
    return { status: 409, body: { clockMs: this.#clockMs(), reason } };
  }
}

function hash(text: string): number {
  let value = 0;
  for (const char of text) value = (value * 31 + char.charCodeAt(0)) % 2 ** 47;
  return value;
}
