import { Clock, type Timer } from "../../src/ports/clock.ts";

/** State of a simulated process. Its timers and incoming messages pass through this gate. */
export class ProcessGate {
  readonly #clock: Clock;
  #held: (() => void)[] = [];
  #state: "running" | "paused" | "dead" = "running";

  constructor({ clock }: { readonly clock: Clock }) {
    this.#clock = clock;
  }

  get paused(): boolean {
    return this.#state === "paused";
  }

  get dead(): boolean {
    return this.#state === "dead";
  }

  pause(): void {
    if (this.#state === "running") this.#state = "paused";
  }

  /** Resumes the process. Held callbacks run in order, and promises settle between them. */
  resume(): void {
    if (this.#state !== "paused") return;
    this.#state = "running";
    const held = this.#held;
    this.#held = [];
    for (const callback of held) {
      this.#clock.schedule(0, () => {
        this.run(callback);
      });
    }
  }

  /** Kills the process: none of its callbacks runs again. */
  kill(): void {
    this.#state = "dead";
    this.#held = [];
  }

  /** Resolves at once, or after the pause, or never if the process is dead. */
  untilRunning(): Promise<void> {
    return new Promise((resolve) => {
      this.run(resolve);
    });
  }

  /** Runs the callback at once, or after the pause, or never if the process is dead. */
  run(callback: () => void): void {
    if (this.#state === "paused") this.#held.push(callback);
    else if (this.#state === "running") callback();
  }
}

/** Options of {@link ProcessClock}. */
export interface ProcessClockOptions {
  readonly base: Clock;
  readonly gate: ProcessGate;
  /** Offset of this process's wall clock in milliseconds. @default 0 */
  readonly wallOffsetMs?: number;
}

/** Clock of a simulated process. Timers that are due while it is paused fire after it resumes. */
export class ProcessClock extends Clock {
  readonly #options: Required<ProcessClockOptions>;

  constructor({ wallOffsetMs = 0, ...rest }: ProcessClockOptions) {
    super();
    this.#options = { wallOffsetMs, ...rest };
  }

  now(): number {
    return this.#options.base.now();
  }

  wallTime(): number {
    return this.#options.base.wallTime() + this.#options.wallOffsetMs;
  }

  untilRunning(): Promise<void> {
    return this.#options.gate.untilRunning();
  }

  schedule(delayMs: number, callback: () => void): Timer {
    const { base, gate } = this.#options;
    let cancelled = false;
    const timer = base.schedule(delayMs, () => {
      gate.run(() => {
        if (!cancelled) callback();
      });
    });
    return {
      cancel: () => {
        cancelled = true;
        timer.cancel();
      },
    };
  }
}
