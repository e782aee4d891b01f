import type { Clock } from "../../ports/clock.ts";
import type { Log } from "../../ports/log.ts";
import type { SessionRecord } from "../../protocol/job-records.ts";
import { hasStronger, headStartMs } from "../../state/jobs/candidacy.ts";
import { Deferred, waitAtMost } from "../wait.ts";
import type { EntryView } from "./entry-view.ts";
import type { LockTenure, SchedulerLock } from "./scheduler-lock.ts";

/** Pause in ms after the lock was found taken, or the store failed. */
const CANDIDACY_PAUSE_MS = 150;
const HANDOVER_CHECK_MS = 1000;
/** First tenure of a weak scheduler in ms; longer than the sessions of instances that are gone. */
const FIRST_WEAK_TENURE_MS = 4000;
/** A stronger instance that does not take or keep the lock is tried again less and less often. */
const LONGEST_WEAK_TENURE_MS = 60_000;

/** Options of {@link SchedulerElection}. */
export interface SchedulerElectionOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly lock: SchedulerLock;
  readonly view: EntryView;
  /** This entry instance. */
  readonly session: SessionRecord;
  /** Schedules until the tenure ends. */
  readonly serve: (tenure: LockTenure) => Promise<void>;
}

/** Stands for the scheduler's lock, and hands it over to an instance that is stronger by far. */
export class SchedulerElection {
  readonly #options: SchedulerElectionOptions;
  #changed = new Deferred<void>();
  #tenure: LockTenure | undefined;
  #weakTenureMs = FIRST_WEAK_TENURE_MS;

  constructor(options: SchedulerElectionOptions) {
    this.#options = options;
  }

  /** True while this entry instance is the scheduler. */
  get scheduling(): boolean {
    return this.#tenure?.valid === true;
  }

  /** The view of the entry instances or of the lock has changed. */
  viewChanged(): void {
    this.#changed.resolve();
  }

  /** Stands until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, lock, serve, view } = this.#options;
    while (!ended(signal)) {
      if (!view.vacant) {
        await waitAtMost(clock, this.#changed.promise, CANDIDACY_PAUSE_MS);
        this.#changed = new Deferred();
        continue;
      }
      if (!(await this.#ownTurn(signal))) continue;
      const tenure = await lock.acquire();
      if (tenure === undefined) {
        await clock.sleep(CANDIDACY_PAUSE_MS, signal);
        continue;
      }
      this.#tenure = tenure;
      if (ended(signal)) await lock.release(tenure);
      else await Promise.all([serve(tenure), this.#handOver(tenure)]);
      this.#tenure = undefined;
    }
  }

  /** Gives up the lock, so that another instance can take over at once. */
  async resign(): Promise<void> {
    this.#changed.resolve();
    if (this.#tenure !== undefined) await this.#options.lock.release(this.#tenure);
  }

  /** Leaves stronger instances their head start; false if one of them has taken the lock. */
  async #ownTurn(signal: AbortSignal): Promise<boolean> {
    const { clock, view, session } = this.#options;
    const waitMs = headStartMs(session.strength, this.#otherStrengths());
    if (waitMs === 0) return true;
    await clock.sleep(waitMs, signal);
    return view.vacant && !signal.aborted;
  }

  async #handOver(tenure: LockTenure): Promise<void> {
    const { clock, log, lock, session } = this.#options;
    const begunAt = clock.now();
    while (!ended(tenure.signal)) {
      await clock.sleep(HANDOVER_CHECK_MS, tenure.signal);
      if (ended(tenure.signal) || clock.now() - begunAt < this.#weakTenureMs) continue;
      if (!hasStronger(session.strength, this.#otherStrengths())) continue;
      this.#weakTenureMs = Math.min(LONGEST_WEAK_TENURE_MS, this.#weakTenureMs * 2);
      log.info({ token: tenure.token }, "scheduler lock is left to a stronger instance");
      await lock.release(tenure);
    }
  }

  #otherStrengths(): readonly number[] {
    const { view, session } = this.#options;
    return view.sessions.filter(({ name }) => name !== session.name).map((s) => s.strength);
  }
}

function ended(signal: AbortSignal): boolean {
  return signal.aborted;
}
