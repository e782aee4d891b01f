import type { Clock } from "../ports/clock.ts";
import type { Random } from "../ports/random.ts";
import { WAIT_ENDED } from "./wait.ts";

/**
 * Longest pause while loads do not change, in milliseconds. Two exchanges fit into the 3 s for
 * which a peer counts as reachable, so that one lost reply does not make it unreachable.
 */
const IDLE_PAUSE_MS = 1250;
/** Maximum random reduction of that pause, as a ratio, so that exchanges do not synchronise. */
const IDLE_JITTER = 0.12;

/** Options of {@link ExchangePace}. */
export interface ExchangePaceOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Mean pause in milliseconds while work is queued or loads change. */
  readonly intervalMs: number;
}

type Urgency = "idle" | "soon" | "now";

/** Adapts the pause between gossip exchanges with one peer to the current urgency. */
export class ExchangePace {
  readonly #options: ExchangePaceOptions;
  #pause: AbortController | undefined;
  #urgency: Urgency = "idle";
  #disabled = false;

  constructor(options: ExchangePaceOptions) {
    this.#options = options;
  }

  /** Shortens the current or next pause to `intervalMs`, with jitter. */
  speedUp(): void {
    if (this.#urgency === "idle") this.#setUrgency("soon");
  }

  /** Ends the current pause at once, or skips the next one. */
  exchangeNow(): void {
    this.#setUrgency("now");
  }

  /** Ends the current pause and disables all later ones. */
  disable(): void {
    this.#disabled = true;
    this.#pause?.abort(WAIT_ENDED);
  }

  /** Waits until the next exchange is due. */
  async pause(): Promise<void> {
    const { clock, random } = this.#options;
    const startedAt = clock.now();
    const draw = random.next();
    while (!this.#disabled) {
      const left = startedAt + this.#pauseMs(draw) - clock.now();
      if (left <= 0) break;
      this.#pause = new AbortController();
      await clock.sleep(left, this.#pause.signal);
    }
    this.#pause = undefined;
    this.#urgency = "idle";
  }

  #setUrgency(urgency: Urgency): void {
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
