import type { Clock } from "../ports/clock.ts";
import type { Peers } from "./ports.ts";

const MAX_RESERVE = 4;
/** All entries together reserve at most this part of an upper limit. */
const RESERVE_PART = 1 / 4;
/** A reserve that was given to a peer is raised again after this time, in milliseconds. */
const PAUSE_MS = 10_000;

/** Options of {@link BudgetReserve}. */
export interface BudgetReserveOptions {
  readonly clock: Clock;
  readonly peers: Peers;
}

/**
 * Unused budget of each team that an entry keeps without demand. Without it the first task of a
 * team would wait for a raise, which is not possible at all while the platform is down.
 */
export class BudgetReserve {
  readonly #options: BudgetReserveOptions;
  /** Monotonic time at which a peer last asked for budget of a team and got some. */
  readonly #givenAt = new Map<string, number>();

  constructor(options: BudgetReserveOptions) {
    this.#options = options;
  }

  /** Reserve in tasks of a team with this upper limit. */
  sizeFor(limit: number): number {
    const entries = this.#options.peers.gossip().size + 1;
    return Math.min(MAX_RESERVE, Math.floor((limit * RESERVE_PART) / entries));
  }

  /** Notes that a peer gets budget of the team. */
  recordRelease(team: string): void {
    this.#givenAt.set(team, this.#options.clock.now());
  }

  /** False for a while after a peer was given budget of the team. */
  mayRaise(team: string): boolean {
    const givenAt = this.#givenAt.get(team) ?? -Infinity;
    return this.#options.clock.now() - givenAt >= PAUSE_MS;
  }
}
