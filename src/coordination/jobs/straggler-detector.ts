import type { Clock } from "../../ports/clock.ts";
import type { Log } from "../../ports/log.ts";
import type { ActiveRun, RunRegistry } from "../../state/jobs/run-registry.ts";
import type { DurationModels } from "../../state/jobs/duration-model.ts";
import {
  countSlowJobs,
  expectedDuration,
  isOverdue,
  projectedMs,
  isServerAtFault,
  shouldRestart,
  type ExpectedDuration,
} from "../../state/jobs/run-speed.ts";
import type { Counters } from "../ports.ts";
import type { ServerDriver } from "./server-driver.ts";

/** Age in ms of a progress that is too old to judge a run by. */
const MAX_PROGRESS_AGE_MS = 700;

/** A task that crawls everywhere takes longer than estimated, and must be left to end. */
const MAX_SLOW_RESTARTS = 2;

/** Options of {@link StragglerDetector}. */
export interface StragglerDetectorOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly counters: Counters;
  readonly book: RunRegistry;
  readonly durations: DurationModels;
  readonly driver: (server: string) => ServerDriver | undefined;
  readonly stop: (run: ActiveRun) => void;
}

/** Has runs looked at that take too long, and stops those that would end sooner elsewhere. */
export class StragglerDetector {
  readonly #options: StragglerDetectorOptions;

  constructor(options: StragglerDetectorOptions) {
    this.#options = options;
  }

  /** Looks at every overdue run. */
  stopStragglers(): void {
    const { clock, book, driver, durations } = this.#options;
    const now = clock.now();
    for (const run of [...book.all()]) {
      if (!isOverdue(run, now, durations)) continue;
      const server = driver(run.server);
      const fresh = now - run.listedAt <= MAX_PROGRESS_AGE_MS && run.listedAt > run.since;
      if (!fresh) server?.wake();
      else if (server !== undefined) this.#judge(run, server, now);
    }
  }

  #judge(run: ActiveRun, server: ServerDriver, now: number): void {
    const { task, percent } = run;
    const resumable = task.checkpoint === "" ? 0 : percent / 100;
    if (task.step.spec.gang || task.slowRestarts >= MAX_SLOW_RESTARTS) return;
    const { log, counters, book } = this.#options;
    const expected = this.#expectation(run);
    if (!shouldRestart(run, expected, resumable)) return;
    const slowJobs = countSlowJobs(book.onServer(run.server), (other) => this.#expectation(other));
    if (!isServerAtFault(run, expected, server.speed.ratio, slowJobs)) return;
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

  #expectation(run: ActiveRun): ExpectedDuration {
    return expectedDuration(run, this.#options.book, this.#options.durations);
  }
}
