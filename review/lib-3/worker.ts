/** Workers on loopback, as PROTOCOL describes them. */
import { JsonServer, type Call, type Reply } from "./http.ts";

/** How a run behaves. */
export interface Behaviour {
  /** Work of the task in ms; undefined if it lasts until it is stopped. */
  readonly workMs: number | undefined;
  /** True if the run ends `failed`. */
  readonly fails?: boolean;
  /** True if the task makes checkpoints. */
  readonly saves?: boolean;
}

/** How a run ended. */
export type End = "done" | "failed" | "stopped" | "lapsed";

/** What the workers tell the case. */
export interface WorkerEvents {
  readonly behaviour: (task: string, run: number) => Behaviour;
  readonly started: (worker: string, task: string, run: number, checkpoint: string) => void;
  readonly ended: (worker: string, task: string, run: number, end: End | "lost") => void;
  /** Called with each refused start. */
  readonly refused?: (worker: string, task: string, run: number, reason: string) => void;
}

/** Amounts of a worker, as in its registration. */
export interface Capacity {
  readonly cpu: number;
  readonly memMb: number;
}

interface Run {
  readonly task: string;
  readonly run: number;
  readonly startedAt: number;
  readonly behaviour: Behaviour;
  /** Work that was done before this run, in ms. */
  readonly savedMs: number;
}

type EndedRow = readonly [number, string, number, End, string];

const HOLD_MAX_MS = 10_000;
const TICK_MS = 20;
const CHECKPOINT_MS = 500;
const RESTORE_MS = 250;
const LISTED_ENDS = 500;

/** Checkpoint after the given work: its time, and the name of the task in short. */
function checkpoint(task: string, workMs: number): string {
  let hash = 7;
  for (const char of task) hash = (hash * 31 + char.charCodeAt(0)) % 0x1_0000_0000;
  const [time, name] = [Math.floor(workMs), hash].map((n) => n.toString(16).padStart(8, "0"));
  return `${time ?? ""}${name ?? ""}`;
}

/** One worker. */
export class Worker {
  readonly id: string;
  readonly server = new JsonServer((call) => this.#answer(call));
  /** Called right before a look that has waited is answered. */
  answersLook: () => void = () => undefined;
  readonly #events: WorkerEvents;
  readonly #running = new Map<string, Run>();
  readonly #barred = new Map<string, number>();
  #ended: EndedRow[] = [];
  #sequence = 0;
  #token = 0;
  #deadlineMs = 0;
  readonly born = Date.now();
  readonly #bootedAt = performance.now();
  readonly #clockStart = Math.floor(Math.random() * 500_000);
  #waiting: (() => void)[] = [];
  readonly #timer = setInterval(() => {
    this.#tick();
  }, TICK_MS);

  constructor(id: string, events: WorkerEvents) {
    this.id = id;
    this.#events = events;
  }

  /** Crashes: connections break, and everything that runs is lost. */
  crash(): void {
    this.server.close();
    const runs = [...this.#running.values()];
    this.#running.clear();
    for (const run of runs) this.#events.ended(this.id, run.task, run.run, "lost");
  }

  close(): void {
    clearInterval(this.#timer);
    this.server.close();
  }

  get #clockMs(): number {
    return this.#clockStart + Math.floor(performance.now() - this.#bootedAt);
  }

  async #answer({ path, headers, body }: Call): Promise<Reply> {
    if (headers["x-expect-instance"] !== this.id) return { status: 421 };
    this.#tick();
    const token = Number(body.fencingToken ?? 0);
    if (token < this.#token) return this.#refuse("fence");
    this.#token = token;
    if (path === "/v1/hold") return this.#hold(body);
    const task = String(body.task);
    const run = Number(body.run);
    if (path === "/v1/run-start") return this.#start(task, run, body);
    if (path === "/v1/run-stop") {
      this.#barred.set(task, Math.max(run, this.#barred.get(task) ?? 0));
      const found = this.#running.get(task);
      if (found !== undefined && found.run <= run) this.#end(found, "stopped");
    }
    return { status: 200, body: { clockMs: this.#clockMs } };
  }

  #refuse(reason: string): Reply {
    return { status: 409, body: { clockMs: this.#clockMs, reason } };
  }

  #extend(deadlineMs: number): void {
    const latest = Math.min(deadlineMs, this.#clockMs + HOLD_MAX_MS);
    this.#deadlineMs = Math.max(this.#deadlineMs, latest);
  }

  #start(task: string, run: number, body: Call["body"]): Reply {
    const deadlineMs = Number(body.deadlineMs ?? 0);
    const late = deadlineMs < this.#clockMs;
    if (!late) this.#extend(deadlineMs);
    if (late || run <= (this.#barred.get(task) ?? 0)) {
      const reason = late ? "late" : "old";
      this.#events.refused?.(this.id, task, run, reason);
      return this.#refuse(reason);
    }
    const clock = { status: 200, body: { clockMs: this.#clockMs } };
    if (this.#running.get(task)?.run === run) return clock;
    const given = typeof body.checkpoint === "string" ? body.checkpoint : "";
    const savedMs = given === "" ? 0 : parseInt(given.slice(0, 8), 16);
    const behaviour = this.#events.behaviour(task, run);
    const startedAt = performance.now() + (given === "" ? 0 : RESTORE_MS);
    this.#running.set(task, { task, run, startedAt, behaviour, savedMs });
    this.#events.started(this.id, task, run, given);
    return clock;
  }

  async #hold(body: Call["body"]): Promise<Reply> {
    this.#extend(Number(body.deadlineMs ?? 0));
    const lastSeen = Number(body.lastSeen ?? 0);
    this.#ended = this.#ended.filter(([number]) => number > lastSeen);
    const waitMs = Number(body.waitMs ?? 0);
    if (waitMs > 0 && this.#ended.length === 0) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, waitMs);
        this.#waiting.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
      this.answersLook();
    }
    const running = [...this.#running.values()].map((each) => [
      ...[each.task, each.run, this.#saved(each, false), this.#percent(each), 0],
    ]);
    const ended = this.#ended.slice(0, LISTED_ENDS);
    return { status: 200, body: { clockMs: this.#clockMs, born: this.born, running, ended } };
  }

  /** Work done in ms, with that of earlier runs. */
  #workMs({ startedAt, savedMs }: Run): number {
    return savedMs + Math.max(0, performance.now() - startedAt);
  }

  /** Value of the last checkpoint, or of one made now. */
  #saved(run: Run, now: boolean): string {
    if (run.behaviour.saves !== true) return "";
    const workMs = this.#workMs(run);
    const savedMs = now ? workMs : Math.max(run.savedMs, workMs - (workMs % CHECKPOINT_MS));
    return savedMs <= 0 ? "" : checkpoint(run.task, savedMs);
  }

  #percent(run: Run): number {
    const { workMs } = run.behaviour;
    return Math.min(100, Math.floor((100 * this.#workMs(run)) / (workMs ?? CHECKPOINT_MS)));
  }

  #tick(): void {
    const lapsed = this.#clockMs > this.#deadlineMs;
    for (const run of [...this.#running.values()]) {
      const { workMs, fails = false } = run.behaviour;
      if (workMs !== undefined && this.#workMs(run) >= workMs)
        this.#end(run, fails ? "failed" : "done");
      else if (lapsed) this.#end(run, "lapsed");
    }
  }

  #end(run: Run, end: End): void {
    const { task, run: number } = run;
    if (this.#running.get(task) !== run) return;
    const saved = this.#saved(run, end === "stopped");
    this.#running.delete(task);
    this.#barred.set(task, Math.max(number, this.#barred.get(task) ?? 0));
    this.#ended.push([++this.#sequence, task, number, end, saved]);
    this.#events.ended(this.id, task, number, end);
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const wake of waiting) wake();
  }
}
