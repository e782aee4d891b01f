import type { StepRun, Task } from "../../../state/jobs/records/job.ts";
import { resourcesOccupied } from "../../../state/jobs/scheduling/resources.ts";
import type { RunRegistry } from "../../../state/jobs/execution/run-registry.ts";
import type { ServerDriver } from "../execution/server-driver.ts";
import { CandidateServers } from "./candidate-servers.ts";

/** Options of {@link PoolCandidates}. */
export interface PoolCandidatesOptions {
  /** All backend servers of the pool. */
  readonly drivers: readonly ServerDriver[];
  readonly runRegistry: RunRegistry;
  /** Monotonic time in ms. */
  readonly now: number;
  /** Choices after which the servers are indexed; see {@link CandidateServers}. */
  readonly indexAfterChoices?: number | undefined;
}

/** Backend servers of a pool that tasks may be placed on, by suitability. */
export class PoolCandidates {
  readonly healthy: CandidateServers;
  /** Slow or failing servers, used only for tasks that have waited for some time. */
  readonly degraded: CandidateServers;
  /** Healthy servers that drain as surplus, for long-running tasks that the others have too many of. */
  readonly surplus: CandidateServers;
  /** Servers that get no task yet, but soon will unless their first poll fails. */
  readonly #joining: CandidateServers;

  constructor({ drivers, runRegistry, now, indexAfterChoices }: PoolCandidatesOptions) {
    const healthy: ServerDriver[] = [];
    const degraded: ServerDriver[] = [];
    const surplus: ServerDriver[] = [];
    const joining: ServerDriver[] = [];
    for (const driver of drivers) {
      if (driver.awaitsFirstPoll(now)) joining.push(driver);
      else if (driver.acceptsTasks(now))
        (isHealthy(driver, runRegistry, now) ? healthy : degraded).push(driver);
      else if (driver.isSurplus(now) && isHealthy(driver, runRegistry, now)) surplus.push(driver);
    }
    const options = { indexAfterChoices };
    this.healthy = new CandidateServers(healthy, runRegistry, options);
    this.degraded = new CandidateServers(degraded, runRegistry, options);
    this.surplus = new CandidateServers(surplus, runRegistry, options);
    this.#joining = new CandidateServers(joining, runRegistry, options);
  }

  /** Adds the demand of a task back that was placed on a server, or that capacity was reserved for. */
  release(server: string, step: StepRun): void {
    this.healthy.release(server, step);
    this.degraded.release(server, step);
    this.surplus.release(server, step);
  }

  /** True if a long-running task would join too many others of its step on one healthy server. */
  isConcentrated(task: Task): boolean {
    const { spec } = task.step;
    if (!spec.longRunning || spec.gang) return false;
    if (this.surplus.ids.length === 0 && this.#joining.ids.length === 0) return false;
    const chosen = this.healthy.choose(task, resourcesOccupied(spec));
    return chosen !== undefined && this.healthy.exceedsShare(task.step, chosen.id);
  }

  /** True if a server that is about to answer its first poll could take a task. */
  mayJoin(task: Task): boolean {
    return this.#joining.choose(task, resourcesOccupied(task.step.spec)) !== undefined;
  }
}

/**
 * False for slow or failing servers. From time to time such a server counts as healthy while it has no
 * short task, so that it gets a single one as a trial.
 */
function isHealthy(
  { id, health, speed }: ServerDriver,
  runRegistry: RunRegistry,
  now: number,
): boolean {
  if (!speed.slow && !health.onProbation) return true;
  if (health.quarantined(now) || (speed.slow && !speed.isTrialDue(now))) return false;
  return runRegistry.countOn(id) === runRegistry.longTasksOn(id);
}
