import type { Clock } from "../../../ports/clock.ts";
import type { Job, StepRun } from "../../../state/jobs/records/job.ts";
import type { ActiveRun, RunRegistry } from "../../../state/jobs/execution/run-registry.ts";
import { exceedsShare, shareOfServer } from "../../../state/jobs/scheduling/placement.ts";
import type { TaskRelocator } from "../scheduling/task-relocator.ts";

/** Interval in ms between two checks. */
const INTERVAL_MS = 1000;

/** Options of {@link LongTaskSpreader}. */
export interface LongTaskSpreaderOptions {
  readonly clock: Clock;
  readonly runRegistry: RunRegistry;
  readonly relocator: TaskRelocator;
  readonly openJobs: () => Iterable<Job>;
}

/**
 * Spreads the tasks of long-running steps that run on too few backend servers, so that the loss of one server
 * does not end them all. They were placed there because the others were full, or had not joined yet.
 */
export class LongTaskSpreader {
  readonly #options: LongTaskSpreaderOptions;
  #checkedAt = -Infinity;

  constructor(options: LongTaskSpreaderOptions) {
    this.#options = options;
  }

  /** Begins to move one task of each step with more tasks on a server than its share. */
  run(): void {
    const { clock, openJobs } = this.#options;
    const now = clock.now();
    if (now - this.#checkedAt < INTERVAL_MS) return;
    this.#checkedAt = now;
    for (const job of openJobs())
      for (const step of job.activeSteps()) if (step.spec.longRunning) this.#spread(step);
  }

  #spread(step: StepRun): void {
    const { runRegistry, relocator } = this.#options;
    const counts = new Map<string, number>();
    const runs: ActiveRun[] = [];
    for (const task of step.tasks) {
      const run = runRegistry.forTask(task.name);
      if (run !== undefined) runs.push(run);
      for (const server of runRegistry.serversOf(task))
        counts.set(server, (counts.get(server) ?? 0) + 1);
    }
    const countOn = (server: string): number => counts.get(server) ?? 0;
    const crowded = runs.filter(({ server }) => countOn(server) > shareOfServer(step.spec));
    if (crowded.length === 0) return;
    relocator.relocate(crowded, {
      ...{ reason: "spread", maxMoving: 1 },
      isTarget: ({ id, maintenancePending }) =>
        !maintenancePending && !exceedsShare(step.spec, countOn(id)),
    });
  }
}
