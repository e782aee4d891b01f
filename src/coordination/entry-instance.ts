import type { EntryStatus } from "../protocol/entry-status.ts";
import { EntryIncarnation } from "./entry-incarnation.ts";
import type { EntryDependencies } from "./entry-dependencies.ts";
import { Counters, RequestService, type CallerReply, type CallerRequest } from "./ports.ts";

const RESTART_DELAY_MS = 500;

/** Options of {@link EntryInstance}. */
export interface EntryInstanceOptions extends Omit<EntryDependencies, "counters"> {
  /** @default counters that discard everything */
  readonly counters?: Counters;
}

/** An entry instance. When its incarnation is retired, it starts a new one without any state. */
export class EntryInstance {
  /** Passes callers' requests to the current incarnation. */
  readonly requests: RequestService;
  readonly #dependencies: EntryDependencies;
  #incarnation: EntryIncarnation;
  #stopped = false;

  constructor({ counters = new DiscardingCounters(), ...rest }: EntryInstanceOptions) {
    this.#dependencies = { ...rest, counters };
    this.#incarnation = this.#newIncarnation();
    this.requests = new CurrentIncarnationRequests(() => this.#incarnation.path.requests);
  }

  /** Starts the first incarnation. Rejects if the peer address cannot be listened on. */
  start(): Promise<void> {
    return this.#incarnation.start();
  }

  /**
   * Shuts down gracefully: waits up to `shutdownTimeoutMs` for accepted requests, then refuses
   * those that are still queued. Running tasks are not interrupted.
   */
  async shutdown(): Promise<void> {
    this.#stopped = true;
    await this.#incarnation.shutdown();
  }

  /** Stops at once. Callers that wait get an unknown outcome. */
  kill(): void {
    this.#stopped = true;
    void this.#incarnation.stop();
  }

  notReadyReasons(): readonly string[] {
    return this.#incarnation.notReadyReasons();
  }

  status(): EntryStatus {
    return this.#incarnation.status();
  }

  #newIncarnation(): EntryIncarnation {
    return new EntryIncarnation({
      ...this.#dependencies,
      onRetired: () => {
        void this.#restart();
      },
    });
  }

  /**
   * Stops the retired incarnation, which reports an unknown outcome to its callers, and starts a
   * new one.
   */
  async #restart(): Promise<void> {
    if (this.#stopped) return;
    const { clock, log, counters } = this.#dependencies;
    counters.event("incarnation_retired");
    log.warn(
      { incarnation: this.#incarnation.hello.incarnation },
      "incarnation was retired, restarting",
    );
    try {
      await this.#incarnation.stop();
    } catch (err) {
      log.error({ err }, "retired incarnation did not stop cleanly");
    }
    while (!this.#isStopped()) {
      await clock.sleep(RESTART_DELAY_MS);
      if (this.#isStopped()) return;
      this.#incarnation = this.#newIncarnation();
      try {
        await this.#incarnation.start();
        return;
      } catch (err) {
        log.error({ err }, "restart failed, will be retried");
      }
    }
  }

  #isStopped(): boolean {
    return this.#stopped;
  }
}

class CurrentIncarnationRequests extends RequestService {
  readonly #current: () => RequestService;

  constructor(current: () => RequestService) {
    super();
    this.#current = current;
  }

  submit(req: CallerRequest, mode: "sync" | "async"): Promise<CallerReply> {
    return this.#current().submit(req, mode);
  }

  query(requestId: string, key: string | undefined, waitMs: number): Promise<CallerReply> {
    return this.#current().query(requestId, key, waitMs);
  }

  cancel(requestId: string, key: string | undefined): Promise<CallerReply> {
    return this.#current().cancel(requestId, key);
  }

  issueId(): string {
    return this.#current().issueId();
  }
}

class DiscardingCounters extends Counters {
  refusal(): void {
    return;
  }

  retry(): void {
    return;
  }

  event(): void {
    return;
  }

  duration(): void {
    return;
  }
}
