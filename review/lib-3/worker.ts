/** Workers on loopback, as PROTOCOL describes them. */
import { JsonServer, type Call, type Reply } from "./http.ts";
import { GangBoard, type GangMember } from "./gangs.ts";

/** How a run behaves. */
export interface Behaviour {
  /** Work of the task in ms; undefined if it lasts until it is stopped. */
  readonly workMs: number | undefined;
  /** True if the run ends `failed`. */
  readonly fails?: boolean;
  /** True if the task makes checkpoints. */
  readonly saves?: boolean;
  /** Appended to the checkpoints, such as the name of what they are stored under. */
  readonly suffix?: string;
  /** Members of the gang; undefined if the task is in none. */
  readonly gang?: number;
}

/** How a run ended. */
export type End = "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone";

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
  readonly member: GangMember | undefined;
}

type EndedRow = readonly [number, string, number, End, string];

const HOLD_MAX_MS = 10_000;
const TICK_MS = 20;
const CHECKPOINT_MS = 500;
const RESTORE_MS = 250;
const LISTED_ENDS = 500;

/** Checkpoint after the given work: its time, and the name of the task or gang in short. */
function checkpoint(group: string, workMs: number): string {
  let hash = 7;
  for (const char of group) hash = (hash * 31 + char.charCodeAt(0)) % 0x1_0000_0000;
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
  readonly #gangs: GangBoard;
  readonly #running = new Map<string, Run>();
  readonly #barred = new Map<string, number>();
  #ended: EndedRow[] = [];
  #sequence = 0;
  #token = 0;
  #deadlineMs = 0;
  born = Date.now();
  #bootedAt = performance.now();
  #clockStart = Math.floor(Math.random() * 500_000);
  #waiting: (() => void)[] = [];
  readonly #timer = setInterval(() => {
    this.#tick();
  }, TICK_MS);

  constructor(id: string, events: WorkerEvents, gangs: GangBoard) {
    this.id = id;
    this.#events = events;
    this.#gangs = gangs;
  }

  get runs(): number {
    return this.#running.size;
  }

  /** Crashes: connections break, and everything that runs is lost. */
  crash(): void {
    this.server.close();
    const runs = [...this.#running.values()];
    this.#running.clear();
    for (const run of runs) {
      this.#events.ended(this.id, run.task, run.run, "lost");
      run.member?.leave();
    }
  }

  /** Starts again under its id and address, and knows nothing of before. */
  async boot(): Promise<void> {
    this.#barred.clear();
    this.#ended = [];
    this.#sequence = 0;
    this.#token = 0;
    this.#deadlineMs = 0;
    this.born = Date.now();
    this.#bootedAt = performance.now();
    this.#clockStart = Math.floor(Math.random() * 500_000);
    await this.server.listen();
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
    const member =
      behaviour.gang === undefined
        ? undefined
        : this.#gangs.join({ task, run, checkpoint: given, size: behaviour.gang });
    this.#running.set(task, { task, run, startedAt, behaviour, savedMs, member });
    this.#events.started(this.id, task, run, given);
    return clock;
  }

  async #hold(body: Call["body"]): Promise<Reply> {
    this.#extend(Number(body.deadlineMs ?? 0));
    const lastSeen = Number(body.lastSeen ?? 0);
    this.#ended = this.#ended.filter(([number]) => number > lastSeen);
    const waitMs = Number(body.waitMs ?? 0);
    if (waitMs > 0 && this.#ended.length === 0) {
      const { born } = this;
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, waitMs);
        this.#waiting.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
      if (this.born !== born) return { status: 421 };
      this.answersLook();
    }
    const running = [...this.#running.values()].map((each) => [
      ...[each.task, each.run, this.#saved(each, false), this.#percent(each), 0],
    ]);
    const ended = this.#ended.slice(0, LISTED_ENDS);
    return { status: 200, body: { clockMs: this.#clockMs, born: this.born, running, ended } };
  }

  /** Work done in ms, with that of earlier runs. */
  #workMs({ startedAt, savedMs, member }: Run): number {
    const since =
      member === undefined ? startedAt : Math.max(startedAt, member.beganAt ?? Infinity);
    return savedMs + Math.max(0, performance.now() - since);
  }

  /** Value of the last checkpoint, or of one made now. */
  #saved(run: Run, now: boolean): string {
    if (run.behaviour.saves !== true) return "";
    const workMs = this.#workMs(run);
    const savedMs = now ? workMs : Math.max(run.savedMs, workMs - (workMs % CHECKPOINT_MS));
    const group = run.member?.gang ?? run.task;
    return savedMs <= 0 ? "" : `${checkpoint(group, savedMs)}${run.behaviour.suffix ?? ""}`;
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
      else if (run.member?.broken === true) this.#end(run, "broken");
      else if (run.member?.alone === true) this.#end(run, "alone");
      else if (lapsed) this.#end(run, "lapsed");
    }
  }

  #end(run: Run, end: End): void {
    const { task, run: number, member } = run;
    if (this.#running.get(task) !== run) return;
    const saved = this.#saved(run, end === "stopped");
    this.#running.delete(task);
    this.#barred.set(task, Math.max(number, this.#barred.get(task) ?? 0));
    this.#ended.push([++this.#sequence, task, number, end, saved]);
    this.#events.ended(this.id, task, number, end);
    if (end !== "done") member?.leave();
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const wake of waiting) wake();
  }
}
