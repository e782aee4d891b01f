/** This entry's session: a key that is deleted when the entry stops renewing its lease. */
import type { Clock } from "../ports/clock.ts";
import type { KeyValueService } from "../ports/key-value-service.ts";
import type { Random } from "../ports/random.ts";
import type { Hello } from "../protocol/peer-messages.ts";
import { fullJitterMs } from "./backoff.ts";
import type { Counters } from "./ports.ts";

/** Prefix of session keys. */
export const SESSION_PREFIX = "sessions/";

const RETRY_BACKOFF = { baseMs: 100, maxMs: 2000 };

/** Options of {@link SessionKeeper}. */
export interface SessionKeeperOptions {
  readonly kv: KeyValueService;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly self: Hello;
  /** Address of the admin interface, used by operators' commands. */
  readonly adminAddress?: string;
  readonly sessionTtlMs: number;
}

/** Maintains the key `sessions/<incarnation>` under a key-value lease. */
export class SessionKeeper {
  readonly #options: SessionKeeperOptions;
  readonly #stopped = new AbortController();
  #lease: { readonly id: string; readonly validUntil: number } | undefined;

  constructor(options: SessionKeeperOptions) {
    this.#options = options;
  }

  /** Id of the key-value lease; undefined unless the lease is certainly valid. */
  get leaseId(): string | undefined {
    const valid = this.#lease !== undefined && this.#options.clock.now() < this.#lease.validUntil;
    return valid ? this.#lease?.id : undefined;
  }

  /** Renews the session until {@link stop}. */
  async run(): Promise<void> {
    const { clock, random, sessionTtlMs, counters } = this.#options;
    let retry = 0;
    while (!this.#stopped.signal.aborted) {
      const ok = await (this.#lease === undefined ? this.#open() : this.#renew());
      if (ok) retry = 0;
      else counters.retry("kv_unavailable");
      const delay = ok ? sessionTtlMs / 3 : 10 + fullJitterMs(random, retry++, RETRY_BACKOFF);
      await clock.sleep(delay, this.#stopped.signal);
    }
  }

  /** Ends the session at once, so that peers need not wait for the lease to expire. */
  async stop(): Promise<void> {
    this.#stopped.abort();
    const lease = this.#lease;
    this.#lease = undefined;
    if (lease !== undefined) await this.#options.kv.revokeLease(lease.id);
  }

  async #open(): Promise<boolean> {
    const { kv, clock, self, sessionTtlMs, adminAddress } = this.#options;
    const sentAt = clock.now();
    const grant = await kv.grantLease(sessionTtlMs);
    if (!grant.ok) return false;
    const key = `${SESSION_PREFIX}${self.incarnation}`;
    const value = JSON.stringify({
      incarnation: self.incarnation,
      address: self.address,
      zone: self.zone,
      adminAddress,
    });
    const old = await kv.get(key);
    if (!old.ok) return false;
    const expectedRevision = old.val?.revision ?? 0;
    const put = await kv.put({ key, value, expectedRevision, leaseId: grant.val });
    if (!put.ok) return false;
    this.#lease = { id: grant.val, validUntil: sentAt + sessionTtlMs * 0.9 };
    return true;
  }

  async #renew(): Promise<boolean> {
    const { kv, clock, sessionTtlMs } = this.#options;
    const lease = this.#lease;
    if (lease === undefined) return false;
    const sentAt = clock.now();
    const reply = await kv.renewLease(lease.id);
    if (reply.ok) this.#lease = { id: lease.id, validUntil: sentAt + sessionTtlMs * 0.9 };
    else if (reply.val.kind === "lease-lapsed") this.#lease = undefined;
    return reply.ok;
  }
}
