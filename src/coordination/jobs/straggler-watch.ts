import type { Clock } from "../../ports/clock.ts";
import type { Log } from "../../ports/log.ts";
import type { ActiveRun, RunBook } from "../../state/jobs/run-book.ts";
import {
  overdue,
  projectedRatio,
  serverToBlame,
  worthRestarting,
} from "../../state/jobs/run-speed.ts";
import type { ServerDriver } from "./server-driver.ts";

/** Age in ms of a progress that is too old to judge a run by. */
const MAX_PROGRESS_AGE_MS = 700;

/** A task that crawls everywhere takes longer than estimated, and must be left to end. */
const MAX_SLOW_RESTARTS = 2;

/** Options of {@link StragglerWatch}. */
export interface StragglerWatchOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly book: RunBook;
  readonly driver: (server: string) => ServerDriver | undefined;
  readonly stop: (run: ActiveRun) => void;
}

/** Has runs looked at that take too long, and stops those that would end sooner elsewhere. */
export class StragglerWatch {
  readonly #options: StragglerWatchOptions;

  constructor(options: StragglerWatchOptions) {
    this.#options = options;
  }

  /** Looks at every overdue run. */
  review(): void {
    const { clock, book, driver } = this.#options;
    const now = clock.now();
    for (const run of [...book.all()]) {
      if (!overdue(run, now)) continue;
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
    if (!worthRestarting(run, resumable)) return;
    if (!serverToBlame(run, this.#options.book.onServer(run.server), server.speed)) return;
    const ratio = projectedRatio(run);
    server.speed.observeSlowRun(ratio, now);
    this.#options.log.info(
      { task: task.name, server: server.id, ratio, percent },
      "slow run stops",
    );
    task.failedOn.add(server.id);
    task.slowRestarts++;
    this.#options.stop(run);
  }
}
