import type { Clock } from "../../ports/clock.ts";
import type { Log } from "../../ports/log.ts";

const LOG_INTERVAL_MS = 2000;

/** What the scheduler has before it at one time. */
export interface SchedulerBacklog {
  /** Jobs that are not in a final state. */
  readonly openJobs: number;
  /** Runs that are, or may be, under way. */
  readonly runs: number;
  /** Jobs whose progress waits to be written. */
  readonly unwritten: number;
  /** Bytes of start orders that may be under way at a time. */
  readonly windowBytes: number;
}

/** Counts the scheduler's work and logs it every other second, so that a slow one is noticed. */
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

  /** A round of placements began at the given time and placed a number of tasks. */
  recordRound(begunAt: number, placed: number): void {
    this.#rounds++;
    this.#roundMs += this.#clock.now() - begunAt;
    this.#placed += placed;
  }

  /** A transaction that began at the given time was answered. */
  recordWrite(begunAt: number): void {
    this.#writes++;
    this.#writeMs += this.#clock.now() - begunAt;
  }

  /** Logs the counts since the last line, if it is time for one. */
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
