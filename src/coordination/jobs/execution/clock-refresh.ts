import type { ServerClock } from "../../../state/jobs/execution/server-clock.ts";
import { Deferred } from "../../wait.ts";

/**
 * Age in ms from which a reading of a backend server's clock is too old to issue the deadline of a start
 * from it. The estimate falls behind by up to 2% of the age.
 */
const MAX_READING_AGE_MS = 20_000;

/** Decides when the clock of a backend server has to be read again before the next start. */
export class ClockRefresh {
  readonly #serverClock: ServerClock;
  #requested = false;
  #nextPoll = new Deferred<void>();

  constructor(serverClock: ServerClock) {
    this.#serverClock = serverClock;
  }

  /** True while a poll has to read the clock even if there is no other reason for one. */
  get requested(): boolean {
    return this.#requested;
  }

  /** Requests a reading with the next poll. */
  request(): void {
    this.#requested = true;
  }

  /** True if the deadline of a start may be issued at monotonic time `now` in ms. */
  isCurrent(now: number): boolean {
    const { reading } = this.#serverClock;
    if (reading === undefined || this.#requested) return false;
    return now - reading.receivedAt <= MAX_READING_AGE_MS;
  }

  /** Resolves when the next poll has ended, or when the driver is closed. */
  whenPolled(): Promise<void> {
    return this.#nextPoll.promise;
  }

  /** Called when the clock was read. */
  clockRead(): void {
    this.#requested = false;
  }

  /** Called after each poll, whether or not it was answered, and when the driver is closed. */
  pollEnded(): void {
    const ended = this.#nextPoll;
    this.#nextPoll = new Deferred();
    ended.resolve();
  }
}
