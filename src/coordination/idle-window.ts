import type { Clock } from "../ports/clock.ts";

interface Window {
  readonly startedAt: number;
  least: number;
}

/** Smallest unused budget of each team over a full window of time. */
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
      this.#windows.set(team, { startedAt: this.#clock.now(), least: spare });
    else window.least = Math.min(window.least, spare);
  }

  /** Budget that was unused for the whole window; 0 while the window is not full. */
  take(team: string, spare: number): number {
    this.observe(team, spare);
    const window = this.#windows.get(team);
    if (window === undefined || this.#clock.now() - window.startedAt < this.#windowMs) return 0;
    this.#windows.delete(team);
    return Math.max(0, window.least);
  }
}
