import { WAIT_ENDED } from "./wait.ts";

/** Longest wait of a poll; an idle server costs little more than the renewals of its lease. */
const POLL_WAIT_MS = 30_000;
/** Wait at a server whose renewals do not show whether a poll's reply was lost. */
const UNCHECKED_POLL_WAIT_MS = 2000;

/**
 * How far the polls for a server's events are behind the server. A reply can be lost while its poll
 * seems to wait; the position in the replies to renewals shows that.
 */
export class EventProgress {
  #delivered = 0;
  #checked = false;
  /** A position that a renewal showed before any poll delivered it. */
  #awaited: { readonly position: number; readonly since: number } | undefined;
  #poll = new AbortController();

  /** Position up to which events were delivered. */
  get delivered(): number {
    return this.#delivered;
  }

  /** Time for which the next poll may wait, in milliseconds. */
  get pollWaitMs(): number {
    return this.#checked ? POLL_WAIT_MS : UNCHECKED_POLL_WAIT_MS;
  }

  /** Takes the position of a poll's reply. */
  advance(position: number): void {
    this.#delivered = position;
  }

  /**
   * Takes the position of a renewal's reply, undefined if the server omits it. The present poll
   * counts as lost once an event was not delivered for `patienceMs`.
   */
  recordRenewal(position: number | undefined, now: number, patienceMs: number): void {
    this.#checked = position !== undefined;
    if (position === undefined || position <= this.#delivered) {
      this.#awaited = undefined;
      return;
    }
    if (this.#awaited === undefined || this.#awaited.position <= this.#delivered) {
      this.#awaited = { position, since: now };
    } else if (now - this.#awaited.since >= patienceMs) {
      this.#awaited = undefined;
      this.#poll.abort(WAIT_ENDED);
    }
  }

  /** The poll's reply; undefined as soon as it counts as lost, or the signal aborts. */
  async replyOrLoss<T>(poll: Promise<T>, signal: AbortSignal): Promise<T | undefined> {
    const lost = new AbortController();
    this.#poll = lost;
    return new Promise((resolve, reject) => {
      const giveUp = (): void => {
        signal.removeEventListener("abort", giveUp);
        resolve(undefined);
      };
      lost.signal.addEventListener("abort", giveUp);
      signal.addEventListener("abort", giveUp);
      poll.then((reply) => {
        signal.removeEventListener("abort", giveUp);
        resolve(reply);
      }, reject);
    });
  }
}
