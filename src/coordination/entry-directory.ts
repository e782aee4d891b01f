import { Err, Ok, type Result } from "ts-results";
import * as v from "valibot";
import type { Clock } from "../ports/clock.ts";
import type { KeyValueService } from "../ports/key-value-service.ts";
import {
  SESSION_PREFIX,
  SessionSchema,
  type EntryStatus,
  type Session,
} from "../protocol/entry-status.ts";

const POLL_INTERVAL_MS = 250;

/** Reads the status of an entry instance at its admin address `IP:PORT`. */
export abstract class EntryStatusReader {
  abstract read(adminAddress: string): Promise<Result<EntryStatus, string>>;
}

/** An entry instance with its status, or the reason why the status could not be read. */
export interface EntryWithStatus {
  readonly session: Session;
  readonly status: Result<EntryStatus, string>;
}

/** Entries grouped by whether they have adopted a configuration revision. */
export interface Confirmations {
  readonly confirmed: readonly EntryWithStatus[];
  /** Entries with a lower revision, or whose status could not be read. */
  readonly waiting: readonly EntryWithStatus[];
}

/** Options of {@link EntryDirectory}. */
export interface EntryDirectoryOptions {
  readonly clock: Clock;
  readonly keyValue: KeyValueService;
  readonly reader: EntryStatusReader;
}

/** Finds the entry instances by their session keys and reads their status. */
export class EntryDirectory {
  readonly #options: EntryDirectoryOptions;

  constructor(options: EntryDirectoryOptions) {
    this.#options = options;
  }

  /** Reads the status of every entry that has a session. */
  async entries(): Promise<Result<readonly EntryWithStatus[], string>> {
    const { keyValue, reader } = this.#options;
    const listed = await keyValue.list(SESSION_PREFIX);
    if (listed.err) return Err(`sessions could not be read: ${listed.val.kind}`);
    const sessions = listed.val.flatMap((entry) => parseSession(entry.value));
    const read = sessions.map(async (session): Promise<EntryWithStatus> => {
      const { adminAddress } = session;
      if (adminAddress === undefined)
        return { session, status: Err("the session has no admin address") };
      return { session, status: await reader.read(adminAddress) };
    });
    return Ok(await Promise.all(read));
  }

  /** Waits until every entry has adopted the revision, but at most `waitMs` milliseconds. */
  async awaitConfirmations(
    revision: number,
    waitMs: number,
  ): Promise<Result<Confirmations, string>> {
    const { clock } = this.#options;
    const end = clock.now() + waitMs;
    for (;;) {
      const entries = await this.entries();
      if (entries.err) return entries;
      const hasRevision = ({ status }: EntryWithStatus): boolean =>
        status.ok && status.val.configRevision >= revision;
      const confirmed = entries.val.filter(hasRevision);
      const waiting = entries.val.filter((entry) => !hasRevision(entry));
      const left = end - clock.now();
      if (waiting.length === 0 || left <= 0) return Ok({ confirmed, waiting });
      await clock.sleep(Math.min(POLL_INTERVAL_MS, left));
    }
  }
}

/** Returns a list of one session, or an empty list if the value is malformed. */
function parseSession(value: string): readonly Session[] {
  try {
    const parsed = v.safeParse(SessionSchema, JSON.parse(value));
    return parsed.success ? [parsed.output] : [];
  } catch {
    return [];
  }
}
