import type { CallerReply, CallerRequest } from "../../src/coordination/ports.ts";
import { RequestService } from "../../src/coordination/ports.ts";
import { SESSION_PREFIX } from "../../src/protocol/entry-status.ts";
import {
  SLOT_OWNERSHIP_KEY,
  type SlotOwnershipDocument,
} from "../../src/protocol/slot-ownership-document.ts";
import type { EntryFactory, EntryParts, EntryUnderTest } from "./entry-under-test.ts";
import { QUEUES } from "./fleet-plan.ts";

/** Interval at which the platform is asked, in milliseconds. */
const ASK_MS = 500;
/** Age of the last answer above which the platform counts as unreachable, in milliseconds. */
const SURE_MS = 2000;

const NOT_SERVED: CallerReply = {
  kind: "refusal",
  refusal: { reason: "config_stale", detail: "The baseline is unsure.", ran: "no" },
};

/** The product behind a rule that refuses requests while it is unsure: the baseline. */
class CautiousEntry extends RequestService implements EntryUnderTest {
  readonly #entry: EntryUnderTest;
  readonly #parts: EntryParts;
  readonly #stopped = new AbortController();
  #answeredAt = -Infinity;
  #memberLost = false;

  constructor(entry: EntryUnderTest, parts: EntryParts) {
    super();
    this.#entry = entry;
    this.#parts = parts;
  }

  get requests(): RequestService {
    return this;
  }

  start(): Promise<void> {
    void this.#watch();
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
    const reachable = this.#parts.clock.now() - this.#answeredAt <= SURE_MS;
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

  async #watch(): Promise<void> {
    const { clock } = this.#parts;
    while (!this.#stopped.signal.aborted) {
      await this.#ask();
      await clock.sleep(ASK_MS, this.#stopped.signal);
    }
  }

  /** A member of the own zone without a session is lost until the fencing proof about it. */
  async #ask(): Promise<void> {
    const { clock, keyValue, settings } = this.#parts;
    const askedAt = clock.now();
    const homes = await keyValue.get(SLOT_OWNERSHIP_KEY);
    const sessions = await keyValue.list(SESSION_PREFIX);
    if (homes.err || sessions.err) return;
    this.#answeredAt = askedAt;
    const live = new Set(sessions.val.map(({ key }) => key.slice(SESSION_PREFIX.length)));
    const members = homes.val && (JSON.parse(homes.val.value) as SlotOwnershipDocument).members;
    this.#memberLost = (members ?? []).some(({ incarnation, zone, state }) => {
      return zone === settings.zone && state !== "fenced" && !live.has(incarnation);
    });
  }
}

/** Builds the baseline around a product. */
export function cautious(product: EntryFactory): EntryFactory {
  return (parts) => new CautiousEntry(product(parts), parts);
}
