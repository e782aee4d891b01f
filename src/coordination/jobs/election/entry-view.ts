import type { Clock } from "../../../ports/clock.ts";
import type { Log } from "../../../ports/log.ts";
import type { RecordEvent, StoredRecord } from "../../../ports/record-store.ts";
import {
  decodeLock,
  decodeSession,
  SCHEDULER_KEY,
  SESSIONS_PREFIX,
  type SessionRecord,
} from "../../../protocol/job-records.ts";
import { TenureHistory } from "../../../state/jobs/election/tenure-history.ts";
import { RecordListener } from "../records/record-follower.ts";

/** Sessions of the live entry instances and the state of the scheduler lock, read from the store. */
export class EntryView extends RecordListener {
  /** Tenures of the scheduler lock that were seen. */
  readonly tenures = new TenureHistory();
  readonly #log: Log;
  readonly #onChange: () => void;
  #sessions = new Map<string, SessionRecord>();
  #list: readonly SessionRecord[] | undefined;
  #locked = false;
  /** Name of the entry instance that holds the scheduler lock. */
  #holder: string | undefined;
  #loaded = false;
  readonly #clock: Clock;

  constructor(clock: Clock, log: Log, onChange: () => void) {
    super();
    this.#clock = clock;
    this.#log = log;
    this.#onChange = onChange;
  }

  /** True if the records are loaded and no entry instance holds the scheduler lock. */
  get lockIsFree(): boolean {
    return this.#loaded && !this.#locked;
  }

  /** Sessions of the live entry instances; another array after each change. */
  get sessions(): readonly SessionRecord[] {
    return (this.#list ??= [...this.#sessions.values()]);
  }

  /** Session of the lock holder; undefined if the lock is free or the holder has no session. */
  get schedulerSession(): SessionRecord | undefined {
    if (!this.#locked) return undefined;
    return this.sessions.find(({ name }) => name === this.#holder);
  }

  reset(records: readonly StoredRecord[]): void {
    this.#sessions = new Map();
    this.#list = undefined;
    this.#locked = false;
    this.#loaded = true;
    for (const record of records) this.#applyWritten(record);
    this.#onChange();
  }

  change(event: RecordEvent): void {
    if (event.kind === "written") this.#applyWritten(event.record);
    else if (event.key === SCHEDULER_KEY) this.#locked = false;
    else this.#remove(event.key);
    this.#onChange();
  }

  #remove(key: string): void {
    this.#sessions.delete(key);
    this.#list = undefined;
  }

  #applyWritten({ key, value, revision }: StoredRecord): void {
    if (key === SCHEDULER_KEY) {
      // The lock is written once in a tenure, at the revision that is its fencing token.
      this.tenures.seen(revision, this.#clock.now());
      this.#locked = true;
      this.#holder = decodeLock(value)?.holder;
    }
    if (!key.startsWith(SESSIONS_PREFIX)) return;
    const session = decodeSession(value);
    if (session === undefined) this.#log.error({ key }, "session record is unreadable");
    else {
      this.#sessions.set(key, session);
      this.#list = undefined;
    }
  }
}
