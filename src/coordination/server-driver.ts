/** Decides when this entry holds one server's lease and when it hands the lease over. */
import type { Clock } from "../platform/clock.ts";
import type { Random } from "../platform/random.ts";
import { rendezvous } from "../state/rendezvous.ts";
import type { ServerLease } from "./server-lease.ts";

/** Interval of attempts to acquire a server, below the 2 s for which a successor is awaited. */
export const ATTEMPT_MS = 400;
/** Time for which another holder must have been preferred before a server is handed over. */
const STABLE_MS = 2000;
/** A server that came back this soon after a hand-over is not handed over again for a while. */
const RETURNED_MS = 30_000;
const HANDOVER_PAUSE_MS = 60_000;

/** Options of {@link ServerDriver}. */
export interface ServerDriverOptions {
  readonly name: string;
  readonly address: string;
  readonly lease: ServerLease;
  readonly self: string;
  readonly leaseTtlMs: number;
  readonly clock: Clock;
  readonly random: Random;
  /** Incarnations of the zone that may hold servers, this one included. */
  readonly liveMembers: () => readonly string[];
  /** True if a peer in contact says that it holds the server. */
  readonly heldByPeer: (server: string) => boolean;
}

/** Drives one server until stopped. */
export class ServerDriver {
  readonly lease: ServerLease;
  readonly address: string;
  readonly #options: ServerDriverOptions;
  readonly #stopped = new AbortController();
  /** Monotonic time at which another holder was last known. */
  #heldElsewhereAt: number;
  #otherPreferredSince: number | undefined;
  #handedOverAt = -Infinity;

  constructor(options: ServerDriverOptions) {
    this.#options = options;
    this.lease = options.lease;
    this.address = options.address;
    this.#heldElsewhereAt = options.clock.now();
  }

  /** Tries to acquire the server while it is this entry's turn, until {@link stop}. */
  async run(): Promise<void> {
    const { clock, random } = this.#options;
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      if (this.#mayAcquire()) {
        const err = await this.lease.tryHold();
        if (err === undefined || err.kind === "held") this.#heldElsewhereAt = clock.now();
      }
      await clock.sleep(ATTEMPT_MS * (0.5 + random.next() / 2), signal);
    }
  }

  /** Ends the attempts and gives the lease up in favour of a successor. */
  async stop(successor: string | undefined): Promise<void> {
    this.#stopped.abort();
    await this.lease.close(successor);
  }

  /** Hands the server over if another entry has been preferred for a while. */
  handOverIfDue(): void {
    const { clock, self } = this.#options;
    const now = clock.now();
    const preferred = this.#preferred();
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

  #preferred(): string | undefined {
    return rendezvous(this.#options.name, this.#options.liveMembers());
  }

  /** The preferred entry takes a server at once, any other only if nobody holds it. */
  #mayAcquire(): boolean {
    const { clock, self, leaseTtlMs, name, heldByPeer, liveMembers } = this.#options;
    if (heldByPeer(name)) this.#heldElsewhereAt = clock.now();
    if (!liveMembers().includes(self)) return false;
    if (this.#preferred() === self) return true;
    return clock.now() - this.#heldElsewhereAt >= leaseTtlMs;
  }

  /** True if the preferred entry did not take the server the last time, so it may not reach it. */
  #cameBack(now: number): boolean {
    const heldSince = now - this.lease.heldForMs;
    return heldSince - this.#handedOverAt < RETURNED_MS && now - heldSince < HANDOVER_PAUSE_MS;
  }
}
