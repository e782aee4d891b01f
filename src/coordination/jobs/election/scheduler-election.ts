import type { Clock } from "../../../ports/clock.ts";
import type { Log } from "../../../ports/log.ts";
import type { SessionRecord } from "../../../protocol/job-records.ts";
import {
  relayedElectionDelayMs,
  hasStronger,
  electionDelayMs,
  shouldStepDown,
  type StoreConnectivity,
} from "../../../state/jobs/election/election-delay.ts";
import { Deferred, waitAtMost } from "../../wait.ts";
import type { EntryView } from "./entry-view.ts";
import type { LockTenure, SchedulerLock } from "./scheduler-lock.ts";

/** Pause in ms before the next attempt when the lock is held or the store failed. */
const ELECTION_RETRY_MS = 150;
/** Interval in ms at which the lock holder checks whether it should step down. */
const STEP_DOWN_CHECK_MS = 200;
/**
 * Initial delay in ms before a weak scheduler steps down. Longer than the time to live of
 * sessions, so that stronger instances that are gone don't count.
 */
const INITIAL_WEAK_DELAY_MS = 4000;
/**
 * The same for a scheduler without a direct connection to the store, in case no other instance has
 * one either.
 */
const INITIAL_RELAYED_DELAY_MS = 800;
/** Pause in ms after an unexpected error, so that another instance can acquire the lock. */
const ERROR_PAUSE_MS = 1000;
/**
 * Upper limit in ms of both delays. They double with each step down, in case the better instance
 * does not acquire or keep the lock.
 */
const MAX_STEP_DOWN_DELAY_MS = 60_000;

/** Options of {@link SchedulerElection}. */
export interface SchedulerElectionOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly lock: SchedulerLock;
  readonly view: EntryView;
  /** This entry instance. */
  readonly session: SessionRecord;
  readonly storeConnectivity: () => StoreConnectivity;
  /** Runs the scheduler until the tenure ends. */
  readonly runScheduler: (tenure: LockTenure) => Promise<void>;
}

/**
 * Competes for the scheduler lock, and steps down in favour of instances that are stronger or better
 * connected to the store.
 */
export class SchedulerElection {
  readonly #options: SchedulerElectionOptions;
  #changed = new Deferred<void>();
  #tenure: LockTenure | undefined;
  #weakDelayMs = INITIAL_WEAK_DELAY_MS;
  #relayedDelayMs = INITIAL_RELAYED_DELAY_MS;

  constructor(options: SchedulerElectionOptions) {
    this.#options = options;
  }

  /** True while this entry instance is the scheduler. */
  get scheduling(): boolean {
    return this.#tenure?.valid === true;
  }

  /** To be called when the view of the entry instances or of the lock has changed. */
  viewChanged(): void {
    this.#changed.resolve();
  }

  /** Takes part in elections until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, lock, view } = this.#options;
    while (!isAborted(signal)) {
      if (!view.lockIsFree) {
        await waitAtMost(clock, this.#changed.promise, ELECTION_RETRY_MS);
        this.#changed = new Deferred();
        continue;
      }
      if (!(await this.#waitElectionDelay(signal))) continue;
      const tenure = await lock.acquire();
      if (tenure === undefined) {
        await clock.sleep(ELECTION_RETRY_MS, signal);
        continue;
      }
      this.#tenure = tenure;
      if (isAborted(signal)) await lock.release(tenure);
      else await Promise.all([this.#runScheduler(tenure), this.#stepDownWhenDue(tenure)]);
      this.#tenure = undefined;
    }
  }

  /** Releases the lock, so that another instance can take over immediately. */
  async stepDown(): Promise<void> {
    this.#changed.resolve();
    if (this.#tenure !== undefined) await this.#options.lock.release(this.#tenure);
  }

  /** Runs the scheduler. An unexpected error ends the tenure, not the process. */
  async #runScheduler(tenure: LockTenure): Promise<void> {
    const { clock, lock, log, runScheduler } = this.#options;
    try {
      await runScheduler(tenure);
    } catch (err) {
      log.error({ err, token: tenure.token }, "scheduling failed, the lock is given up");
      await lock.release(tenure);
      await clock.sleep(ERROR_PAUSE_MS);
    }
  }

  /**
   * Waits so that instances that are stronger or better connected can acquire the lock first.
   * Resolves to false if another instance has acquired it or the signal has aborted.
   */
  async #waitElectionDelay(signal: AbortSignal): Promise<boolean> {
    const { clock, view, session } = this.#options;
    const waitMs = Math.max(
      electionDelayMs(session.strength, this.#otherStrengths()),
      relayedElectionDelayMs(this.#options.storeConnectivity().disconnectedMs),
    );
    if (waitMs === 0) return true;
    await clock.sleep(waitMs, signal);
    return view.lockIsFree && !signal.aborted;
  }

  async #stepDownWhenDue(tenure: LockTenure): Promise<void> {
    const { clock, log, lock } = this.#options;
    const begunAt = clock.now();
    while (!isAborted(tenure.signal)) {
      await clock.sleep(STEP_DOWN_CHECK_MS, tenure.signal);
      if (isAborted(tenure.signal)) return;
      const reason = this.#stepDownReason(clock.now() - begunAt);
      if (reason === undefined) continue;
      log.info({ token: tenure.token, reason }, "scheduler lock is left to another instance");
      await lock.release(tenure);
    }
  }

  #stepDownReason(tenureMs: number): "relayed" | "weak" | undefined {
    const others = this.#otherStrengths();
    const connectivity = this.#options.storeConnectivity();
    if (connectivity.disconnectedMs === 0) this.#relayedDelayMs = INITIAL_RELAYED_DELAY_MS;
    if (tenureMs >= this.#relayedDelayMs && shouldStepDown(connectivity, others.length)) {
      this.#relayedDelayMs = Math.min(MAX_STEP_DOWN_DELAY_MS, this.#relayedDelayMs * 2);
      return "relayed";
    }
    if (tenureMs < this.#weakDelayMs) return undefined;
    if (!hasStronger(this.#options.session.strength, others)) return undefined;
    this.#weakDelayMs = Math.min(MAX_STEP_DOWN_DELAY_MS, this.#weakDelayMs * 2);
    return "weak";
  }

  #otherStrengths(): readonly number[] {
    const { view, session } = this.#options;
    return view.sessions.filter(({ name }) => name !== session.name).map((s) => s.strength);
  }
}

function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}
