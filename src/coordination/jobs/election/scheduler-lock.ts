import { setMaxListeners } from "node:events";
import type { Clock } from "../../../ports/clock.ts";
import type { Log } from "../../../ports/log.ts";
import type { Random } from "../../../ports/random.ts";
import type { RecordCondition, RecordStore } from "../../../ports/record-store.ts";
import { decodeLock, encodeLock, SCHEDULER_KEY } from "../../../protocol/job-records.ts";
import { fullJitterMs } from "../../backoff.ts";

/** Time to live of the lock in ms. A crashed scheduler is replaced after this time. */
export const LOCK_TTL_MS = 1500;
const RENEW_INTERVAL_MS = 300;
/** Allows for clock drift between this process and the store during one time to live, in ms. */
const CLOCK_DRIFT_MARGIN_MS = 150;
const RENEW_BACKOFF = { baseMs: 50, maxMs: 400 } as const;
/**
 * Maximum difference in ms between the elapsed monotonic and wall-clock time since the last renewal.
 * A larger one means that the process was suspended.
 */
const MAX_CLOCK_DIFFERENCE_MS = 150;
/** Upper limit in ms of the random delay before an attempt to acquire the lock. */
const MAX_ACQUIRE_DELAY_MS = 40;

/** Options of {@link SchedulerLock}. */
export interface SchedulerLockOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  /** Name of this entry instance. */
  readonly holder: string;
}

/** One tenure of the scheduler lock, from its acquisition to its loss or release. */
export class LockTenure {
  /** Fencing token: the revision at which the lock was created. */
  readonly token: number;
  readonly leaseId: number;
  readonly #clock: Clock;
  readonly #ended = new AbortController();
  readonly #requestedAt: LockTime;
  #renewedAt: number;
  #renewedAtWallTime: number;

  constructor(clock: Clock, token: number, leaseId: number, grantedAt: LockTime) {
    this.#clock = clock;
    this.token = token;
    this.leaseId = leaseId;
    this.#requestedAt = grantedAt;
    this.#renewedAt = grantedAt.now;
    this.#renewedAtWallTime = grantedAt.wallTime;
    // All parts of the scheduler listen to this signal, which can exceed the default listener limit.
    setMaxListeners(0, this.#ended.signal);
  }

  /** Aborts when the lock is lost or released. */
  get signal(): AbortSignal {
    return this.#ended.signal;
  }

  /** Store condition that makes a write fail once the lock has expired or another tenure has begun. */
  get condition(): RecordCondition {
    return { key: SCHEDULER_KEY, revision: this.token };
  }

  /**
   * True while no other instance can hold the lock. Time is counted from before the last renewal was
   * sent. A suspension stops the monotonic clock but not the wall clock, so after a large
   * difference the tenure is not valid until its next renewal.
   */
  get valid(): boolean {
    if (this.#ended.signal.aborted) return false;
    const elapsed = this.#clock.now() - this.#renewedAt;
    const elapsedWallTime = this.#clock.wallTime() - this.#renewedAtWallTime;
    if (elapsed > LOCK_TTL_MS - CLOCK_DRIFT_MARGIN_MS) return false;
    return Math.abs(elapsedWallTime - elapsed) <= MAX_CLOCK_DIFFERENCE_MS;
  }

  /** Time in ms that has at least passed since the lock was requested. */
  get minAgeMs(): number {
    return this.#clock.now() - this.#requestedAt.now;
  }

  /**
   * Time in ms that has at most passed since the lock was requested. The longer one of both clocks counts,
   * because a suspension stops the monotonic clock.
   */
  get maxAgeMs(): number {
    return Math.max(this.minAgeMs, this.#clock.wallTime() - this.#requestedAt.wallTime);
  }

  /** Records a successful renewal that was sent at the given time. */
  renewed(sentAt: LockTime): void {
    this.#renewedAt = sentAt.now;
    this.#renewedAtWallTime = sentAt.wallTime;
  }

  end(): void {
    this.#ended.abort();
  }
}

/** The same instant on both clocks, in milliseconds. */
export interface LockTime {
  readonly now: number;
  readonly wallTime: number;
}

/** The lock that makes one entry instance the scheduler: a record in the store with a lease. */
export class SchedulerLock {
  readonly #options: SchedulerLockOptions;

  constructor(options: SchedulerLockOptions) {
    this.#options = options;
  }

  /** Tries once to acquire the lock; undefined if another instance holds it or the store fails. */
  async acquire(): Promise<LockTenure | undefined> {
    const { store, clock, random, log, holder } = this.#options;
    await clock.sleep(random.next() * MAX_ACQUIRE_DELAY_MS);
    const grantedAt = this.#currentTime();
    const lease = await store.grantLease(LOCK_TTL_MS);
    if (lease.err) return undefined;
    const nonce = random.hex(8);
    const value = encodeLock({ holder, nonce });
    const condition = { key: SCHEDULER_KEY, revision: 0 };
    const put = { key: SCHEDULER_KEY, value, lease: lease.val.id };
    const written = await store.commit({ conditions: [condition], puts: [put] });
    let token = written.ok ? written.val : undefined;
    if (written.err && written.val.kind === "unknown") token = await this.#readBack(nonce);
    if (token === undefined) {
      void store.revokeLease(lease.val.id);
      return undefined;
    }
    log.info({ token, holder }, "scheduler lock acquired");
    return new LockTenure(clock, token, lease.val.id, grantedAt);
  }

  /** Renews the lock until it is lost. */
  async renewUntilLost(tenure: LockTenure): Promise<void> {
    const { store, clock, random, log } = this.#options;
    let failures = 0;
    while (!tenure.signal.aborted) {
      const sentAt = this.#currentTime();
      const kept = await store.renewLease(tenure.leaseId);
      if (kept.ok) {
        tenure.renewed(sentAt);
        failures = 0;
        await clock.sleep(RENEW_INTERVAL_MS, tenure.signal);
      } else if (kept.val.kind === "lease-ended") {
        log.warn({ token: tenure.token }, "scheduler lock lost");
        tenure.end();
      } else {
        if (failures === 0) log.warn({ err: kept.val }, "scheduler lock not renewed");
        await clock.sleep(fullJitterMs(random, failures++, RENEW_BACKOFF), tenure.signal);
      }
    }
  }

  /** Releases the lock, so that another instance can acquire it immediately. */
  async release(tenure: LockTenure): Promise<void> {
    tenure.end();
    const ended = await this.#options.store.revokeLease(tenure.leaseId);
    this.#options.log.info({ token: tenure.token, ended: ended.ok }, "scheduler lock released");
  }

  /**
   * Reads the lock back after a write with unknown outcome. Returns its token, or undefined if the
   * lock was not written by this attempt.
   */
  async #readBack(nonce: string): Promise<number | undefined> {
    const record = await this.#options.store.get(SCHEDULER_KEY);
    if (record.err || record.val === undefined) return undefined;
    return decodeLock(record.val.value)?.nonce === nonce ? record.val.revision : undefined;
  }

  #currentTime(): LockTime {
    const { clock } = this.#options;
    return { now: clock.now(), wallTime: clock.wallTime() };
  }
}
