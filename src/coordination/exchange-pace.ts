import type { Clock } from "../ports/clock.ts";
import type { Random } from "../ports/random.ts";
import { WAIT_ENDED } from "./wait.ts";

/**
 * Longest pause while loads do not change, in milliseconds. Two exchanges fit within the 3 s for
 * which a peer counts as in contact, so one lost reply does not end the contact.
 */
const IDLE_PAUSE_MS = 1250;
/** Part of the longest pause that is varied, so that exchanges do not fall into step. */
const IDLE_JITTER = 0.12;

/** Options of {@link ExchangePace}. */
export interface ExchangePaceOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Mean pause while work is queued or loads change, in milliseconds. */
  readonly intervalMs: number;
}

type Urgency = "idle" | "soon" | "now";

/** Time between the exchanges with one peer. */
export class ExchangePace {
  readonly #options: ExchangePaceOptions;
  #pause: AbortController | undefined;
  #urgency: Urgency = "idle";
  #ended = false;

  constructor(options: ExchangePaceOptions) {
    this.#options = options;
  }

  /** Shortens the present or the next pause to the interval for work. */
  soon(): void {
    if (this.#urgency === "idle") this.#raise("soon");
  }

  /** Ends the present or the next pause at once. */
  now(): void {
    this.#raise("now");
  }

  /** Ends every pause for good. */
  end(): void {
    this.#ended = true;
    this.#pause?.abort(WAIT_ENDED);
  }

  /** Waits until the next exchange is due. */
  async pause(): Promise<void> {
    const { clock, random } = this.#options;
    const startedAt = clock.now();
    const draw = random.next();
    while (!this.#ended) {
      const left = startedAt + this.#pauseMs(draw) - clock.now();
      if (left <= 0) break;
      this.#pause = new AbortController();
      await clock.sleep(left, this.#pause.signal);
    }
    this.#pause = undefined;
    this.#urgency = "idle";
  }

  #raise(urgency: Urgency): void {
    this.#urgency = urgency;
    this.#pause?.abort(WAIT_ENDED);
  }

  #pauseMs(draw: number): number {
    if (this.#urgency === "now") return 0;
    const soonMs = this.#options.intervalMs * (0.75 + draw / 2);
    if (this.#urgency === "soon") return soonMs;
    return Math.max(soonMs, IDLE_PAUSE_MS * (1 - IDLE_JITTER * draw));
  }
}
