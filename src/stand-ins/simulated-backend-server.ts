import { Err, Ok } from "ts-results";
import {
  BackendServer,
  type BackendError,
  type BackendEvents,
  type BackendResult,
  type LeaseGrant,
  type LeaseRenewal,
  type TaskRecord,
  type TaskRef,
  type TaskResult,
  type TaskSpec,
} from "../ports/backend-server.ts";
import type { Clock, Timer } from "../ports/clock.ts";

/** Time in milliseconds for which a released server is reserved for its named successor. */
const SUCCESSOR_HOLD_MS = 2000;

/** Determines how tasks run. Tests replace it to simulate failures or long runs. */
export abstract class TaskRunner {
  /** Run time in milliseconds and result of a task. */
  abstract run(spec: TaskSpec): { readonly runMs: number; readonly result: TaskResult };
}

/** Returns the payload of each request as its result after a fixed run time. */
export class EchoRunner extends TaskRunner {
  readonly #runMs: number;

  constructor({ runMs = 20 }: { readonly runMs?: number } = {}) {
    super();
    this.#runMs = runMs;
  }

  run(spec: TaskSpec): { readonly runMs: number; readonly result: TaskResult } {
    return { runMs: this.#runMs, result: { kind: "answer", payload: spec.payload } };
  }
}

/** Options of {@link SimulatedBackendServer}. */
export interface SimulatedBackendServerOptions {
  readonly clock: Clock;
  readonly name: string;
  /** @default 8 */
  readonly slots?: number;
  /** @default EchoRunner */
  readonly runner?: TaskRunner;
  /** Time in milliseconds for which an unacknowledged result is kept. @default 600000 */
  readonly resultRetentionMs?: number;
  /** Called when a task starts and when it ends, so that tests can record both. */
  readonly observe?: (event: "start" | "end", spec: TaskSpec) => void;
}

interface Task {
  readonly spec: TaskSpec;
  result: TaskResult | undefined;
  /** Position of the event that reported the end; 0 while the task runs. */
  position: number;
  /** Finishes the task while it runs, then removes its result after the retention time. */
  timer: Timer | undefined;
  finish: (result: TaskResult) => void;
}

interface HeldLease {
  readonly id: string;
  readonly holder: string;
  expiresAt: number;
}

/** In-memory backend server with leases, tasks and events as in section 10.2 of the design. */
export class SimulatedBackendServer extends BackendServer {
  readonly #options: Required<Omit<SimulatedBackendServerOptions, "observe">> &
    Pick<SimulatedBackendServerOptions, "observe">;
  readonly #tasks = new Map<string, Task>();
  readonly #startedKeys = new Set<string>();
  readonly #pollListeners = new Set<() => void>();
  #lease: HeldLease | undefined;
  #successor: { readonly holder: string; readonly until: number } | undefined;
  #leaseCount = 0;
  #eventPosition = 0;
  #boot = 1;
  #leaving = false;

  constructor({
    slots = 8,
    runner = new EchoRunner(),
    resultRetentionMs = 600_000,
    ...rest
  }: SimulatedBackendServerOptions) {
    super();
    this.#options = { slots, runner, resultRetentionMs, ...rest };
  }

  /** Specs of the tasks that are running. */
  get running(): readonly TaskSpec[] {
    return [...this.#tasks.values()]
      .filter((task) => task.result === undefined)
      .map((task) => task.spec);
  }

  /** Whether a task of the request is running, or has finished and its result is still kept. */
  hasTask(requestId: string): boolean {
    return [...this.#tasks.values()].some((task) => task.spec.requestId === requestId);
  }

  /** Announces that the server is leaving and refuses new tasks from now on. */
  leave(): void {
    this.#leaving = true;
    this.#eventPosition++;
    this.#notifyPolls();
  }

  /** Drops all tasks and the lease, as a reboot or a crash does. */
  restart(): void {
    for (const spec of this.running) this.#options.observe?.("end", spec);
    for (const task of this.#tasks.values()) task.timer?.cancel();
    this.#tasks.clear();
    this.#startedKeys.clear();
    this.#lease = undefined;
    this.#successor = undefined;
    this.#leaving = false;
    this.#boot++;
    this.#notifyPolls();
  }

  acquireLease(holder: string, ttlMs: number): BackendResult<LeaseGrant> {
    const now = this.#options.clock.now();
    const current = this.#validLease();
    if (current !== undefined && current.holder !== holder)
      return fail({ kind: "held", holder: current.holder });
    if (
      this.#successor !== undefined &&
      this.#successor.until > now &&
      this.#successor.holder !== holder
    ) {
      return fail({ kind: "held", holder: this.#successor.holder });
    }
    this.#successor = undefined;
    this.#lease = {
      id: `${this.#options.name}-${this.#boot}-${++this.#leaseCount}`,
      holder,
      expiresAt: now + ttlMs,
    };
    this.#notifyPolls();
    return Promise.resolve(
      Ok({ leaseId: this.#lease.id, bootId: `${this.#options.name}-${this.#boot}` }),
    );
  }

  renewLease(leaseId: string, ttlMs: number): BackendResult<LeaseRenewal> {
    const lease = this.#validLease();
    if (lease?.id !== leaseId) return fail({ kind: "lease-lapsed" });
    lease.expiresAt = this.#options.clock.now() + ttlMs;
    return Promise.resolve(Ok({ next: this.#eventPosition }));
  }

  releaseLease(leaseId: string, successor?: string): BackendResult<void> {
    if (this.#validLease()?.id !== leaseId) return fail({ kind: "lease-lapsed" });
    this.#lease = undefined;
    if (successor !== undefined) {
      this.#successor = { holder: successor, until: this.#options.clock.now() + SUCCESSOR_HOLD_MS };
    }
    this.#notifyPolls();
    return Promise.resolve(Ok(undefined));
  }

  startTask(leaseId: string, spec: TaskSpec): BackendResult<void> {
    if (this.#validLease()?.id !== leaseId) return fail({ kind: "lease-lapsed" });
    const key = taskKey(spec);
    if (this.#startedKeys.has(key)) return fail({ kind: "duplicate" });
    if (this.#leaving) return fail({ kind: "leaving" });
    if (this.running.length >= this.#options.slots) return fail({ kind: "full" });
    this.#startedKeys.add(key);
    this.#runTask(key, spec);
    return Promise.resolve(Ok(undefined));
  }

  listTasks(leaseId: string): BackendResult<readonly TaskRecord[]> {
    if (this.#validLease()?.id !== leaseId) return fail({ kind: "lease-lapsed" });
    return Promise.resolve(Ok([...this.#tasks.values()].map(toRecord)));
  }

  async pollEvents(
    leaseId: string,
    after: number,
    waitMs: number,
  ): Promise<Awaited<BackendResult<BackendEvents>>> {
    const deadline = this.#options.clock.now() + waitMs;
    while (this.#validLease()?.id === leaseId && this.#eventPosition <= after) {
      const remainingMs = deadline - this.#options.clock.now();
      if (remainingMs <= 0) break;
      await this.#waitForChange(remainingMs);
    }
    if (this.#validLease()?.id !== leaseId) return Err({ kind: "lease-lapsed" });
    const finished = [...this.#tasks.values()].filter(
      (task) => task.result !== undefined && task.position > after,
    );
    return Ok({
      next: this.#eventPosition,
      finished: finished.map(toRecord),
      leaving: this.#leaving,
    });
  }

  stopTask(leaseId: string, ref: TaskRef): BackendResult<void> {
    return this.#stop(leaseId, ref, false);
  }

  checkpointTask(leaseId: string, ref: TaskRef): BackendResult<void> {
    return this.#stop(leaseId, ref, true);
  }

  acknowledgeTask(leaseId: string, ref: TaskRef): BackendResult<void> {
    if (this.#validLease()?.id !== leaseId) return fail({ kind: "lease-lapsed" });
    const task = this.#tasks.get(taskKey(ref));
    if (task?.result !== undefined) {
      task.timer?.cancel();
      this.#tasks.delete(taskKey(ref));
    }
    return Promise.resolve(Ok(undefined));
  }

  reboot(leaseId: string): BackendResult<void> {
    if (this.#validLease()?.id !== leaseId) return fail({ kind: "lease-lapsed" });
    if (this.running.length > 0) return fail({ kind: "full" });
    this.restart();
    return Promise.resolve(Ok(undefined));
  }

  #runTask(key: string, spec: TaskSpec): void {
    const { clock, runner, observe, resultRetentionMs } = this.#options;
    const { runMs, result } = runner.run(spec);
    const task: Task = {
      spec,
      result: undefined,
      position: 0,
      timer: undefined,
      finish: (ended) => {
        if (task.result !== undefined || this.#tasks.get(key) !== task) return;
        task.timer?.cancel();
        task.result = ended;
        task.position = ++this.#eventPosition;
        observe?.("end", spec);
        this.#notifyPolls();
        task.timer = clock.schedule(resultRetentionMs, () => {
          if (this.#tasks.get(key) === task) this.#tasks.delete(key);
        });
      },
    };
    this.#tasks.set(key, task);
    observe?.("start", spec);
    task.timer = clock.schedule(runMs, () => {
      task.finish(result);
    });
  }

  #stop(leaseId: string, ref: TaskRef, checkpointed: boolean): BackendResult<void> {
    if (this.#validLease()?.id !== leaseId) return fail({ kind: "lease-lapsed" });
    this.#tasks.get(taskKey(ref))?.finish({ kind: "stopped", checkpointed });
    return Promise.resolve(Ok(undefined));
  }

  #validLease(): HeldLease | undefined {
    if (this.#lease !== undefined && this.#lease.expiresAt <= this.#options.clock.now())
      this.#lease = undefined;
    return this.#lease;
  }

  #notifyPolls(): void {
    for (const onChange of this.#pollListeners) onChange();
  }

  async #waitForChange(ms: number): Promise<void> {
    const abort = new AbortController();
    const onChange = (): void => {
      abort.abort();
    };
    this.#pollListeners.add(onChange);
    await this.#options.clock.sleep(ms, abort.signal);
    this.#pollListeners.delete(onChange);
  }
}

function taskKey(ref: TaskRef): string {
  return `${ref.requestId}#${ref.attempt}`;
}

function toRecord(task: Task): TaskRecord {
  const { payload: _payload, ...record } = task.spec;
  if (task.result === undefined) return { ...record, state: "running" };
  return { ...record, state: "finished", result: task.result };
}

function fail(err: BackendError): Promise<Err<BackendError>> {
  return Promise.resolve(Err(err));
}
