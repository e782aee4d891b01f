import type { Clock } from "../ports/clock.ts";

interface Window {
  readonly startedAt: number;
  minSpare: number;
}

/** Tracks the minimum unused budget of each team over a full time window. */
export class IdleWindow {
  readonly #clock: Clock;
  readonly #windowMs: number;
  readonly #windows = new Map<string, Window>();

  constructor({ clock, windowMs }: { readonly clock: Clock; readonly windowMs: number }) {
    this.#clock = clock;
    this.#windowMs = windowMs;
  }

  /** Records the unused budget after a change. */
  observe(team: string, spare: number): void {
    const window = this.#windows.get(team);
    if (window === undefined)
      this.#windows.set(team, { startedAt: this.#clock.now(), minSpare: spare });
    else window.minSpare = Math.min(window.minSpare, spare);
  }

  /** Returns the budget unused for the whole window and ends the window; 0 until it is full. */
  take(team: string, spare: number): number {
    this.observe(team, spare);
    const window = this.#windows.get(team);
    if (window === undefined || this.#clock.now() - window.startedAt < this.#windowMs) return 0;
    this.#windows.delete(team);
    return Math.max(0, window.minSpare);
  }
}
