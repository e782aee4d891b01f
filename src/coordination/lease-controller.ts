/** Decides when this entry holds one server's lease and when it hands the lease over. */
import type { Clock } from "../ports/clock.ts";
import { selectByRendezvous } from "../state/rendezvous.ts";
import type { ServerLease } from "./server-lease.ts";

/** Interval between attempts to acquire a server; below the 2 s reserved for a named successor. */
export const ACQUIRE_INTERVAL_MS = 400;
/** Time for which another entry must have been preferred before a server is handed over. */
const PREFERENCE_STABLE_MS = 2000;
/** A server acquired again this soon after a handover is kept for {@link HANDOVER_PAUSE_MS}. */
const RETURN_WINDOW_MS = 30_000;
const HANDOVER_PAUSE_MS = 60_000;

/** Options of {@link LeaseController}. */
export interface LeaseControllerOptions {
  readonly name: string;
  readonly address: string;
  readonly lease: ServerLease;
  readonly self: string;
  readonly leaseTtlMs: number;
  readonly clock: Clock;
}

/** Entries that may hold servers of the zone, as known at one time; the same for all servers. */
export interface ZoneHolders {
  /** Incarnations of the zone that may hold servers, including this one. */
  readonly liveMembers: readonly string[];
  /** Servers that peers in contact report as held. */
  readonly heldByPeers: ReadonlySet<string>;
}

/**
 * Acquires and hands over the lease of one server until stopped. It has no timer of its own: most
 * servers of a zone are held by other entries, and a timer per server caused most of the wakeups of
 * an idle entry.
 */
export class LeaseController {
  readonly lease: ServerLease;
  readonly address: string;
  readonly #options: LeaseControllerOptions;
  #stopped = false;
  #attempting = false;
  /**
   * Monotonic time at which any entry, including this one, was last known to hold the server;
   * initially the time of creation.
   */
  #lastKnownHeldAt: number;
  #otherPreferredSince: number | undefined;
  #handedOverAt = -Infinity;

  constructor(options: LeaseControllerOptions) {
    this.#options = options;
    this.lease = options.lease;
    this.address = options.address;
    this.#lastKnownHeldAt = options.clock.now();
  }

  /** Hands the server over if that is due, and tries to acquire it if this entry may. */
  reconcile(holders: ZoneHolders): void {
    if (this.#stopped) return;
    this.#handOverIfDue(holders);
    if (!this.#attempting && this.#mayAcquire(holders)) void this.#attempt();
  }

  /** Stops the attempts and releases the lease in favour of a successor. */
  async stop(successor: string | undefined): Promise<void> {
    this.#stopped = true;
    await this.lease.close(successor);
  }

  async #attempt(): Promise<void> {
    this.#attempting = true;
    const err = await this.lease.tryHold();
    if (err === undefined || err.kind === "held") this.#lastKnownHeldAt = this.#options.clock.now();
    this.#attempting = false;
  }

  /** Hands the server over if another entry has been preferred for {@link PREFERENCE_STABLE_MS}. */
  #handOverIfDue(holders: ZoneHolders): void {
    const { clock, self } = this.#options;
    const now = clock.now();
    const preferred = this.#preferred(holders);
    if (this.lease.leaseId === undefined || preferred === undefined || preferred === self) {
      this.#otherPreferredSince = undefined;
      return;
    }
    this.#otherPreferredSince ??= now;
    if (now - this.#otherPreferredSince < PREFERENCE_STABLE_MS || this.#returnedAfterHandover(now))
      return;
    this.#handedOverAt = now;
    this.#otherPreferredSince = undefined;
    void this.lease.release(preferred);
  }

  #preferred({ liveMembers }: ZoneHolders): string | undefined {
    return selectByRendezvous(this.#options.name, liveMembers);
  }

  /**
   * The preferred entry may acquire a server at once; any other only if no holder was known for one
   * lease time to live.
   */
  #mayAcquire(holders: ZoneHolders): boolean {
    const { clock, self, leaseTtlMs, name } = this.#options;
    if (holders.heldByPeers.has(name)) this.#lastKnownHeldAt = clock.now();
    if (!holders.liveMembers.includes(self)) return false;
    if (this.#preferred(holders) === self) return true;
    return clock.now() - this.#lastKnownHeldAt >= leaseTtlMs;
  }

  /**
   * True if the preferred entry did not acquire the server after the last handover, possibly because
   * it cannot reach the server.
   */
  #returnedAfterHandover(now: number): boolean {
    const heldSince = now - this.lease.heldForMs;
    return heldSince - this.#handedOverAt < RETURN_WINDOW_MS && now - heldSince < HANDOVER_PAUSE_MS;
  }
}
