/** Tasks on one backend server as its lease holder knows them. */
import type { TaskRecord, TaskRef, TaskSpec } from "../ports/backend-server.ts";
import type { Clock } from "../ports/clock.ts";
import { taskKey } from "./task-charges.ts";
import type { TeamCharge } from "./ledger.ts";

type ActiveState = "starting" | "uncertain" | "running" | "finished";
type FinalStatus = "finished" | "never-started" | "lost";

interface Known {
  readonly ref: TaskRef;
  readonly team: string | undefined;
  readonly chargedTo: string;
  /** Boot of the server at the start, for tasks started here. */
  readonly bootId: string;
  readonly startedAt: number;
  state: ActiveState;
  record: TaskRecord | undefined;
  notifiedAt: number;
}

interface Past {
  readonly status: FinalStatus;
  readonly at: number;
}

/** Options of {@link ServerTasks}. */
export interface ServerTasksOptions {
  readonly clock: Clock;
  /** Time for which the server keeps finished tasks that are not acknowledged. */
  readonly resultRetentionMs: number;
}

/** Task table of one server; kept when its lease is lost, so that earlier starts are resolved. */
export class ServerTasks {
  readonly #clock: Clock;
  readonly #retentionMs: number;
  readonly #known = new Map<string, Known>();
  readonly #past = new Map<string, Past>();
  #bootId = "";

  constructor({ clock, resultRetentionMs }: ServerTasksOptions) {
    this.#clock = clock;
    this.#retentionMs = resultRetentionMs;
  }

  get bootId(): string {
    return this.#bootId;
  }

  /** Slots in use, also by starts whose outcome is not known. */
  get occupied(): number {
    return this.#count((task) => task.state !== "finished");
  }

  /** Starts on their way. */
  get starting(): number {
    return this.#count((task) => task.state === "starting");
  }

  /** Starts without a whole reply. */
  get uncertain(): number {
    return this.#count((task) => task.state === "uncertain");
  }

  /** Tasks of any state that the server still lists. */
  get size(): number {
    return this.#known.size;
  }

  begin(spec: TaskSpec): void {
    this.#known.set(taskKey(spec), {
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

  /** Records the outcome of a start, unless an event or a list has told more already. */
  settleStart(ref: TaskRef, outcome: "running" | "uncertain" | "not-started"): void {
    const task = this.#known.get(taskKey(ref));
    if (task?.state !== "starting") return;
    if (outcome === "not-started") this.#forget(task, "never-started");
    else task.state = outcome;
  }

  /**
   * Takes over the list read under a new lease. Starts sent under earlier leases are refused by
   * now, so a task that the list lacks never started, provided that the server was not rebooted and
   * has not dropped the result. Returns the tasks that do not run any more.
   */
  reconcile(records: readonly TaskRecord[], bootId: string): readonly TaskRef[] {
    this.#bootId = bootId;
    const listed = new Set(records.map(taskKey));
    const gone = [...this.#known.values()].filter((task) => !listed.has(taskKey(task.ref)));
    for (const task of gone) this.#forget(task, this.#statusOfMissing(task, bootId));
    for (const record of records) this.#take(record, bootId);
    return gone.map((task) => task.ref);
  }

  /** Takes over finished tasks and returns those whose listeners were not told yet. */
  finish(records: readonly TaskRecord[]): readonly TaskRecord[] {
    const fresh = records.filter((record) => {
      const task = this.#known.get(taskKey(record));
      if (task !== undefined) return task.state !== "finished";
      return this.#past.get(taskKey(record))?.status !== "finished";
    });
    for (const record of fresh) this.#take(record, this.#bootId);
    return fresh;
  }

  /** Finished tasks that were last announced before the given interval, now announced again. */
  takeUnacknowledged(intervalMs: number): readonly TaskRecord[] {
    const now = this.#clock.now();
    const due = [...this.#known.values()].filter(
      (task) => task.state === "finished" && now - task.notifiedAt >= intervalMs,
    );
    for (const task of due) task.notifiedAt = now;
    return due.flatMap(({ record }) => record ?? []);
  }

  /** Forgets a finished task after the server did. */
  acknowledged(ref: TaskRef): void {
    const task = this.#known.get(taskKey(ref));
    if (task?.state === "finished") this.#forget(task, "finished");
  }

  /** Drops finished tasks that the server no longer lists. */
  dropUnlistedFinished(records: readonly TaskRecord[]): void {
    const listed = new Set(records.map(taskKey));
    for (const task of this.#known.values()) {
      if (task.state === "finished" && !listed.has(taskKey(task.ref))) {
        this.#forget(task, "finished");
      }
    }
  }

  /** Status of a task, or undefined if this entry never knew it. */
  status(ref: TaskRef): "running" | FinalStatus | undefined {
    const task = this.#known.get(taskKey(ref));
    if (task === undefined) return this.#past.get(taskKey(ref))?.status;
    return task.state === "finished" ? "finished" : "running";
  }

  /** Tasks charged to an incarnation that may be running, per team. */
  chargedTo(incarnation: string): readonly TeamCharge[] {
    const counts = new Map<string, number>();
    for (const task of this.#known.values()) {
      if (task.chargedTo !== incarnation || task.state === "finished") continue;
      if (task.team !== undefined) counts.set(task.team, (counts.get(task.team) ?? 0) + 1);
    }
    return [...counts].map(([team, tasks]) => ({ team, tasks }));
  }

  #take(record: TaskRecord, bootId: string): void {
    const key = taskKey(record);
    const old = this.#known.get(key);
    this.#known.set(key, {
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

  #statusOfMissing(task: Known, bootId: string): FinalStatus {
    if (task.state === "finished") return "finished";
    const unconfirmed = task.state === "starting" || task.state === "uncertain";
    const kept = this.#clock.now() - task.startedAt < this.#retentionMs / 2;
    return unconfirmed && kept && task.bootId === bootId ? "never-started" : "lost";
  }

  #forget(task: Known, status: FinalStatus): void {
    const now = this.#clock.now();
    this.#known.delete(taskKey(task.ref));
    this.#past.set(taskKey(task.ref), { status, at: now });
    // Entries are in order of time, so the oldest come first.
    for (const [key, past] of this.#past) {
      if (now - past.at < this.#retentionMs) break;
      this.#past.delete(key);
    }
  }

  #count(matches: (task: Known) => boolean): number {
    let count = 0;
    for (const task of this.#known.values()) if (matches(task)) count++;
    return count;
  }
}
