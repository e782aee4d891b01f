import type { Clock } from "../../../ports/clock.ts";
import type { Log } from "../../../ports/log.ts";
import type { ActiveRun, RunRegistry } from "../../../state/jobs/execution/run-registry.ts";
import type { DurationModels } from "../../../state/jobs/scheduling/duration-model.ts";
import {
  countSlowJobs,
  expectedDuration,
  isOverdue,
  projectedMs,
  isServerAtFault,
  shouldRestart,
  type ExpectedDuration,
} from "../../../state/jobs/execution/run-speed.ts";
import { TailAssessment } from "../../../state/jobs/execution/tail-assessment.ts";
import type { Counters } from "../../ports.ts";
import type { ServerDriver } from "./server-driver.ts";

/** Progress older than this time in ms is not used to assess a run. */
const MAX_PROGRESS_AGE_MS = 700;

/**
 * Maximum restarts of a slow task. A task that is slow on every server takes longer than estimated,
 * and must be allowed to finish.
 */
const MAX_SLOW_RESTARTS = 2;

/** Options of {@link StragglerDetector}. */
export interface StragglerDetectorOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly counters: Counters;
  readonly runRegistry: RunRegistry;
  readonly durations: DurationModels;
  readonly driver: (server: string) => ServerDriver | undefined;
  readonly stop: (run: ActiveRun) => void;
}

/** Detects runs that take too long, and stops those that would end sooner on another server. */
export class StragglerDetector {
  readonly #options: StragglerDetectorOptions;
  readonly #tails: TailAssessment;

  constructor(options: StragglerDetectorOptions) {
    this.#options = options;
    this.#tails = new TailAssessment(options.runRegistry, options.durations);
  }

  /** Checks every overdue run. If its last progress is too old, its server is polled first. */
  stopStragglers(): void {
    const { clock, runRegistry, driver, durations } = this.#options;
    const now = clock.now();
    const overdue: ActiveRun[] = [];
    for (const run of runRegistry.all()) if (isOverdue(run, now, durations)) overdue.push(run);
    for (const run of overdue) {
      const server = driver(run.server);
      const fresh = now - run.listedAt <= MAX_PROGRESS_AGE_MS && run.listedAt > run.since;
      if (!fresh) server?.requestPoll();
      else if (server !== undefined) this.#stopIfWorthwhile(run, server, now);
    }
  }

  #stopIfWorthwhile(run: ActiveRun, server: ServerDriver, now: number): void {
    const { task, percent } = run;
    const resumable = task.checkpoint === "" ? 0 : percent / 100;
    if (task.step.spec.gang || task.slowRestarts >= MAX_SLOW_RESTARTS) return;
    const { log, counters, runRegistry } = this.#options;
    const expected = this.#expectationOf(run);
    if (!shouldRestart(run, expected, resumable)) return;
    const slowJobs = countSlowJobs(runRegistry.onServer(run.server), (other) =>
      this.#expectationOf(other),
    );
    if (!isServerAtFault(run, expected, server.speed.ratio, slowJobs)) return;
    if (this.#tails.explains(run, expected, server)) return;
    if (!isServerAtFault(run, { ...expected, stuckRatio: Infinity }, server.speed.ratio, slowJobs))
      this.#tails.runStopped(run, expected);
    const expectedMs = Math.round(expected.ms);
    const projected = Math.round(projectedMs(run) ?? 0);
    server.speed.observeSlowRun(projected / expected.ms, now);
    log.info(
      { task: task.name, server: server.id, projectedMs: projected, expectedMs, percent },
      "slow run stops",
    );
    counters.event("slow_run_stopped");
    task.failedOn.add(server.id);
    task.slowRestarts++;
    this.#options.stop(run);
  }

  #expectationOf(run: ActiveRun): ExpectedDuration {
    return expectedDuration(run, this.#options.runRegistry, this.#options.durations);
  }
}
