import type { Clock } from "../../../ports/clock.ts";
import type { Log } from "../../../ports/log.ts";
import type { Random } from "../../../ports/random.ts";
import type {
  RecordEvent,
  RecordStore,
  StoredRecord,
  StoreError,
} from "../../../ports/record-store.ts";
import { fullJitterMs } from "../../backoff.ts";

/** Maximum wait of a watch in ms; short, so that an unresponsive connection is detected soon. */
const DEFAULT_WATCH_WAIT_MS = 2500;
const RETRY = { baseMs: 100, maxMs: 600 } as const;

/**
 * Age in ms from which the revision of an empty watch result is used. A faulty watch omits changes
 * for a shorter time, and the store retains its history for longer.
 */
const EMPTY_WATCH_LAG_MS = 6000;

interface EmptyWatchResult {
  /** Monotonic time in ms. */
  readonly at: number;
  readonly revision: number;
}

/** Receives the records under a prefix and their changes. */
export abstract class RecordListener {
  /** Replaces all records under the prefix; records that are not included were deleted. */
  abstract reset(records: readonly StoredRecord[]): void;
  abstract change(event: RecordEvent): void;
  /** True if {@link confirmed} must be called soon after each change. @default false */
  readonly needsConfirmation: boolean = false;

  /** Called once all writes before `askedAt`, a monotonic time in ms, have been reported. */
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
  /** Maximum wait of a watch in ms. @default 2500 */
  readonly watchWaitMs?: number;
}

/**
 * Follows the records under a prefix: reads them once, then watches for changes. If the store has
 * compacted the history, all records are read again, so that no change is missed.
 */
export class RecordFollower {
  readonly #options: RecordFollowerOptions;
  #failures = 0;
  /** True if the last watch returned events, so that more may follow. */
  #mayBeBehind = false;
  /** Recent results of watches without events. */
  #emptyResults: readonly EmptyWatchResult[] = [];

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
        this.#options.log.info(
          { prefix: this.#options.prefix, revision },
          "history was compacted, reading all records again",
        );
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

  /** Returns the revision to continue from; undefined if all records must be read again. */
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
      return this.#nextRevision(after, revision);
    }
    // Response size is limited: if a key occurs twice, even its last version may be outdated.
    return listener.needsConfirmation && hasRepeatedKey(events) ? undefined : revision;
  }

  /** Logs errors of the listener, so that one invalid record does not block later changes. */
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
   * Returns the revision to continue from after a watch without events. A faulty watch can return a
   * revision that is newer than the changes it reported, so recent revisions are watched again
   * until they are {@link EMPTY_WATCH_LAG_MS} old.
   */
  #nextRevision(after: number, revision: number): number {
    const now = this.#options.clock.now();
    const settled = this.#emptyResults.findLast(({ at }) => now - at >= EMPTY_WATCH_LAG_MS);
    this.#emptyResults = [
      ...this.#emptyResults.filter(({ at }) => now - at < EMPTY_WATCH_LAG_MS),
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
