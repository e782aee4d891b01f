import type { Clock } from "../../../ports/clock.ts";
import type { ActiveRun } from "../../../state/jobs/execution/run-registry.ts";
import type { ServerDriver } from "./server-driver.ts";

/** Options of {@link RunStopper}. */
export interface RunStopperOptions {
  readonly clock: Clock;
  readonly driver: (server: string) => ServerDriver | undefined;
  /** Called with runs that have certainly not been started. */
  readonly notStarted: (run: ActiveRun) => void;
}

/** Orders stops. A run counts as active until a list requested after the stop shows its end. */
export class RunStopper {
  readonly #options: RunStopperOptions;

  constructor(options: RunStopperOptions) {
    this.#options = options;
  }

  /** Stops a run, unless a stop was ordered before. */
  stop(run: ActiveRun): void {
    if (run.phase === "recording") {
      this.#options.notStarted(run);
      return;
    }
    if (run.phase === "stopping") return;
    run.phase = "stopping";
    this.repeat(run);
  }

  /** Orders the stop of a stopping run again. */
  repeat(run: ActiveRun): void {
    run.since = Infinity;
    void this.#order(run);
  }

  async #order(run: ActiveRun): Promise<void> {
    const { driver, clock } = this.#options;
    const server = driver(run.server);
    await server?.stop(run.task.name, run.run);
    // The stop was not acknowledged, and is repeated on the server's next boot.
    if (server?.closed === true) return;
    // Only lists requested from now on prove that the run has ended.
    run.since = clock.now();
  }
}
