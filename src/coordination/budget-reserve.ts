import type { Clock } from "../ports/clock.ts";
import type { Peers } from "./ports.ts";

const MAX_RESERVED_TASKS = 4;
/** Maximum fraction of an upper limit that all entries together reserve. */
const MAX_RESERVE_FRACTION = 1 / 4;
/** Time in milliseconds after which a reserve that was released to a peer is raised again. */
const RAISE_PAUSE_MS = 10_000;

/** Options of {@link BudgetReserve}. */
export interface BudgetReserveOptions {
  readonly clock: Clock;
  readonly peers: Peers;
}

/**
 * Unused budget that an entry keeps for each team even without demand. Otherwise the first task of
 * a team would have to wait for a raise, which is impossible while the platform is down.
 */
export class BudgetReserve {
  readonly #options: BudgetReserveOptions;
  /** Monotonic time at which budget of a team was last released to a peer. */
  readonly #releasedAt = new Map<string, number>();

  constructor(options: BudgetReserveOptions) {
    this.#options = options;
  }

  /** Reserve of a team with this upper limit, in tasks. */
  sizeFor(limit: number): number {
    const entries = this.#options.peers.gossip().size + 1;
    return Math.min(MAX_RESERVED_TASKS, Math.floor((limit * MAX_RESERVE_FRACTION) / entries));
  }

  /** Records that budget of the team is released to a peer. */
  recordRelease(team: string): void {
    this.#releasedAt.set(team, this.#options.clock.now());
  }

  /** False for {@link RAISE_PAUSE_MS} after budget of the team was released to a peer. */
  mayRaise(team: string): boolean {
    const releasedAt = this.#releasedAt.get(team) ?? -Infinity;
    return this.#options.clock.now() - releasedAt >= RAISE_PAUSE_MS;
  }
}
