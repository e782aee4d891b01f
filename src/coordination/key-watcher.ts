import { Err, type Result } from "ts-results";
import type { Clock } from "../ports/clock.ts";
import type {
  KeyValueService,
  KvEntry,
  KvError,
  KvWatchReply,
} from "../ports/key-value-service.ts";
import type { Random } from "../ports/random.ts";
import type { Counters } from "./ports.ts";

const BACKOFF_BASE_MS = 100;
const BACKOFF_MAX_MS = 5000;
/** A watch without a reply this long after its requested wait has failed. */
const REPLY_MARGIN_MS = 1000;
/** A watch overdue by this time makes the platform count as unreachable before it has failed. */
const OVERDUE_MS = 500;

/** Minimum wait of one watch, regardless of the latency of the service. */
const MIN_WATCH_MS = 50;
/** Safety margin below the age bound, for calls that take longer than the previous one. */
const AGE_MARGIN_MS = 200;

/** Receives results of a {@link KeyWatcher}. `sentAt` is the monotonic send time of the call. */
export interface KeyListener {
  /** The key was read; undefined means that it is absent. */
  onRead(entry: KvEntry | undefined, sentAt: number): void;
  /** The last revision read was still current at some time after `sentAt`. */
  onConfirmed?(sentAt: number): void;
}

/** Options of {@link KeyWatcher}. */
export interface KeyWatcherOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly keyValue: KeyValueService;
  readonly counters: Counters;
  readonly key: string;
  /** Longest wait of one watch in milliseconds. @default 1500 */
  readonly watchMs?: number;
  /**
   * Age in milliseconds that a confirmation should not reach before the next one arrives. Waits get
   * shorter as the latency of the service rises. @default Infinity
   */
  readonly maxAgeMs?: number;
  readonly listener: KeyListener;
}

/** Follows one key of the key-value service by long polling, with one call at a time. */
export class KeyWatcher {
  readonly #options: Required<KeyWatcherOptions>;
  readonly #stop = new AbortController();
  #revision: number | undefined;
  #failures = 0;
  #sentAt = 0;
  /** Wait requested by the current watch. */
  #waitMs = 0;
  #confirmedAt = -Infinity;
  /** Time by which the last unchanged watch exceeded its requested wait. */
  #latencyMs = 0;
  #waiting = false;
  #started = false;

  constructor({ watchMs = 1500, maxAgeMs = Infinity, ...rest }: KeyWatcherOptions) {
    this.#options = { watchMs, maxAgeMs, ...rest };
  }

  start(): void {
    if (this.#started) return;
    this.#started = true;
    void this.#follow();
  }

  /** Stops following. A call in flight is not cancelled, and its result is ignored. */
  stop(): void {
    this.#stop.abort();
  }

  /** False if the last call failed or the current one is overdue. */
  isPlatformReachable(): boolean {
    if (this.#failures > 0) return false;
    const overdue = this.#options.watchMs + OVERDUE_MS;
    return !this.#waiting || this.#options.clock.now() - this.#sentAt <= overdue;
  }

  #stopped(): boolean {
    return this.#stop.signal.aborted;
  }

  async #follow(): Promise<void> {
    const { clock, counters, random } = this.#options;
    while (!this.#stopped()) {
      this.#sentAt = clock.now();
      this.#waitMs = this.#nextWaitMs();
      this.#waiting = true;
      const reply = await this.#call();
      this.#waiting = false;
      if (this.#stopped()) return;
      if (reply.ok) {
        this.#failures = 0;
        this.#handleReply(reply.val);
        continue;
      }
      counters.retry(reply.val.kind === "ambiguous" ? "kv_ambiguous" : "kv_unavailable");
      const bound = Math.min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2 ** this.#failures++);
      await clock.sleep(random.next() * bound, this.#stop.signal);
    }
  }

  /** Reads the key at once the first time, and afterwards waits for a change. */
  async #call(): Promise<Result<KvWatchReply, KvError>> {
    const { clock, keyValue, key } = this.#options;
    const waitMs = this.#waitMs;
    const timer = new AbortController();
    const timeout = clock
      .sleep(waitMs + REPLY_MARGIN_MS, timer.signal)
      .then((): Result<KvWatchReply, KvError> => Err({ kind: "ambiguous", detail: "no reply" }));
    const call =
      this.#revision === undefined
        ? keyValue.get(key).then((read) => read.map((entry) => ({ changed: true as const, entry })))
        : keyValue.watch({ key, afterRevision: this.#revision, waitMs });
    const reply = await Promise.race([call, timeout]);
    timer.abort();
    return reply;
  }

  /** The wait with which the reply arrives within the age bound if the last latency recurs. */
  #nextWaitMs(): number {
    const { clock, watchMs, maxAgeMs } = this.#options;
    if (maxAgeMs === Infinity) return watchMs;
    const boundMs = maxAgeMs - AGE_MARGIN_MS;
    // In a steady state the previous confirmation is as old as the duration of one call.
    const ageMs = Math.max(boundMs / 2, clock.now() - this.#confirmedAt);
    const waitMs = Math.round(boundMs - ageMs - this.#latencyMs);
    return Math.min(watchMs, Math.max(MIN_WATCH_MS, waitMs));
  }

  #handleReply(reply: KvWatchReply): void {
    const { clock, listener } = this.#options;
    this.#confirmedAt = this.#sentAt;
    if (!reply.changed) {
      this.#latencyMs = Math.max(0, clock.now() - this.#sentAt - this.#waitMs);
      listener.onConfirmed?.(this.#sentAt);
      return;
    }
    this.#revision = reply.entry?.revision ?? 0;
    listener.onRead(reply.entry, this.#sentAt);
  }
}
