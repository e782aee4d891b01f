import type { Clock } from "../../../ports/clock.ts";
import type { Log } from "../../../ports/log.ts";
import type { RecordStore } from "../../../ports/record-store.ts";
import {
  encodeSession,
  SESSIONS_PREFIX,
  type SessionRecord,
} from "../../../protocol/job-records.ts";

/** Time to live of a session in ms; peers call a failed entry instance until it expires. */
const SESSION_TTL_MS = 3000;
/** Renewals also detect early that the store is unreachable. */
const RENEW_INTERVAL_MS = 1000;
const RENEW_RETRY_MS = 300;

/** Options of {@link SessionRegistration}. */
export interface SessionRegistrationOptions {
  readonly store: RecordStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly session: SessionRecord;
}

/** Keeps this entry instance's session registered in the store, so that peers can find it. */
export class SessionRegistration {
  readonly #options: SessionRegistrationOptions;

  constructor(options: SessionRegistrationOptions) {
    this.#options = options;
  }

  /** Registers and renews the session until the signal aborts, then ends it. */
  async run(signal: AbortSignal): Promise<void> {
    const { store, clock, log } = this.#options;
    let lease: number | undefined;
    let pauseMs = RENEW_INTERVAL_MS;
    while (!signal.aborted) {
      lease ??= await this.#register();
      await clock.sleep(pauseMs, signal);
      if (lease === undefined) continue;
      const kept = await store.renewLease(lease);
      pauseMs = kept.ok ? RENEW_INTERVAL_MS : RENEW_RETRY_MS;
      if (kept.ok || kept.val.kind !== "lease-ended") continue;
      log.info({ lease }, "session lease ended, registering again");
      lease = undefined;
    }
    if (lease !== undefined) await store.revokeLease(lease);
  }

  async #register(): Promise<number | undefined> {
    const { store, log, session } = this.#options;
    const lease = await store.grantLease(SESSION_TTL_MS);
    if (lease.err) return undefined;
    const { id } = lease.val;
    const put = {
      key: `${SESSIONS_PREFIX}${session.name}`,
      value: encodeSession(session),
      lease: id,
    };
    const written = await store.commit({ conditions: [], puts: [put] });
    if (written.ok) return id;
    log.warn({ err: written.val }, "session not registered");
    return undefined;
  }
}
