/** Stand-in for one worker, by PROTOCOL.md: runs tasks, keeps leases, fencing tokens and ends. */
import { JsonServer, type Answer, type Call } from "./http.ts";
import type { CaseRecord } from "./record.ts";
import type { ObservedRun, OrderFate, RunEnd, WorkerBounds } from "./runs.ts";
import { Gangs, type BehaviourOf, type TaskBehaviour } from "./tasks.ts";

const MAX_LISTED_ENDS = 500;
const TICK_MS = 100;
const MAX_WAIT_MS = 2000;
/** Time after which the connection of an unanswered order ends; longer than any caller waits. */
const UNANSWERED_MS = 12_000;

/** Options of {@link Worker}. */
export interface WorkerOptions {
  readonly id: string;
  readonly record: CaseRecord;
  readonly bounds: WorkerBounds;
  readonly behaviourOf: BehaviourOf;
  readonly gangs: Gangs;
  /** Every run that any worker started. */
  readonly runs: ObservedRun[];
}

interface Running {
  readonly observed: ObservedRun;
  readonly behaviour: TaskBehaviour;
  /** Work in ms that the checkpoint of the start keeps. */
  readonly savedMs: number;
}

interface Ended {
  readonly sequence: number;
  readonly observed: ObservedRun;
  readonly saved: string;
}

interface OrderBody {
  readonly task?: string;
  readonly run?: number;
  readonly spec?: string;
  readonly deadlineMs?: number;
  readonly fencingToken?: number;
  readonly checkpoint?: string;
  readonly lastSeen?: number;
  readonly waitMs?: number;
}

/** One worker across its lives at one address. */
export class Worker {
  readonly id: string;
  address = "";
  born = 0;
  up = false;
  /** True if a late order is carried out by a later life, false if it ends with the life that got it. */
  lateOrdersOutlive = false;
  /** Decides what becomes of each order. */
  fateOf: (path: string) => OrderFate = () => "answered";
  readonly #options: WorkerOptions;
  readonly #running = new Map<string, Running>();
  readonly #highestEnded = new Map<string, number>();
  readonly #waiting = new Set<() => void>();
  #server: JsonServer | undefined;
  #ended: Ended[] = [];
  #sequence = 0;
  #token = 0;
  #deadlineMs = 0;
  #bornAt = 0;
  #ticker: NodeJS.Timeout | undefined;

  constructor(options: WorkerOptions) {
    this.#options = options;
    this.id = options.id;
  }

  /** Starts a life of the worker, which knows nothing of earlier ones. */
  async boot(): Promise<void> {
    this.#highestEnded.clear();
    this.#ended = [];
    this.#sequence = 0;
    this.#token = 0;
    this.#deadlineMs = 0;
    this.#bornAt = performance.now();
    this.born = Date.now();
    this.#server = new JsonServer((call) => this.#handle(call));
    this.address = await this.#server.listen(Number(this.address.split(":")[1] ?? 0));
    this.#ticker = setInterval(() => {
      this.#tick();
    }, TICK_MS);
    this.up = true;
  }

  /** Ends the process of the worker and with it everything that runs. */
  crash(): void {
    clearInterval(this.#ticker);
    this.#server?.close();
    this.up = false;
    for (const { observed } of [...this.#running.values()]) this.#end(observed.task, "crashed");
  }

  /** Number of tasks that run. */
  get load(): number {
    return this.#running.size;
  }

  async #handle(call: Call): Promise<Answer | undefined> {
    const fate = this.fateOf(call.path);
    if (fate === "answered") return this.#carryOut(call);
    if (fate === "refused") return { status: 503 };
    const { born } = this;
    if (fate !== "lost")
      setTimeout(
        () => {
          if (this.up && (this.lateOrdersOutlive || this.born === born)) void this.#carryOut(call);
        },
        fate === "unanswered" ? 0 : fate,
      );
    await new Promise((resolve) => setTimeout(resolve, UNANSWERED_MS));
    return undefined;
  }

  #carryOut({ path, headers, body }: Call): Answer | Promise<Answer> {
    if (path === "/health") return { status: 200 };
    const expected = headers["x-expect-instance"];
    if (expected !== undefined && expected !== this.id) return { status: 421 };
    const order = (body ?? {}) as OrderBody;
    const { fencingToken = 0 } = order;
    if (fencingToken < this.#token) return this.#refusal("fence");
    this.#token = fencingToken;
    if (path === "/v1/run-start") return this.#start(order);
    if (path === "/v1/run-stop") return this.#stop(order);
    if (path === "/v1/hold") return this.#hold(order);
    return path === "/v1/pace" ? this.#reply() : { status: 404 };
  }

  #start({ task = "", run = 0, deadlineMs = 0, checkpoint = "" }: OrderBody): Answer {
    const { record, runs, behaviourOf, gangs } = this.#options;
    if (deadlineMs < this.#clockMs()) return this.#refusal("late");
    this.#extend(deadlineMs);
    const running = this.#running.get(task);
    if (running?.observed.run === run) return this.#reply();
    if (run <= (this.#highestEnded.get(task) ?? 0)) return this.#refusal("old");
    const behaviour = behaviourOf(task);
    const observed: ObservedRun = {
      ...{ task, run, worker: this.id, checkpoint, startedAt: performance.now() },
      ...{ endedAt: undefined, end: undefined, notedAt: undefined, lapsedUnnoted: false },
    };
    runs.push(observed);
    record.add(`${this.id} starts ${task} run ${run}${checkpoint && ` from ${checkpoint}`}`);
    this.#running.set(task, { observed, behaviour, savedMs: workOf(checkpoint) });
    const { gangSize } = behaviour;
    if (gangSize !== undefined) {
      const memberEnded = (how: RunEnd): void => {
        if (this.#running.get(task)?.observed === observed) this.#end(task, how);
      };
      gangs.join(run, { task, checkpoint, memberEnded }, gangSize);
    }
    return this.#reply();
  }

  #stop({ task = "", run = 0 }: OrderBody): Answer {
    this.#options.record.add(`${this.id} is told to stop ${task} run ${run}`);
    this.#highestEnded.set(task, Math.max(run, this.#highestEnded.get(task) ?? 0));
    const running = this.#running.get(task);
    if (running !== undefined && running.observed.run <= run)
      setTimeout(() => {
        if (this.#running.get(task) === running) this.#end(task, "stopped");
      }, this.#options.bounds.stopTimeoutMs / 2);
    return this.#reply();
  }

  async #hold({ deadlineMs = 0, lastSeen = 0, waitMs = 0 }: OrderBody): Promise<Answer> {
    this.#extend(deadlineMs);
    for (const { sequence, observed } of this.#ended)
      if (sequence <= lastSeen) observed.notedAt = performance.now();
    this.#ended = this.#ended.filter(({ sequence }) => sequence > lastSeen);
    if (this.#ended.length === 0 && waitMs > 0) await this.#waitForEnd(waitMs);
    const ended = this.#ended.slice(0, MAX_LISTED_ENDS);
    return this.#reply({
      running: [...this.#running.values()].map((each) => {
        const { task, run } = each.observed;
        return [task, run, this.#checkpointOf(each), this.#percentOf(each), 0];
      }),
      ended: ended.map(({ sequence, observed: { task, run, end }, saved }) => [
        ...[sequence, task, run, end, saved],
      ]),
    });
  }

  #waitForEnd(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        this.#waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, Math.min(waitMs, MAX_WAIT_MS));
      this.#waiting.add(wake);
    });
  }

  #tick(): void {
    const { gangTimeoutMs } = this.#options.bounds;
    const lapsed = this.#clockMs() > this.#deadlineMs;
    if (lapsed) for (const { observed } of this.#ended) observed.lapsedUnnoted = true;
    for (const each of [...this.#running.values()]) {
      const { observed, behaviour } = each;
      const { task, run, startedAt } = observed;
      if (this.#running.get(task) !== each) continue;
      const waits = behaviour.gangSize !== undefined && this.#begunAt(each) === undefined;
      if (lapsed) this.#end(task, "lapsed");
      else if (waits && performance.now() - startedAt > gangTimeoutMs) this.#end(task, "alone");
      else if (behaviour.workMs !== undefined && this.#workMs(each) >= behaviour.workMs)
        this.#end(task, behaviour.end?.(run, this.id) ?? "done");
    }
  }

  /** Time at which a run began to work; undefined while it waits for its gang. */
  #begunAt({ observed, behaviour }: Running): number | undefined {
    const { task, run, startedAt } = observed;
    return behaviour.gangSize === undefined
      ? startedAt
      : this.#options.gangs.completeSince(task, run);
  }

  #workMs(running: Running): number {
    const begunAt = this.#begunAt(running);
    if (begunAt === undefined) return running.savedMs;
    const restoreMs = running.savedMs > 0 ? this.#options.bounds.restoreMs : 0;
    return running.savedMs + Math.max(0, performance.now() - begunAt - restoreMs);
  }

  #percentOf(running: Running): number {
    const { workMs } = running.behaviour;
    return workMs === undefined
      ? Math.min(100, Math.floor(this.#workMs(running) / 5))
      : Math.min(99, Math.floor((100 * this.#workMs(running)) / workMs));
  }

  /** Newest checkpoint of a run, one with each `checkpointMs` of work, or now at a stop. */
  #checkpointOf(running: Running, stopped = false): string {
    if (running.behaviour.checkpointing !== true) return "";
    const { checkpointMs } = this.#options.bounds;
    const workMs = this.#workMs(running);
    if (stopped) return workMs > 0 ? checkpointText(workMs, running.observed.task) : "";
    const kept = Math.floor(workMs / checkpointMs) * checkpointMs;
    if (kept <= running.savedMs) return running.observed.checkpoint;
    return checkpointText(kept, running.observed.task);
  }

  #end(task: string, end: RunEnd): void {
    const running = this.#running.get(task);
    if (running === undefined) return;
    const { observed } = running;
    const saved = end === "done" ? "" : this.#checkpointOf(running, end === "stopped");
    this.#running.delete(task);
    observed.endedAt = performance.now();
    observed.end = end;
    this.#options.record.add(`${this.id} ends ${task} run ${observed.run}: ${end} ${saved}`);
    this.#highestEnded.set(task, Math.max(observed.run, this.#highestEnded.get(task) ?? 0));
    if (end !== "crashed") this.#ended.push({ sequence: ++this.#sequence, observed, saved });
    this.#options.gangs.leave(task, observed.run, end);
    for (const wake of [...this.#waiting]) wake();
  }

  #extend(deadlineMs: number): void {
    const latest = this.#clockMs() + this.#options.bounds.holdMaxMs;
    this.#deadlineMs = Math.max(this.#deadlineMs, Math.min(deadlineMs, latest));
  }

  #clockMs(): number {
    return Math.floor(performance.now() - this.#bornAt);
  }

  #reply(fields: object = {}): Answer {
    return { status: 200, body: { clockMs: this.#clockMs(), born: this.born, ...fields } };
  }

  #refusal(reason: string): Answer {
    return { status: 409, body: { clockMs: this.#clockMs(), born: this.born, reason } };
  }
}

/** Work in ms and the last digits of the job's id. */
function checkpointText(workMs: number, task: string): string {
  return Math.floor(workMs).toString(16).padStart(8, "0") + task.slice(8, 16);
}

function workOf(checkpoint: string): number {
  return checkpoint === "" ? 0 : parseInt(checkpoint.slice(0, 8), 16);
}
