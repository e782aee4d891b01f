import { Err, type Result } from "ts-results";
import type { Clock } from "../platform/clock.ts";
import type {
  KeyValueService,
  KvEntry,
  KvError,
  KvWatchReply,
} from "../platform/key-value-service.ts";
import type { Random } from "../platform/random.ts";
import type { Counters } from "./ports.ts";

const BACKOFF_FIRST_MS = 100;
const BACKOFF_MAX_MS = 5000;
/** A watch without a reply this long after its wait has failed. */
const REPLY_MARGIN_MS = 1000;
/** A watch this long overdue counts as an unreachable platform before it is given up. */
const OVERDUE_MS = 500;

/** Receives what a {@link KeyWatcher} reads. `sentAt` is the monotonic time of the call. */
export interface KeyListener {
  /** The key was read; undefined means that it is absent. */
  read(entry: KvEntry | undefined, sentAt: number): void;
  /** The revision read last was current at some time after `sentAt`. */
  confirmed?(sentAt: number): void;
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
  readonly listener: KeyListener;
}

/** Follows one key of the key-value service with one waiting read at a time. */
export class KeyWatcher {
  readonly #options: Required<KeyWatcherOptions>;
  readonly #stop = new AbortController();
  #revision: number | undefined;
  #failures = 0;
  #sentAt = 0;
  #waiting = false;
  #started = false;

  constructor({ watchMs = 1500, ...rest }: KeyWatcherOptions) {
    this.#options = { watchMs, ...rest };
  }

  start(): void {
    if (this.#started) return;
    this.#started = true;
    void this.#follow();
  }

  /** Stops following. A call in flight is left to its own end. */
  stop(): void {
    this.#stop.abort();
  }

  /** False if the last call failed, or if the present one is overdue. */
  reachable(): boolean {
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
      this.#waiting = true;
      const reply = await this.#ask();
      this.#waiting = false;
      if (this.#stopped()) return;
      if (reply.ok) {
        this.#failures = 0;
        this.#take(reply.val);
        continue;
      }
      counters.retry(reply.val.kind === "ambiguous" ? "kv_ambiguous" : "kv_unavailable");
      const bound = Math.min(BACKOFF_MAX_MS, BACKOFF_FIRST_MS * 2 ** this.#failures++);
      await clock.sleep(random.next() * bound, this.#stop.signal);
    }
  }

  /** Reads at once at the start, and waits for a change from then on. */
  async #ask(): Promise<Result<KvWatchReply, KvError>> {
    const { clock, keyValue, key, watchMs } = this.#options;
    const timer = new AbortController();
    const timeout = clock
      .sleep(watchMs + REPLY_MARGIN_MS, timer.signal)
      .then((): Result<KvWatchReply, KvError> => Err({ kind: "ambiguous", detail: "no reply" }));
    const call =
      this.#revision === undefined
        ? keyValue.get(key).then((read) => read.map((entry) => ({ changed: true as const, entry })))
        : keyValue.watch({ key, afterRevision: this.#revision, waitMs: watchMs });
    const reply = await Promise.race([call, timeout]);
    timer.abort();
    return reply;
  }

  #take(reply: KvWatchReply): void {
    const { listener } = this.#options;
    if (!reply.changed) {
      listener.confirmed?.(this.#sentAt);
      return;
    }
    this.#revision = reply.entry?.revision ?? 0;
    listener.read(reply.entry, this.#sentAt);
  }
}
