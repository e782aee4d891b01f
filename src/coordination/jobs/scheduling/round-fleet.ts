import { resourcesOccupied } from "../../../state/jobs/scheduling/resources.ts";
import type { PlanCapacity } from "../../../state/jobs/scheduling/queue-plan.ts";
import {
  PlannedFleet,
  PlannedPool,
  shareholder,
} from "../../../state/jobs/scheduling/step-planner.ts";
import type { RunRegistry } from "../../../state/jobs/execution/run-registry.ts";
import type { FleetConfigView } from "../config-view.ts";
import type { ServerDriver } from "../execution/server-driver.ts";

const MILLIS_PER_CORE = 1000;

/** Options of {@link RoundFleet}. */
export interface RoundFleetOptions {
  readonly config: FleetConfigView;
  readonly runRegistry: RunRegistry;
  /** All backend servers of a pool. */
  readonly servers: (pool: string) => readonly ServerDriver[];
  readonly acceptsTasks: (driver: ServerDriver) => boolean;
  /** Cores of a pool once it has the size that its demand requires; 0 if instances do not move. */
  readonly expectedCores: (pool: string) => number;
  /** Unix time in ms. */
  readonly wallTimeMs: number;
}

/** Capacity and use of the pools at the beginning of a placement round. */
export class RoundFleet extends PlannedFleet {
  readonly #options: RoundFleetOptions;

  constructor(options: RoundFleetOptions) {
    super();
    this.#options = options;
  }

  pool(name: string): PlannedPool {
    const { servers, expectedCores } = this.#options;
    return new RoundPool(servers(name), expectedCores(name), this.#options);
  }

  weight(organisation: string): number | undefined {
    return this.#options.config.organisation(organisation)?.weight;
  }
}

/** Use of a pool, read only when its waiting tasks do not all fit. */
interface PoolUse {
  readonly longRunningCores: number;
  readonly occupied: ReadonlyMap<string, number>;
}

class RoundPool extends PlannedPool implements PlanCapacity {
  readonly freeCores: number;
  readonly wallTimeMs: number;
  readonly #servers: readonly ServerDriver[];
  readonly #options: RoundFleetOptions;
  readonly #acceptingCores: number;
  readonly #expectedCores: number;
  #use: PoolUse | undefined;

  constructor(servers: readonly ServerDriver[], expectedCores: number, options: RoundFleetOptions) {
    super();
    this.#servers = servers;
    this.#expectedCores = expectedCores;
    this.#options = options;
    this.wallTimeMs = options.wallTimeMs;
    let freeMillis = 0;
    let acceptingMillis = 0;
    for (const driver of servers) {
      if (!options.acceptsTasks(driver)) continue;
      const { cpuMillis } = driver.registration.capacity;
      acceptingMillis += cpuMillis;
      freeMillis += Math.max(0, cpuMillis - options.runRegistry.usedOnServer(driver.id).cpuMillis);
    }
    this.freeCores = freeMillis / MILLIS_PER_CORE;
    this.#acceptingCores = acceptingMillis / MILLIS_PER_CORE;
  }

  /** Instances on their way count, since a pool grows within the time that most jobs have. */
  get cores(): number {
    const cores = Math.max(this.#acceptingCores, this.#expectedCores);
    return Math.max(0, cores - this.#readUse().longRunningCores);
  }

  capacity(): PlanCapacity {
    return this;
  }

  occupied(): ReadonlyMap<string, number> {
    return this.#readUse().occupied;
  }

  #readUse(): PoolUse {
    return (this.#use ??= poolUse(this.#servers, this.#options));
  }
}

function poolUse(
  servers: readonly ServerDriver[],
  { runRegistry, acceptsTasks }: RoundFleetOptions,
): PoolUse {
  const occupied = new Map<string, number>();
  let longRunningCores = 0;
  for (const driver of servers) {
    const accepting = acceptsTasks(driver);
    for (const { task } of runRegistry.onServer(driver.id)) {
      const { spec, job } = task.step;
      const cores = resourcesOccupied(spec).cpuMillis / MILLIS_PER_CORE;
      if (spec.longRunning) {
        if (accepting) longRunningCores += cores;
        continue;
      }
      const name = shareholder(job);
      occupied.set(name, (occupied.get(name) ?? 0) + cores);
    }
  }
  return { longRunningCores, occupied };
}
