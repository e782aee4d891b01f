import type { Log } from "../../../ports/log.ts";
import type { RunRegistry } from "../../../state/jobs/execution/run-registry.ts";
import type { Counters } from "../../ports.ts";
import type { FleetConfigView } from "../config-view.ts";
import type { ServerDriver } from "../execution/server-driver.ts";
import type { TaskRelocator } from "../scheduling/task-relocator.ts";

/** Options of {@link ZoneEvacuator}. */
export interface ZoneEvacuatorOptions {
  readonly log: Log;
  readonly counters: Counters;
  readonly config: FleetConfigView;
  readonly runRegistry: RunRegistry;
  readonly relocator: TaskRelocator;
  readonly drivers: () => Iterable<ServerDriver>;
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
    const { runRegistry, relocator } = this.#options;
    const leaving = drivers
      .filter(({ evacuated }) => evacuated)
      .flatMap(({ id }) => runRegistry.onServer(id))
      .filter(({ task }) => task.step.spec.longRunning);
    relocator.relocate(leaving, { reason: "evacuation", maxMoving: 1 });
  }
}
