import type { Clock } from "../../../ports/clock.ts";
import type { Log } from "../../../ports/log.ts";
import type { Random } from "../../../ports/random.ts";
import {
  MAX_TRANSACTION_ENTRIES,
  type RecordStore,
  type RecordTransaction,
  type StoredRecord,
} from "../../../ports/record-store.ts";
import { progressKey } from "../../../protocol/job-records.ts";
import type { Job } from "../../../state/jobs/records/job.ts";
import { fullJitterMs } from "../../backoff.ts";
import { Deferred } from "../../wait.ts";
import type { LockTenure } from "../election/scheduler-lock.ts";

/** One transaction entry is the condition on the lock; each job takes a condition and a put. */
const JOBS_PER_TRANSACTION = Math.floor((MAX_TRANSACTION_ENTRIES - 1) / 2);
/** Limit of concurrent transactions. */
const MAX_TRANSACTIONS = 4;
/** One lost response must not block other writes; several mean that the store is unresponsive. */
const MAX_STALLED_TRANSACTIONS = 2;
const RETRY = { baseMs: 30, maxMs: 400 } as const;

/** Options of {@link ProgressWriter}. */
export interface ProgressWriterOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly tenure: LockTenure;
  /**
   * Called after each transaction attempt, whether it succeeded or not, with the monotonic time in ms
   * of its start.
   */
  readonly onAttemptEnded: (startedAt: number) => void;
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
 * Writes the progress of jobs. Changes that arrive during a transaction are batched into the next
 * one. If more jobs wait than fit into one transaction, several run concurrently, each for
 * different jobs. Each write is conditional on the scheduler lock and on the revision of the stored
 * progress, so neither a previous scheduler nor a retried write can replace newer progress.
 */
export class ProgressWriter {
  readonly #options: ProgressWriterOptions;
  readonly #pending = new Map<string, Pending>();
  /** Jobs of the transactions in flight, by job id. */
  readonly #inFlight = new Map<string, Pending>();
  /** Transactions in flight whose first attempt failed. */
  readonly #stalled = new Set<RecordTransaction>();
  #transactions = 0;

  constructor(options: ProgressWriterOptions) {
    this.#options = options;
    options.tenure.signal.addEventListener("abort", () => {
      this.#abandon();
    });
  }

  /** True while so many transactions fail that further writes are unlikely to succeed. */
  get stalled(): boolean {
    return this.#stalled.size >= MAX_STALLED_TRANSACTIONS;
  }

  /** Number of jobs whose progress waits for a transaction. */
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
    this.#startTransactionIfDue();
    return waiter.promise;
  }

  /** Resolves like {@link save}, but waits only for pending writes and starts no new one. */
  waitForPendingWrite(job: Job): Promise<boolean> {
    if (this.#pending.has(job.spec.id)) return this.save(job);
    const inFlight = this.#inFlight.get(job.spec.id);
    if (inFlight === undefined) return Promise.resolve(!this.#options.tenure.signal.aborted);
    const waiter = new Deferred<boolean>();
    inFlight.waiters.push(waiter);
    return waiter.promise;
  }

  #startTransactionIfDue(): void {
    if (this.#pending.size === 0 || this.#transactions >= MAX_TRANSACTIONS) return;
    // Avoid the cost of another call unless it writes a full batch or all others are stalled.
    const allStalled = this.#transactions === this.#stalled.size;
    if (allStalled || this.#pending.size >= JOBS_PER_TRANSACTION) void this.#writePending();
  }

  async #writePending(): Promise<void> {
    this.#transactions++;
    // Batch changes of the same tick into one transaction.
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

  /** Takes the longest-waiting jobs that are not in a transaction in flight. */
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

  /** Retries a transaction until its outcome is known; undefined if the lock is lost. */
  async #commit(snapshots: readonly Snapshot[]): Promise<number | undefined> {
    const { store, clock, random, log, tenure } = this.#options;
    const txn = this.#transaction(snapshots);
    for (let attempt = 0; !tenure.signal.aborted; attempt++) {
      const startedAt = clock.now();
      const result = await store.commit(txn);
      this.#options.onAttemptEnded(startedAt);
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
      this.#startTransactionIfDue();
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
  return { pending, key: progressKey(job.spec.id), value: job.encodeProgress() };
}

/** Revision written by an earlier attempt whose response was lost; undefined if there is none. */
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
