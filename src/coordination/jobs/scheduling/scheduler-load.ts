import type { Clock } from "../../../ports/clock.ts";
import type { Log } from "../../../ports/log.ts";

const LOG_INTERVAL_MS = 2000;

/** The scheduler's pending work at one time. */
export interface SchedulerBacklog {
  /** Jobs that are not in a final state. */
  readonly openJobs: number;
  /** Runs that are, or may be, in progress. */
  readonly runs: number;
  /** Jobs whose progress is not written to the store yet. */
  readonly unwritten: number;
  /** Maximum bytes of start orders in flight. */
  readonly windowBytes: number;
}

/** Counts the scheduler's work and logs it every two seconds, to make a slow scheduler visible. */
export class SchedulerLoad {
  readonly #clock: Clock;
  readonly #log: Log;
  #loggedAt: number;
  #rounds = 0;
  #roundMs = 0;
  #writes = 0;
  #writeMs = 0;
  #placed = 0;

  constructor(clock: Clock, log: Log) {
    this.#clock = clock;
    this.#log = log;
    this.#loggedAt = clock.now();
  }

  /** Counts a round that began at `begunAt` (monotonic, in ms) and placed `placed` tasks. */
  recordRound(begunAt: number, placed: number): void {
    this.#rounds++;
    this.#roundMs += this.#clock.now() - begunAt;
    this.#placed += placed;
  }

  /** Counts a transaction attempt that began at `begunAt` (monotonic, in ms) and has just ended. */
  recordWrite(begunAt: number): void {
    this.#writes++;
    this.#writeMs += this.#clock.now() - begunAt;
  }

  /** Logs and resets the counts if the log interval has passed. */
  logIfDue(backlog: SchedulerBacklog): void {
    const now = this.#clock.now();
    if (now - this.#loggedAt < LOG_INTERVAL_MS) return;
    const fields = {
      ...{ ...backlog, rounds: this.#rounds, roundMs: Math.round(this.#roundMs) },
      ...{ placed: this.#placed, writes: this.#writes, writeMs: Math.round(this.#writeMs) },
    };
    this.#log.info(fields, "scheduler load");
    this.#loggedAt = now;
    this.#rounds = this.#roundMs = this.#placed = this.#writes = this.#writeMs = 0;
  }
}
