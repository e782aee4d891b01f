import type { Clock } from "../../ports/clock.ts";
import type { Log } from "../../ports/log.ts";
import type { SessionRecord } from "../../protocol/job-records.ts";
import {
  relayedElectionDelayMs,
  hasStronger,
  electionDelayMs,
  shouldStepDown,
  type StoreConnectivity,
} from "../../state/jobs/election-delay.ts";
import { Deferred, waitAtMost } from "../wait.ts";
import type { EntryView } from "./entry-view.ts";
import type { LockTenure, SchedulerLock } from "./scheduler-lock.ts";

/** Pause in ms after the lock was found taken, or the store failed. */
const CANDIDACY_PAUSE_MS = 150;
const HANDOVER_CHECK_MS = 200;
/** First tenure of a weak scheduler in ms; longer than the sessions of instances that are gone. */
const FIRST_WEAK_TENURE_MS = 4000;
/** The same for one without direct reach of the store, while no instance may have it. */
const FIRST_RELAYED_TENURE_MS = 800;
/** Time in ms for another instance to take the lock after an unexpected error. */
const FAILED_TENURE_PAUSE_MS = 1000;
/** A better instance that does not take or keep the lock is tried again less and less often. */
const LONGEST_WEAK_TENURE_MS = 60_000;

/** Options of {@link SchedulerElection}. */
export interface SchedulerElectionOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly lock: SchedulerLock;
  readonly view: EntryView;
  /** This entry instance. */
  readonly session: SessionRecord;
  readonly storeReach: () => StoreConnectivity;
  /** Schedules until the tenure ends. */
  readonly serve: (tenure: LockTenure) => Promise<void>;
}

/** Stands for the scheduler's lock, and gives way to instances that are better placed. */
export class SchedulerElection {
  readonly #options: SchedulerElectionOptions;
  #changed = new Deferred<void>();
  #tenure: LockTenure | undefined;
  #weakTenureMs = FIRST_WEAK_TENURE_MS;
  #relayedTenureMs = FIRST_RELAYED_TENURE_MS;

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
    const { clock, lock, view } = this.#options;
    while (!ended(signal)) {
      if (!view.lockIsFree) {
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
      else await Promise.all([this.#serve(tenure), this.#handOver(tenure)]);
      this.#tenure = undefined;
    }
  }

  /** Gives up the lock, so that another instance can take over at once. */
  async stepDown(): Promise<void> {
    this.#changed.resolve();
    if (this.#tenure !== undefined) await this.#options.lock.release(this.#tenure);
  }

  /** Schedules; an unexpected error ends the tenure and not the process. */
  async #serve(tenure: LockTenure): Promise<void> {
    const { clock, lock, log, serve } = this.#options;
    try {
      await serve(tenure);
    } catch (err) {
      log.error({ err, token: tenure.token }, "scheduling failed, the lock is given up");
      await lock.release(tenure);
      await clock.sleep(FAILED_TENURE_PAUSE_MS);
    }
  }

  /** Leaves stronger instances their head start; false if one of them has taken the lock. */
  async #ownTurn(signal: AbortSignal): Promise<boolean> {
    const { clock, view, session } = this.#options;
    const waitMs = Math.max(
      electionDelayMs(session.strength, this.#otherStrengths()),
      relayedElectionDelayMs(this.#options.storeReach().disconnectedMs),
    );
    if (waitMs === 0) return true;
    await clock.sleep(waitMs, signal);
    return view.lockIsFree && !signal.aborted;
  }

  async #handOver(tenure: LockTenure): Promise<void> {
    const { clock, log, lock } = this.#options;
    const begunAt = clock.now();
    while (!ended(tenure.signal)) {
      await clock.sleep(HANDOVER_CHECK_MS, tenure.signal);
      if (ended(tenure.signal)) return;
      const reason = this.#reasonToGiveWay(clock.now() - begunAt);
      if (reason === undefined) continue;
      log.info({ token: tenure.token, reason }, "scheduler lock is left to another instance");
      await lock.release(tenure);
    }
  }

  #reasonToGiveWay(tenureMs: number): "relayed" | "weak" | undefined {
    const others = this.#otherStrengths();
    const reach = this.#options.storeReach();
    if (reach.disconnectedMs === 0) this.#relayedTenureMs = FIRST_RELAYED_TENURE_MS;
    if (tenureMs >= this.#relayedTenureMs && shouldStepDown(reach, others.length)) {
      this.#relayedTenureMs = Math.min(LONGEST_WEAK_TENURE_MS, this.#relayedTenureMs * 2);
      return "relayed";
    }
    if (tenureMs < this.#weakTenureMs) return undefined;
    if (!hasStronger(this.#options.session.strength, others)) return undefined;
    this.#weakTenureMs = Math.min(LONGEST_WEAK_TENURE_MS, this.#weakTenureMs * 2);
    return "weak";
  }

  #otherStrengths(): readonly number[] {
    const { view, session } = this.#options;
    return view.sessions.filter(({ name }) => name !== session.name).map((s) => s.strength);
  }
}

function ended(signal: AbortSignal): boolean {
  return signal.aborted;
}
