import type { Clock } from "../../ports/clock.ts";
import type { Log } from "../../ports/log.ts";
import type { Random } from "../../ports/random.ts";
import type {
  RecordEvent,
  RecordStore,
  StoredRecord,
  StoreError,
} from "../../ports/record-store.ts";
import { fullJitterMs } from "../backoff.ts";

/** Longest wait of a watch in ms; short, so that a silent connection is noticed soon. */
const DEFAULT_WATCH_WAIT_MS = 2500;
const RETRY = { baseMs: 100, maxMs: 600 } as const;

/** Longer than watches are mute, and shorter than the store keeps its history. */
const QUIET_LAG_MS = 6000;

interface QuietAnswer {
  /** Monotonic time in ms. */
  readonly at: number;
  readonly revision: number;
}

/** Receives the records under a prefix and their changes. */
export abstract class RecordListener {
  /** All records under the prefix; those that are missing were deleted. */
  abstract reset(records: readonly StoredRecord[]): void;
  abstract change(event: RecordEvent): void;
  /** True if {@link confirmed} has to follow each change soon. @default false */
  readonly needsConfirmation: boolean = false;

  /** Everything that was written before `askedAt`, a monotonic time in ms, has been reported. */
  confirmed(_askedAt: number): void {
    // Most listeners need no confirmation.
  }
}

/** Options of {@link RecordFollower}. */
export interface RecordFollowerOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly prefix: string;
  readonly listener: RecordListener;
  /** Longest wait of a watch in ms. @default 2500 */
  readonly watchWaitMs?: number;
}

/**
 * Follows the records under a prefix: reads them once, then watches. If the history was dropped, they
 * are read afresh, so no change is missed.
 */
export class RecordFollower {
  readonly #options: RecordFollowerOptions;
  #failures = 0;
  /** The last watch had events, so there may be more. */
  #mayBeBehind = false;
  /** Answers of watches without events. */
  #quiet: readonly QuietAnswer[] = [];

  constructor(options: RecordFollowerOptions) {
    this.#options = options;
  }

  /** Follows until the signal aborts. Never rejects. */
  async run(signal: AbortSignal): Promise<void> {
    let revision: number | undefined;
    while (!signal.aborted) {
      const next = revision === undefined ? await this.#read() : await this.#watch(revision);
      if (typeof next === "number" || next === undefined) {
        revision = next;
        this.#succeeded();
      } else if (next.kind === "compacted") {
        this.#options.log.info({ prefix: this.#options.prefix, revision }, "history was dropped");
        revision = undefined;
      } else await this.#failed(next, signal);
    }
  }

  async #read(): Promise<number | StoreError> {
    const { store, clock, prefix, listener } = this.#options;
    const askedAt = clock.now();
    const range = await store.range(prefix);
    if (range.err) return range.val;
    listener.reset(range.val.records);
    listener.confirmed(askedAt);
    return range.val.revision;
  }

  /** Revision to go on from; undefined if the records are better read afresh. */
  async #watch(after: number): Promise<number | undefined | StoreError> {
    const { store, clock, prefix, listener, watchWaitMs = DEFAULT_WATCH_WAIT_MS } = this.#options;
    const askedAt = clock.now();
    const waitMs = this.#mayBeBehind && listener.needsConfirmation ? 0 : watchWaitMs;
    const changes = await store.watch(prefix, after, waitMs);
    if (changes.err) return changes.val;
    const { events, revision } = changes.val;
    for (const event of events) this.#report(event);
    this.#mayBeBehind = events.length > 0;
    if (events.length === 0) {
      listener.confirmed(askedAt);
      return this.#afterQuiet(after, revision);
    }
    // An answer holds a limited number of bytes, so several versions of a record may be old ones.
    return listener.needsConfirmation && hasRepeatedKey(events) ? undefined : revision;
  }

  /** One record that a listener can't take must not keep it from all that follow. */
  #report(event: RecordEvent): void {
    const { listener, log } = this.#options;
    try {
      listener.change(event);
    } catch (err) {
      const key = event.kind === "written" ? event.record.key : event.key;
      log.error({ err, key }, "a changed record could not be taken over");
    }
  }

  /**
   * Where to go on after a watch without events. The answer of a mute watch is ahead of what it
   * reported, so a quiet stretch is asked for again until it is some seconds old.
   */
  #afterQuiet(after: number, revision: number): number {
    const now = this.#options.clock.now();
    const settled = this.#quiet.findLast(({ at }) => now - at >= QUIET_LAG_MS);
    this.#quiet = [
      ...this.#quiet.filter(({ at }) => now - at < QUIET_LAG_MS),
      { at: now, revision },
    ];
    return Math.max(after, settled?.revision ?? 0);
  }

  #succeeded(): void {
    const { log, prefix } = this.#options;
    if (this.#failures > 0)
      log.info({ prefix, failures: this.#failures }, "records are read again");
    this.#failures = 0;
  }

  async #failed(err: StoreError, signal: AbortSignal): Promise<void> {
    const { clock, random, log, prefix } = this.#options;
    if (this.#failures === 0) log.warn({ prefix, err }, "records cannot be read");
    await clock.sleep(fullJitterMs(random, this.#failures++, RETRY), signal);
  }
}

function hasRepeatedKey(events: readonly RecordEvent[]): boolean {
  const keys = events.map((event) => (event.kind === "written" ? event.record.key : event.key));
  return new Set(keys).size < keys.length;
}
