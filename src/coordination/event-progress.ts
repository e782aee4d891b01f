import { WAIT_ENDED } from "./wait.ts";

/** Longest wait of a poll; an idle server then costs little more than its lease renewals. */
const POLL_WAIT_MS = 30_000;
/** Longest wait of a poll if lease renewals do not show whether its reply was lost. */
const UNCHECKED_POLL_WAIT_MS = 2000;

/**
 * Tracks how far the event polls of a server lag behind the server. A poll whose reply was lost
 * cannot be told from one that still waits. The position in replies to lease renewals shows the
 * loss.
 */
export class EventProgress {
  #delivered = 0;
  #lossDetectable = false;
  /** A position reported by a renewal that no poll has delivered yet. */
  #undelivered: { readonly position: number; readonly since: number } | undefined;
  #poll = new AbortController();

  /** Position up to which events have been delivered. */
  get delivered(): number {
    return this.#delivered;
  }

  /** Wait of the next poll in milliseconds. */
  get pollWaitMs(): number {
    return this.#lossDetectable ? POLL_WAIT_MS : UNCHECKED_POLL_WAIT_MS;
  }

  /** Records the position in a poll's reply. */
  advance(position: number): void {
    this.#delivered = position;
  }

  /**
   * Records the position in a renewal's reply, undefined if the server omits it. The current poll
   * counts as lost once an event has not been delivered for `lostAfterMs`.
   */
  recordRenewal(position: number | undefined, now: number, lostAfterMs: number): void {
    this.#lossDetectable = position !== undefined;
    if (position === undefined || position <= this.#delivered) {
      this.#undelivered = undefined;
      return;
    }
    if (this.#undelivered === undefined || this.#undelivered.position <= this.#delivered) {
      this.#undelivered = { position, since: now };
    } else if (now - this.#undelivered.since >= lostAfterMs) {
      this.#undelivered = undefined;
      this.#poll.abort(WAIT_ENDED);
    }
  }

  /** The poll's reply; undefined as soon as the poll counts as lost or the signal aborts. */
  async replyOrLoss<T>(poll: Promise<T>, signal: AbortSignal): Promise<T | undefined> {
    const lost = new AbortController();
    this.#poll = lost;
    return new Promise((resolve, reject) => {
      const resolveAsLost = (): void => {
        signal.removeEventListener("abort", resolveAsLost);
        resolve(undefined);
      };
      lost.signal.addEventListener("abort", resolveAsLost);
      signal.addEventListener("abort", resolveAsLost);
      poll.then((reply) => {
        signal.removeEventListener("abort", resolveAsLost);
        resolve(reply);
      }, reject);
    });
  }
}
