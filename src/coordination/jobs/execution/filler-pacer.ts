import type { Clock } from "../../../ports/clock.ts";
import type { Log } from "../../../ports/log.ts";
import {
  FULL_PACE,
  nextPace,
  worstLatencyRatio,
  type FillerPace,
} from "../../../state/jobs/execution/pacing.ts";
import type { ActiveRun, RunRegistry } from "../../../state/jobs/execution/run-registry.ts";
import type { ServerDriver } from "./server-driver.ts";

/** Options of {@link FillerPacer}. */
export interface FillerPacerOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly runRegistry: RunRegistry;
}

/**
 * Slows down filler tasks (tasks that use spare capacity) while they raise the latency of serving
 * tasks on the same backend server.
 */
export class FillerPacer {
  readonly #options: FillerPacerOptions;
  readonly #paces = new Map<string, FillerPace>();

  constructor(options: FillerPacerOptions) {
    this.#options = options;
  }

  /** Recomputes the pace of a backend server's fillers after a poll, and sends it to the server. */
  adjustPace(driver: ServerDriver): void {
    const { clock, log, runRegistry } = this.#options;
    const fillers = runningFillers(runRegistry.runsOn(driver.id));
    if (fillers.length === 0) {
      this.#paces.delete(driver.id);
      return;
    }
    const runs = runRegistry.onServer(driver.id);
    const ratio = worstLatencyRatio(runs);
    const before = this.#paces.get(driver.id) ?? FULL_PACE;
    const pace = nextPace(before, ratio, clock.now());
    this.#paces.set(driver.id, pace);
    if (pace.percent !== before.percent)
      log.info({ server: driver.id, ratio, percent: pace.percent }, "filler pace changed");
    for (const run of fillers)
      if (run.pace !== pace.percent) void this.#orderPace(driver, run, pace);
  }

  async #orderPace(driver: ServerDriver, run: ActiveRun, { percent }: FillerPace): Promise<void> {
    const before = run.pace;
    run.pace = percent;
    // Restores the old pace, so that a refused order is repeated after the next poll.
    if (!(await driver.setPace(run.task.name, run.run, percent))) run.pace = before;
  }
}

function runningFillers(runs: Iterable<ActiveRun>): readonly ActiveRun[] {
  const fillers: ActiveRun[] = [];
  for (const run of runs)
    if (run.task.step.spec.filler && run.phase === "running") fillers.push(run);
  return fillers;
}
