/** Decides when this entry holds one server's lease and when it hands the lease over. */
import type { Clock } from "../ports/clock.ts";
import { rendezvous } from "../state/rendezvous.ts";
import type { ServerLease } from "./server-lease.ts";

/** Interval of attempts to acquire a server, below the 2 s for which a successor is awaited. */
export const ACQUIRE_INTERVAL_MS = 400;
/** Time for which another holder must have been preferred before a server is handed over. */
const STABLE_MS = 2000;
/** A server that came back this soon after a hand-over is not handed over again for a while. */
const RETURNED_MS = 30_000;
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

/** What is known of the other entries at one time; the same for all servers. */
export interface ZoneHolders {
  /** Incarnations of the zone that may hold servers, this one included. */
  readonly liveMembers: readonly string[];
  /** Servers that peers in contact say they hold. */
  readonly heldByPeers: ReadonlySet<string>;
}

/**
 * Drives one server until stopped. It has no timer of its own: most servers of a zone are held by
 * others, and a timer for each made up most of an idle entry's wake-ups.
 */
export class LeaseController {
  readonly lease: ServerLease;
  readonly address: string;
  readonly #options: LeaseControllerOptions;
  #stopped = false;
  #attempting = false;
  /** Monotonic time at which another holder was last known. */
  #heldElsewhereAt: number;
  #otherPreferredSince: number | undefined;
  #handedOverAt = -Infinity;

  constructor(options: LeaseControllerOptions) {
    this.#options = options;
    this.lease = options.lease;
    this.address = options.address;
    this.#heldElsewhereAt = options.clock.now();
  }

  /** Tries to acquire the server if it is this entry's turn, or hands it over if that is due. */
  reconcile(view: ZoneHolders): void {
    if (this.#stopped) return;
    this.#handOverIfDue(view);
    if (!this.#attempting && this.#mayAcquire(view)) void this.#attempt();
  }

  /** Ends the attempts and gives the lease up in favour of a successor. */
  async stop(successor: string | undefined): Promise<void> {
    this.#stopped = true;
    await this.lease.close(successor);
  }

  async #attempt(): Promise<void> {
    this.#attempting = true;
    const err = await this.lease.tryHold();
    if (err === undefined || err.kind === "held") this.#heldElsewhereAt = this.#options.clock.now();
    this.#attempting = false;
  }

  /** Hands the server over if another entry has been preferred for a while. */
  #handOverIfDue(view: ZoneHolders): void {
    const { clock, self } = this.#options;
    const now = clock.now();
    const preferred = this.#preferred(view);
    if (this.lease.leaseId === undefined || preferred === undefined || preferred === self) {
      this.#otherPreferredSince = undefined;
      return;
    }
    this.#otherPreferredSince ??= now;
    if (now - this.#otherPreferredSince < STABLE_MS || this.#cameBack(now)) return;
    this.#handedOverAt = now;
    this.#otherPreferredSince = undefined;
    void this.lease.release(preferred);
  }

  #preferred({ liveMembers }: ZoneHolders): string | undefined {
    return rendezvous(this.#options.name, liveMembers);
  }

  /** The preferred entry takes a server at once, any other only if nobody holds it. */
  #mayAcquire(view: ZoneHolders): boolean {
    const { clock, self, leaseTtlMs, name } = this.#options;
    if (view.heldByPeers.has(name)) this.#heldElsewhereAt = clock.now();
    if (!view.liveMembers.includes(self)) return false;
    if (this.#preferred(view) === self) return true;
    return clock.now() - this.#heldElsewhereAt >= leaseTtlMs;
  }

  /** True if the preferred entry did not take the server the last time, so it may not reach it. */
  #cameBack(now: number): boolean {
    const heldSince = now - this.lease.heldForMs;
    return heldSince - this.#handedOverAt < RETURNED_MS && now - heldSince < HANDOVER_PAUSE_MS;
  }
}
