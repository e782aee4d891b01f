import type { CallerReply, CallerRequest } from "../../src/coordination/ports.ts";
import { RequestService } from "../../src/coordination/ports.ts";
import { SESSION_PREFIX } from "../../src/protocol/entry-status.ts";
import {
  SLOT_OWNERSHIP_KEY,
  type SlotOwnershipDocument,
} from "../../src/protocol/slot-ownership-document.ts";
import type { EntryFactory, EntryOptions, EntryUnderTest } from "./entry-under-test.ts";
import { QUEUES } from "./fleet-plan.ts";

/** Interval between two reads from the platform, in milliseconds. */
const PLATFORM_POLL_MS = 500;
/** Age of the last successful read above which the platform counts as unreachable, in milliseconds. */
const REACHABLE_FOR_MS = 2000;

const NOT_SERVED: CallerReply = {
  kind: "refusal",
  refusal: {
    reason: "config_stale",
    detail: "The baseline cannot verify the state of the fleet.",
    ran: "no",
  },
};

/**
 * The baseline that the product is compared with: the product's entry instance behind a rule that
 * refuses every request while another member of its zone may be lost, and keyed requests while the
 * platform is unreachable.
 */
class BaselineEntry extends RequestService implements EntryUnderTest {
  readonly #entry: EntryUnderTest;
  readonly #options: EntryOptions;
  readonly #stopped = new AbortController();
  #platformReadAt = -Infinity;
  #memberLost = false;

  constructor(entry: EntryUnderTest, options: EntryOptions) {
    super();
    this.#entry = entry;
    this.#options = options;
  }

  get requests(): RequestService {
    return this;
  }

  start(): Promise<void> {
    void this.#pollLoop();
    return this.#entry.start();
  }

  shutdown(): Promise<void> {
    return this.#entry.shutdown();
  }

  kill(): void {
    this.#stopped.abort();
    this.#entry.kill();
  }

  async submit(req: CallerRequest, mode: "sync" | "async"): Promise<CallerReply> {
    const keyed = QUEUES.find(({ name }) => name === req.queue)?.open !== true;
    const reachable = this.#options.clock.now() - this.#platformReadAt <= REACHABLE_FOR_MS;
    if (this.#memberLost || (keyed && !reachable)) return NOT_SERVED;
    return this.#entry.requests.submit(req, mode);
  }

  query(requestId: string, key: string | undefined, waitMs: number): Promise<CallerReply> {
    return this.#entry.requests.query(requestId, key, waitMs);
  }

  cancel(requestId: string, key: string | undefined): Promise<CallerReply> {
    return this.#entry.requests.cancel(requestId, key);
  }

  issueId(): string {
    return this.#entry.requests.issueId();
  }

  async #pollLoop(): Promise<void> {
    const { clock } = this.#options;
    while (!this.#stopped.signal.aborted) {
      await this.#poll();
      await clock.sleep(PLATFORM_POLL_MS, this.#stopped.signal);
    }
  }

  /**
   * Reads which entry instances of this zone may be lost: those that are recorded as members and
   * not as fenced, but have no session.
   */
  async #poll(): Promise<void> {
    const { clock, keyValue, settings } = this.#options;
    const startedAt = clock.now();
    const ownership = await keyValue.get(SLOT_OWNERSHIP_KEY);
    const sessions = await keyValue.list(SESSION_PREFIX);
    if (ownership.err || sessions.err) return;
    this.#platformReadAt = startedAt;
    const live = new Set(sessions.val.map(({ key }) => key.slice(SESSION_PREFIX.length)));
    const members =
      ownership.val && (JSON.parse(ownership.val.value) as SlotOwnershipDocument).members;
    this.#memberLost = (members ?? []).some(({ incarnation, zone, state }) => {
      return zone === settings.zone && state !== "fenced" && !live.has(incarnation);
    });
  }
}

/** Returns a factory that wraps the entry instances of another factory in the baseline. */
export function baselineFactory(product: EntryFactory): EntryFactory {
  return (options) => new BaselineEntry(product(options), options);
}
