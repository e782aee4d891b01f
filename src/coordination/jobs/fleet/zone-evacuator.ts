import type { Clock } from "../../../ports/clock.ts";
import type { Log } from "../../../ports/log.ts";
import type { Job, Task } from "../../../state/jobs/records/job.ts";
import { mayInterrupt } from "../../../state/jobs/fleet/availability.ts";
import { resourcesOccupied } from "../../../state/jobs/scheduling/resources.ts";
import type { ActiveRun, RunRegistry } from "../../../state/jobs/execution/run-registry.ts";
import type { Counters } from "../../ports.ts";
import type { FleetConfigView } from "../config-view.ts";
import type { ServerDriver } from "../execution/server-driver.ts";
import { CandidateServers } from "../scheduling/candidate-servers.ts";

/** Options of {@link ZoneEvacuator}. */
export interface ZoneEvacuatorOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly counters: Counters;
  readonly config: FleetConfigView;
  readonly runRegistry: RunRegistry;
  readonly drivers: () => Iterable<ServerDriver>;
  readonly openJobs: () => Iterable<Job>;
  /** Stops a run, so that its task is placed again. */
  readonly stop: (run: ActiveRun) => void;
}

/**
 * Moves long-running tasks out of evacuated availability zones, one at a time in each pool, within their
 * availability budgets and only while another zone has room for them. Short tasks are left to end.
 */
export class ZoneEvacuator {
  readonly #options: ZoneEvacuatorOptions;
  /** Evacuated zones that have been compared with the zones of the backend servers. */
  readonly #checkedZones = new Set<string>();

  constructor(options: ZoneEvacuatorOptions) {
    this.#options = options;
  }

  /** Stops the tasks that may move now. */
  run(): void {
    const { config } = this.#options;
    for (const zone of this.#checkedZones)
      if (!config.isEvacuated(zone)) this.#checkedZones.delete(zone);
    if (config.evacuatedZones.size === 0) return;
    const drivers = [...this.#options.drivers()];
    this.#reportUnknownZones(drivers);
    const pools = new Set(drivers.map(({ registration }) => registration.pool));
    for (const pool of pools)
      this.#moveOne(drivers.filter(({ registration }) => registration.pool === pool));
  }

  #reportUnknownZones(drivers: readonly ServerDriver[]): void {
    const { config, counters, log } = this.#options;
    for (const zone of config.evacuatedZones) {
      if (this.#checkedZones.has(zone)) continue;
      this.#checkedZones.add(zone);
      if (drivers.some(({ registration }) => registration.zone === zone)) continue;
      counters.event("evacuation_unknown_zone");
      log.warn({ evacuatedZone: zone }, "no backend server is in the evacuated zone");
    }
  }

  #moveOne(drivers: readonly ServerDriver[]): void {
    const { clock, config, counters, log, runRegistry, stop } = this.#options;
    const leaving = drivers
      .filter(({ evacuated }) => evacuated)
      .flatMap(({ id }) => runRegistry.onServer(id))
      .filter(({ task }) => task.step.spec.longRunning && !task.step.spec.gang);
    if (leaving.length === 0 || leaving.some(({ phase }) => phase === "stopping")) return;
    const now = clock.now();
    const accepting = drivers.filter((driver) => driver.acceptsTasks(now) && !driver.speed.slow);
    const room = new CandidateServers(accepting, runRegistry);
    const fits = (task: Task): boolean =>
      room.choose(task, resourcesOccupied(task.step.spec)) !== undefined;
    const pool = drivers[0]?.registration.pool;
    // A task that waits for the same room comes first.
    for (const job of this.#options.openJobs()) {
      if (config.poolOf(job.spec) !== pool) continue;
      for (const { spec, tasks } of job.readySteps())
        if (spec.longRunning && tasks.some((task) => task.waiting && fits(task))) return;
    }
    const run = leaving.find(
      (found) =>
        found.phase === "running" && mayInterrupt([found], runRegistry, now) && fits(found.task),
    );
    if (run === undefined) return;
    log.info({ task: run.task.name, server: run.server }, "task leaves the evacuated zone");
    counters.event("evacuation_move");
    stop(run);
  }
}
