import type { Clock } from "../../../ports/clock.ts";
import type { Job, StepRun, Task } from "../../../state/jobs/records/job.ts";
import type { RunRegistry } from "../../../state/jobs/execution/run-registry.ts";
import type { DurationModels } from "../../../state/jobs/scheduling/duration-model.ts";
import { capacityEndingSoon } from "../../../state/jobs/scheduling/ending-soon.ts";
import { resourcesOccupied } from "../../../state/jobs/scheduling/resources.ts";
import type { FleetConfigView } from "../config-view.ts";
import type { ServerDriver } from "../execution/server-driver.ts";
import { CandidateServers } from "./candidate-servers.ts";
import { withinOrganisationCap } from "./organisation-cap.ts";
import type { PlacementTicketCache } from "./placement-ticket-cache.ts";

/** Options of {@link RelocationRoom}. */
export interface RelocationRoomOptions {
  readonly clock: Clock;
  readonly config: FleetConfigView;
  readonly runRegistry: RunRegistry;
  readonly durations: DurationModels;
  readonly ticketCache: PlacementTicketCache;
}

/** A backend server that a task can move to. */
export interface RelocationTarget {
  readonly driver: ServerDriver;
  /** False while its room is still occupied by short tasks that are expected to end soon. */
  readonly free: boolean;
}

/** Room for long-running tasks on some backend servers at one moment. Each task that is taken uses it up. */
export class RelocationRoom {
  readonly #options: RelocationRoomOptions;
  readonly #drivers: readonly ServerDriver[];
  readonly #freeNow: CandidateServers;
  readonly #freeSoon: CandidateServers;

  constructor(drivers: readonly ServerDriver[], options: RelocationRoomOptions) {
    this.#options = options;
    this.#drivers = drivers;
    const { clock, runRegistry, durations } = options;
    const now = clock.now();
    this.#freeNow = new CandidateServers(drivers, runRegistry);
    this.#freeSoon = new CandidateServers(drivers, runRegistry, {
      endingSoon: (server) => capacityEndingSoon(server, runRegistry, durations, now),
    });
  }

  /** Uses up the room for the long-running tasks of jobs that the next placement round may start. */
  takeWaiting(jobs: Iterable<Job>): void {
    for (const job of jobs)
      for (const step of job.readySteps()) if (step.spec.longRunning) this.#takeWaitingOf(step);
  }

  /** Uses up the room for a task on an allowed server. Returns undefined if none has room for it. */
  take(
    task: Task,
    isAllowed: (driver: ServerDriver) => boolean = () => true,
  ): RelocationTarget | undefined {
    const { step } = task;
    const allowed = this.#allowedServers(step, isAllowed);
    const demand = resourcesOccupied(step.spec);
    const freeNow = this.#freeNow.choose(task, demand, allowed);
    const driver = freeNow ?? this.#freeSoon.choose(task, demand, allowed);
    if (driver === undefined) return undefined;
    this.#freeNow.allocate(driver.id, step);
    this.#freeSoon.allocate(driver.id, step);
    return { driver, free: freeNow !== undefined };
  }

  /** Allows servers with a valid ticket where the queue needs one, and requests the missing tickets. */
  #allowedServers(
    step: StepRun,
    isAllowed: (driver: ServerDriver) => boolean,
  ): (server: string) => boolean {
    const { config, ticketCache } = this.#options;
    const allowed = new Set(this.#drivers.filter(isAllowed).map(({ id }) => id));
    const timing = config.queueOf(step.job.spec)?.advice;
    if (timing === undefined) return (server) => allowed.has(server);
    ticketCache.requestTickets(step, [...allowed], timing);
    return (server) => allowed.has(server) && ticketCache.ticket(step, server) !== undefined;
  }

  #takeWaitingOf({ job, spec, tasks }: StepRun): void {
    const { clock, runRegistry } = this.#options;
    if (!withinOrganisationCap(job.spec.organisation, spec.demand, this.#options)) return;
    const now = clock.now();
    for (const task of tasks) {
      const mayStart = task.waiting && task.notBefore <= now;
      if (mayStart && runRegistry.reservedServer(task) === undefined) this.take(task);
    }
  }
}
