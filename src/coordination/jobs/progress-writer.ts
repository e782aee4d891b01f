import type { Clock } from "../../ports/clock.ts";
import type { Log } from "../../ports/log.ts";
import type { Random } from "../../ports/random.ts";
import {
  MAX_TRANSACTION_ENTRIES,
  type RecordStore,
  type RecordTransaction,
  type StoredRecord,
} from "../../ports/record-store.ts";
import { encodeProgress, progressKey } from "../../protocol/job-records.ts";
import type { Job } from "../../state/jobs/job.ts";
import { fullJitterMs } from "../backoff.ts";
import { Deferred } from "../wait.ts";
import type { LockTenure } from "./scheduler-lock.ts";

/** One entry of a transaction is the condition on the lock; each job takes a condition and a put. */
const JOBS_PER_TRANSACTION = Math.floor((MAX_TRANSACTION_ENTRIES - 1) / 2);
/** Transactions under way at a time. */
const MAX_TRANSACTIONS = 4;
/** A single lost answer must not hold up the others; several mean that the store does not answer. */
const MAX_STALLED_TRANSACTIONS = 2;
const RETRY = { baseMs: 30, maxMs: 400 } as const;

/** Options of {@link ProgressWriter}. */
export interface ProgressWriterOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly tenure: LockTenure;
  /** Called with the time at which an answered transaction was begun. */
  readonly written: (begunAt: number) => void;
}

interface Pending {
  readonly job: Job;
  readonly waiters: Deferred<boolean>[];
}

interface Snapshot {
  readonly pending: Pending;
  readonly key: string;
  readonly value: Uint8Array;
}

/**
 * Writes the progress of jobs. Changes that come while a transaction is under way share the next one;
 * while more jobs wait than one transaction holds, several are under way at a time, each for other
 * jobs. Each write is conditional on the scheduler's lock and on the former progress, so neither a
 * former scheduler nor a repeated write can replace newer progress.
 */
export class ProgressWriter {
  readonly #options: ProgressWriterOptions;
  readonly #pending = new Map<string, Pending>();
  /** Jobs of the transactions under way. */
  readonly #inFlight = new Map<string, Pending>();
  /** Transactions whose first attempt failed. */
  readonly #stalled = new Set<RecordTransaction>();
  #transactions = 0;

  constructor(options: ProgressWriterOptions) {
    this.#options = options;
    options.tenure.signal.addEventListener("abort", () => {
      this.#abandon();
    });
  }

  /** True while the store answers too few transactions for further ones to make sense. */
  get stalled(): boolean {
    return this.#stalled.size >= MAX_STALLED_TRANSACTIONS;
  }

  /** Jobs whose progress waits for a transaction. */
  get waiting(): number {
    return this.#pending.size;
  }

  /** Resolves true once progress at least as new as now is stored; false if the lock is lost. */
  save(job: Job): Promise<boolean> {
    if (this.#options.tenure.signal.aborted) return Promise.resolve(false);
    const waiter = new Deferred<boolean>();
    const pending = this.#pending.get(job.spec.id);
    if (pending === undefined) this.#pending.set(job.spec.id, { job, waiters: [waiter] });
    else pending.waiters.push(waiter);
    this.#beginIfDue();
    return waiter.promise;
  }

  /** Resolves like {@link save}, but writes nothing that is not waiting to be written. */
  settled(job: Job): Promise<boolean> {
    if (this.#pending.has(job.spec.id)) return this.save(job);
    const inFlight = this.#inFlight.get(job.spec.id);
    if (inFlight === undefined) return Promise.resolve(!this.#options.tenure.signal.aborted);
    const waiter = new Deferred<boolean>();
    inFlight.waiters.push(waiter);
    return waiter.promise;
  }

  #beginIfDue(): void {
    if (this.#pending.size === 0 || this.#transactions >= MAX_TRANSACTIONS) return;
    // A further transaction is worth its call only if it is full, or if the others are held up.
    const heldUp = this.#transactions === this.#stalled.size;
    if (heldUp || this.#pending.size >= JOBS_PER_TRANSACTION) void this.#write();
  }

  async #write(): Promise<void> {
    this.#transactions++;
    // Changes of the same moment share the transaction.
    await Promise.resolve();
    let batch = this.#nextBatch();
    while (batch.length > 0 && !this.#options.tenure.signal.aborted) {
      await this.#writeBatch(batch);
      batch = this.#nextBatch();
    }
    this.#transactions--;
  }

  async #writeBatch(batch: readonly Pending[]): Promise<void> {
    const revision = await this.#commit(batch.map(snapshot));
    for (const { job, waiters } of batch) {
      this.#inFlight.delete(job.spec.id);
      if (revision !== undefined) job.revision = revision;
      for (const waiter of waiters) waiter.resolve(revision !== undefined);
    }
  }

  /** Takes the jobs that have waited longest and are in no transaction under way. */
  #nextBatch(): readonly Pending[] {
    const batch: Pending[] = [];
    for (const [id, pending] of this.#pending) {
      if (batch.length >= JOBS_PER_TRANSACTION) break;
      if (!this.#inFlight.has(id)) batch.push(pending);
    }
    for (const pending of batch) {
      this.#pending.delete(pending.job.spec.id);
      this.#inFlight.set(pending.job.spec.id, pending);
    }
    return batch;
  }

  /** Repeats the same transaction until its outcome is known; undefined if the lock is lost. */
  async #commit(snapshots: readonly Snapshot[]): Promise<number | undefined> {
    const { store, clock, random, log, tenure } = this.#options;
    const txn = this.#transaction(snapshots);
    for (let attempt = 0; !tenure.signal.aborted; attempt++) {
      const begunAt = clock.now();
      const result = await store.commit(txn);
      this.#options.written(begunAt);
      if (result.ok) {
        this.#stalled.delete(txn);
        return result.val;
      }
      const err = result.val;
      if (err.kind === "conflict") {
        const revision = appliedBefore(snapshots, err.current);
        if (revision === undefined) {
          log.warn({ token: tenure.token }, "progress was written by another scheduler");
          tenure.end();
        }
        this.#stalled.delete(txn);
        return revision;
      }
      if (attempt === 0) log.warn({ err, jobs: snapshots.length }, "progress not written");
      this.#stalled.add(txn);
      this.#beginIfDue();
      await clock.sleep(fullJitterMs(random, attempt, RETRY), tenure.signal);
    }
    this.#stalled.delete(txn);
    return undefined;
  }

  #transaction(snapshots: readonly Snapshot[]): RecordTransaction {
    const revisions = snapshots.map(({ key, pending }) => ({
      key,
      revision: pending.job.revision,
    }));
    return {
      conditions: [this.#options.tenure.condition, ...revisions],
      puts: snapshots.map(({ key, value }) => ({ key, value })),
    };
  }

  #abandon(): void {
    for (const { waiters } of this.#pending.values())
      for (const waiter of waiters) waiter.resolve(false);
    this.#pending.clear();
  }
}

function snapshot(pending: Pending): Snapshot {
  const { job } = pending;
  return { pending, key: progressKey(job.spec.id), value: encodeProgress(job.toRecord()) };
}

/** Revision of an earlier attempt whose answer was lost; undefined if there was none. */
function appliedBefore(
  snapshots: readonly Snapshot[],
  current: readonly StoredRecord[],
): number | undefined {
  const [first] = snapshots;
  if (first === undefined) return undefined;
  const stored = current.find(({ key }) => key === first.key);
  if (stored === undefined || stored.revision <= first.pending.job.revision) return undefined;
  return Buffer.compare(stored.value, first.value) === 0 ? stored.revision : undefined;
}
