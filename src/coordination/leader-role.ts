/** A leader-elected periodic role, held under this entry's session. */
import type { Clock } from "../ports/clock.ts";
import type { KeyValueService, KvEntry } from "../ports/key-value-service.ts";
import type { Random } from "../ports/random.ts";
import { fullJitterMs } from "./backoff.ts";
import type { SessionKeeper } from "./session-keeper.ts";

/** A change of the holder ends the wait; only a lost reply is noticed this late. */
const WATCH_WAIT_MS = 10_000;
const HELD_CHECK_MS = 500;
const RETRY_BACKOFF = { baseMs: 200, maxMs: 5000 };

/** Options of {@link LeaderRole}. */
export interface LeaderRoleOptions {
  /** Name of the duty; its key is `duties/<name>`. */
  readonly name: string;
  readonly kv: KeyValueService;
  readonly clock: Clock;
  readonly random: Random;
  readonly session: SessionKeeper;
  readonly incarnation: string;
  /**
   * Called repeatedly while the duty is held. Two holders can overlap for a moment after a pause,
   * so every decision must be a compare-and-swap of its own.
   */
  readonly step: () => Promise<void>;
  /** Pause between two steps in milliseconds. */
  readonly intervalMs: number;
  /** Gives the duty up, and does not contend for it, while true. @default never */
  readonly shouldStepDown?: () => boolean;
}

/** Contends for one duty and does its steps while holding it. */
export class LeaderRole {
  readonly #options: LeaderRoleOptions;
  readonly #stopped = new AbortController();
  /** Lease under which the duty's key was written. */
  #underLease: string | undefined;
  #revision = 0;
  /** The key as last read while somebody else held the duty. */
  #seen: { readonly entry: KvEntry | undefined } | undefined;

  constructor(options: LeaderRoleOptions) {
    this.#options = options;
  }

  /** True while this entry holds the duty by its own clock. */
  get held(): boolean {
    const { leaseId } = this.#options.session;
    return leaseId !== undefined && leaseId === this.#underLease;
  }

  /** Contends for the duty until {@link stop}. */
  async run(): Promise<void> {
    const { clock, random, step, intervalMs } = this.#options;
    let retry = 0;
    while (!this.#stopped.signal.aborted) {
      const leave = this.#options.shouldStepDown?.() === true;
      if (this.held && leave) {
        await this.#giveUp();
        await clock.sleep(HELD_CHECK_MS, this.#stopped.signal);
      } else if (this.held) {
        retry = 0;
        await step();
        await clock.sleep(intervalMs, this.#stopped.signal);
      } else if (!(await this.#contend(leave))) {
        await clock.sleep(10 + fullJitterMs(random, retry++, RETRY_BACKOFF), this.#stopped.signal);
      }
    }
  }

  /** Gives the duty up, so that another entry takes it at once. */
  async stop(): Promise<void> {
    this.#stopped.abort();
    await this.#giveUp();
  }

  async #giveUp(): Promise<void> {
    if (!this.held) return;
    const { kv, name } = this.#options;
    const key = `duties/${name}`;
    const deleted = await kv.delete({ key, expectedRevision: this.#revision });
    // After a failure the key may still name this entry, so nobody else could take the duty.
    if (deleted.ok || deleted.val.kind === "conflict") this.#underLease = undefined;
  }

  /**
   * Tries to take the duty unless it is left to others, or waits for a change of its holder; false
   * after a failure.
   */
  async #contend(leave: boolean): Promise<boolean> {
    const { kv, name, session, incarnation, clock } = this.#options;
    const { leaseId } = session;
    if (leaseId === undefined) {
      await clock.sleep(HELD_CHECK_MS, this.#stopped.signal);
      return true;
    }
    const key = `duties/${name}`;
    const entry = await this.#read(key);
    if (entry === "failed") return false;
    if (entry !== undefined) return this.#onHeld(entry, leaseId);
    if (leave) {
      await clock.sleep(HELD_CHECK_MS, this.#stopped.signal);
      return true;
    }
    const value = JSON.stringify({ incarnation, leaseId });
    this.#seen = undefined;
    const put = await kv.put({ key, value, expectedRevision: 0, leaseId });
    if (!put.ok) return put.val.kind === "conflict";
    this.#underLease = leaseId;
    this.#revision = put.val;
    return true;
  }

  /** The key's entry, read only if no watch has shown it. */
  async #read(key: string): Promise<KvEntry | undefined | "failed"> {
    if (this.#seen !== undefined) return this.#seen.entry;
    const read = await this.#options.kv.get(key);
    return read.ok ? read.val : "failed";
  }

  async #onHeld(entry: KvEntry, leaseId: string): Promise<boolean> {
    const { kv, incarnation } = this.#options;
    // A write of this entry whose reply was lost.
    if (entry.value === JSON.stringify({ incarnation, leaseId })) {
      this.#underLease = leaseId;
      this.#revision = entry.revision;
      this.#seen = undefined;
      return true;
    }
    const { key, revision } = entry;
    const reply = await kv.watch({ key, afterRevision: revision, waitMs: WATCH_WAIT_MS });
    if (!reply.ok) this.#seen = undefined;
    else this.#seen = { entry: reply.val.changed ? reply.val.entry : entry };
    return reply.ok;
  }
}
