/** Tasks on one backend server as known to its lease holder. */
import type { TaskRecord, TaskRef, TaskSpec } from "../ports/backend-server.ts";
import type { Clock } from "../ports/clock.ts";
import { taskKey } from "./task-charges.ts";
import type { TeamCharge } from "./ledger.ts";

type TaskState = "starting" | "uncertain" | "running" | "finished";
type FinalStatus = "finished" | "never-started" | "lost";

interface TrackedTask {
  readonly ref: TaskRef;
  readonly team: string | undefined;
  readonly chargedTo: string;
  /** Boot id of the server when the task was started or listed. */
  readonly bootId: string;
  readonly startedAt: number;
  state: TaskState;
  record: TaskRecord | undefined;
  /** Monotonic time in milliseconds of the last notification about the finished task. */
  notifiedAt: number;
}

interface PastTask {
  readonly status: FinalStatus;
  readonly at: number;
}

/** Options of {@link ServerTasks}. */
export interface ServerTasksOptions {
  readonly clock: Clock;
  /** Time in milliseconds for which the server keeps finished tasks that are not acknowledged. */
  readonly resultRetentionMs: number;
}

/**
 * Task table of one server. Kept when the lease is lost, to resolve the outcome of earlier starts.
 */
export class ServerTasks {
  readonly #clock: Clock;
  readonly #retentionMs: number;
  readonly #tracked = new Map<string, TrackedTask>();
  readonly #past = new Map<string, PastTask>();
  #bootId = "";

  constructor({ clock, resultRetentionMs }: ServerTasksOptions) {
    this.#clock = clock;
    this.#retentionMs = resultRetentionMs;
  }

  get bootId(): string {
    return this.#bootId;
  }

  /** Number of slots in use, including those of starts with unknown outcome. */
  get occupied(): number {
    return this.#count((task) => task.state !== "finished");
  }

  /** Number of starts in progress. */
  get starting(): number {
    return this.#count((task) => task.state === "starting");
  }

  /** Number of starts without a complete reply, whose outcome is unknown. */
  get uncertain(): number {
    return this.#count((task) => task.state === "uncertain");
  }

  /** Number of tracked tasks, including finished ones that the server still lists. */
  get size(): number {
    return this.#tracked.size;
  }

  /** Adds a task whose start is about to be sent to the server. */
  beginStart(spec: TaskSpec): void {
    this.#tracked.set(taskKey(spec), {
      ref: { requestId: spec.requestId, attempt: spec.attempt },
      team: spec.team,
      chargedTo: spec.chargedTo,
      bootId: this.#bootId,
      startedAt: this.#clock.now(),
      state: "starting",
      record: undefined,
      notifiedAt: 0,
    });
  }

  /** Records the outcome of a start, unless an event or a task list already updated the state. */
  settleStart(ref: TaskRef, outcome: "running" | "uncertain" | "not-started"): void {
    const task = this.#tracked.get(taskKey(ref));
    if (task?.state !== "starting") return;
    if (outcome === "not-started") this.#forget(task, "never-started");
    else task.state = outcome;
  }

  /**
   * Reconciles the table with the task list read under a new lease. The server now refuses starts
   * sent under earlier leases, so a start without confirmation that is missing from the list never
   * happened, provided that the server was not rebooted and has not dropped the result. Returns the
   * tasks missing from the list, which no longer run.
   */
  reconcile(records: readonly TaskRecord[], bootId: string): readonly TaskRef[] {
    this.#bootId = bootId;
    const listed = new Set(records.map(taskKey));
    const missing = [...this.#tracked.values()].filter((task) => !listed.has(taskKey(task.ref)));
    for (const task of missing) this.#forget(task, this.#statusOfMissing(task, bootId));
    for (const record of records) this.#store(record, bootId);
    return missing.map((task) => task.ref);
  }

  /** Records finished tasks. Returns those that were not known as finished before. */
  recordFinished(records: readonly TaskRecord[]): readonly TaskRecord[] {
    const newlyFinished = records.filter((record) => {
      const task = this.#tracked.get(taskKey(record));
      if (task !== undefined) return task.state !== "finished";
      return this.#past.get(taskKey(record))?.status !== "finished";
    });
    for (const record of newlyFinished) this.#store(record, this.#bootId);
    return newlyFinished;
  }

  /** Finished tasks last notified at least `intervalMs` ago. Marks them as notified now. */
  takeUnacknowledged(intervalMs: number): readonly TaskRecord[] {
    const now = this.#clock.now();
    const due = [...this.#tracked.values()].filter(
      (task) => task.state === "finished" && now - task.notifiedAt >= intervalMs,
    );
    for (const task of due) task.notifiedAt = now;
    return due.flatMap(({ record }) => record ?? []);
  }

  /** Forgets a finished task that the server has dropped after its acknowledgement. */
  forgetAcknowledged(ref: TaskRef): void {
    const task = this.#tracked.get(taskKey(ref));
    if (task?.state === "finished") this.#forget(task, "finished");
  }

  /** Drops finished tasks that the server no longer lists. */
  dropUnlistedFinished(records: readonly TaskRecord[]): void {
    const listed = new Set(records.map(taskKey));
    for (const task of this.#tracked.values()) {
      if (task.state === "finished" && !listed.has(taskKey(task.ref))) {
        this.#forget(task, "finished");
      }
    }
  }

  /** Status of a task. Undefined if the task is unknown or its status has expired. */
  status(ref: TaskRef): "running" | FinalStatus | undefined {
    const task = this.#tracked.get(taskKey(ref));
    if (task === undefined) return this.#past.get(taskKey(ref))?.status;
    return task.state === "finished" ? "finished" : "running";
  }

  /** Number of tasks per team that are charged to an incarnation and may be running. */
  chargedTo(incarnation: string): readonly TeamCharge[] {
    const counts = new Map<string, number>();
    for (const task of this.#tracked.values()) {
      if (task.chargedTo !== incarnation || task.state === "finished") continue;
      if (task.team !== undefined) counts.set(task.team, (counts.get(task.team) ?? 0) + 1);
    }
    return [...counts].map(([team, tasks]) => ({ team, tasks }));
  }

  #store(record: TaskRecord, bootId: string): void {
    const key = taskKey(record);
    const old = this.#tracked.get(key);
    this.#tracked.set(key, {
      ref: { requestId: record.requestId, attempt: record.attempt },
      team: record.team,
      chargedTo: record.chargedTo,
      bootId,
      startedAt: old?.startedAt ?? this.#clock.now(),
      state: record.state,
      record,
      notifiedAt: this.#clock.now(),
    });
  }

  #statusOfMissing(task: TrackedTask, bootId: string): FinalStatus {
    if (task.state === "finished") return "finished";
    const unconfirmed = task.state === "starting" || task.state === "uncertain";
    const kept = this.#clock.now() - task.startedAt < this.#retentionMs / 2;
    return unconfirmed && kept && task.bootId === bootId ? "never-started" : "lost";
  }

  #forget(task: TrackedTask, status: FinalStatus): void {
    const now = this.#clock.now();
    this.#tracked.delete(taskKey(task.ref));
    this.#past.set(taskKey(task.ref), { status, at: now });
    // Past tasks are in order of insertion, so the oldest come first.
    for (const [key, past] of this.#past) {
      if (now - past.at < this.#retentionMs) break;
      this.#past.delete(key);
    }
  }

  #count(matches: (task: TrackedTask) => boolean): number {
    let count = 0;
    for (const task of this.#tracked.values()) if (matches(task)) count++;
    return count;
  }
}
