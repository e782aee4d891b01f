/** A periodic role with leader election; the leader holds a key under its session's lease. */
import type { Clock } from "../ports/clock.ts";
import type { KeyValueService, KvEntry } from "../ports/key-value-service.ts";
import type { Random } from "../ports/random.ts";
import { fullJitterMs } from "./backoff.ts";
import type { SessionKeeper } from "./session-keeper.ts";

/** Longest wait of a watch. A change of the key ends it; only a lost reply is noticed this late. */
const WATCH_WAIT_MS = 10_000;
/** Interval of the checks for a session lease and for the end of `shouldStepDown`. */
const RECHECK_INTERVAL_MS = 500;
const RETRY_BACKOFF = { baseMs: 200, maxMs: 5000 };

/** Options of {@link LeaderRole}. */
export interface LeaderRoleOptions {
  /** Name of the role; its key is `duties/<name>`. */
  readonly name: string;
  readonly kv: KeyValueService;
  readonly clock: Clock;
  readonly random: Random;
  readonly session: SessionKeeper;
  readonly incarnation: string;
  /**
   * Called repeatedly while this entry is the leader. After a pause of the process two leaders can
   * overlap briefly, so every decision must be a separate compare-and-swap.
   */
  readonly step: () => Promise<void>;
  /** Pause between steps in milliseconds. */
  readonly intervalMs: number;
  /** While true, the entry steps down and does not run for election. @default always false */
  readonly shouldStepDown?: () => boolean;
}

/** Runs for election to one role and executes its steps while elected. */
export class LeaderRole {
  readonly #options: LeaderRoleOptions;
  readonly #stopped = new AbortController();
  /** Session lease under which this entry wrote the role's key. */
  #leaderLeaseId: string | undefined;
  #revision = 0;
  /** The key's entry as last shown by a watch, while another entry was the leader. */
  #watched: { readonly entry: KvEntry | undefined } | undefined;

  constructor(options: LeaderRoleOptions) {
    this.#options = options;
  }

  /** True while this entry is the leader according to its own clock. */
  get isLeader(): boolean {
    const { leaseId } = this.#options.session;
    return leaseId !== undefined && leaseId === this.#leaderLeaseId;
  }

  /** Takes part in elections until {@link stop}. */
  async run(): Promise<void> {
    const { clock, random, step, intervalMs } = this.#options;
    let retry = 0;
    while (!this.#stopped.signal.aborted) {
      const shouldStepDown = this.#options.shouldStepDown?.() === true;
      if (this.isLeader && shouldStepDown) {
        await this.#stepDown();
        await clock.sleep(RECHECK_INTERVAL_MS, this.#stopped.signal);
      } else if (this.isLeader) {
        retry = 0;
        await step();
        await clock.sleep(intervalMs, this.#stopped.signal);
      } else if (!(await this.#contend(shouldStepDown))) {
        await clock.sleep(10 + fullJitterMs(random, retry++, RETRY_BACKOFF), this.#stopped.signal);
      }
    }
  }

  /** Steps down, so that another entry can become the leader at once. */
  async stop(): Promise<void> {
    this.#stopped.abort();
    await this.#stepDown();
  }

  async #stepDown(): Promise<void> {
    if (!this.isLeader) return;
    const { kv, name } = this.#options;
    const key = `duties/${name}`;
    const deleted = await kv.delete({ key, expectedRevision: this.#revision });
    // After a failure the key may still name this entry, and no other entry could be elected.
    if (deleted.ok || deleted.val.kind === "conflict") this.#leaderLeaseId = undefined;
  }

  /**
   * Tries to become the leader unless `shouldStepDown`, or waits for a change of the leader.
   * Returns false after a failure.
   */
  async #contend(shouldStepDown: boolean): Promise<boolean> {
    const { kv, name, session, incarnation, clock } = this.#options;
    const { leaseId } = session;
    if (leaseId === undefined) {
      await clock.sleep(RECHECK_INTERVAL_MS, this.#stopped.signal);
      return true;
    }
    const key = `duties/${name}`;
    const entry = await this.#read(key);
    if (entry === "failed") return false;
    if (entry !== undefined) return this.#onOccupied(entry, leaseId);
    if (shouldStepDown) {
      await clock.sleep(RECHECK_INTERVAL_MS, this.#stopped.signal);
      return true;
    }
    const value = JSON.stringify({ incarnation, leaseId });
    this.#watched = undefined;
    const put = await kv.put({ key, value, expectedRevision: 0, leaseId });
    if (!put.ok) return put.val.kind === "conflict";
    this.#leaderLeaseId = leaseId;
    this.#revision = put.val;
    return true;
  }

  /** Returns the key's entry; reads it only if no watch has shown it. */
  async #read(key: string): Promise<KvEntry | undefined | "failed"> {
    if (this.#watched !== undefined) return this.#watched.entry;
    const read = await this.#options.kv.get(key);
    return read.ok ? read.val : "failed";
  }

  /** Becomes the leader if the key is this entry's own, and otherwise waits for a change of it. */
  async #onOccupied(entry: KvEntry, leaseId: string): Promise<boolean> {
    const { kv, incarnation } = this.#options;
    // The key was written by this entry, and the reply to that write was lost.
    if (entry.value === JSON.stringify({ incarnation, leaseId })) {
      this.#leaderLeaseId = leaseId;
      this.#revision = entry.revision;
      this.#watched = undefined;
      return true;
    }
    const { key, revision } = entry;
    const reply = await kv.watch({ key, afterRevision: revision, waitMs: WATCH_WAIT_MS });
    if (!reply.ok) this.#watched = undefined;
    else this.#watched = { entry: reply.val.changed ? reply.val.entry : entry };
    return reply.ok;
  }
}
