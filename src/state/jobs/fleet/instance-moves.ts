/** Remembers the moves of instances between pools, each until a known time after its last reply. */

/** Instance lists lag, so an accepted move counts for this time in ms. */
const ACCEPTED_MOVE_MS = 4000;
/**
 * Time in ms for which a move without a reply counts. It may still be carried out after that, which
 * ends the instance's tasks, but an instance that waits longer is lost capacity.
 */
const UNANSWERED_MOVE_MS = 2000;

/** A move that was ordered. */
export interface InstanceMove {
  readonly instance: string;
  /** Pool that the instance was ordered to. */
  readonly pool: string;
  /** Backend server that ran on the instance when the move was planned; undefined if none did. */
  readonly server: string | undefined;
  readonly outcome: "pending" | "accepted" | "unanswered";
}

interface TrackedMove extends InstanceMove {
  /** Monotonic time in ms from which the move no longer counts; undefined while it is pending. */
  readonly endsAt: number | undefined;
}

/**
 * Moves by instance. A move counts from its planning until its order was refused or, once the order
 * has an outcome, for a limited time, whatever instance lists show or whether there are any.
 */
export class InstanceMoves {
  readonly #moves = new Map<string, TrackedMove>();

  /** Records a move whose order is about to be queued. */
  planned(instance: string, pool: string, server: string | undefined): void {
    this.#moves.set(instance, { instance, pool, server, outcome: "pending", endsAt: undefined });
  }

  /** Records that the platform accepted the order, at a monotonic time in ms. */
  accepted(instance: string, now: number): void {
    this.#settle(instance, "accepted", now + ACCEPTED_MOVE_MS);
  }

  /** Records that the order got no reply, at a monotonic time in ms. */
  unanswered(instance: string, now: number): void {
    this.#settle(instance, "unanswered", now + UNANSWERED_MOVE_MS);
  }

  /** Forgets a move that was certainly not carried out. */
  refused(instance: string): void {
    this.#moves.delete(instance);
  }

  has(instance: string): boolean {
    return this.#moves.has(instance);
  }

  /** Pool that a moving instance counts towards; undefined if it is not moving. */
  targetPool(instance: string): string | undefined {
    return this.#moves.get(instance)?.pool;
  }

  /** Removes and returns the moves that no longer count at a monotonic time in ms. */
  takeEnded(now: number): readonly InstanceMove[] {
    const ended: InstanceMove[] = [];
    for (const move of this.#moves.values()) {
      if (move.endsAt === undefined || now < move.endsAt) continue;
      this.#moves.delete(move.instance);
      ended.push(move);
    }
    return ended;
  }

  #settle(instance: string, outcome: InstanceMove["outcome"], endsAt: number): void {
    const move = this.#moves.get(instance);
    if (move !== undefined) this.#moves.set(instance, { ...move, outcome, endsAt });
  }
}
