import type { Clock } from "../../../ports/clock.ts";
import type { JobQueueConfig } from "../../../protocol/fleet-config.ts";
import type { Resources } from "../../../protocol/job-spec.ts";
import type { DurationModels } from "../../../state/jobs/scheduling/duration-model.ts";
import type { Job, StepRun } from "../../../state/jobs/records/job.ts";
import { rankStep, UNKNOWN_QUEUE_URGENCY } from "../../../state/jobs/scheduling/job-order.ts";
import { instancesNeeded, type PoolClaim } from "../../../state/jobs/fleet/pool-sizing.ts";
import {
  add,
  NO_RESOURCES,
  resourcesOccupied,
  times,
} from "../../../state/jobs/scheduling/resources.ts";
import type { FleetConfigView } from "../config-view.ts";

/** Age in ms of the earlier demand that the rise in demand is measured from. */
const RISE_WINDOW_MS = 1000;
/** A demand peak keeps its instances for this time in ms, because work arrives in bursts. */
const PEAK_HOLD_MS = 1500;

/** Demand of one pool at the time of one sample. */
class PoolSample {
  /** Demand of long-running tasks. */
  long = NO_RESOURCES;
  /** Demand of other tasks that run or could start now and can still finish on time. */
  onTime = NO_RESOURCES;
  /** Demand of other tasks that run or could start now, including late ones. */
  all = NO_RESOURCES;
  /** Largest number of servers that one step needs because of its limit on tasks per server. */
  distinctServers = 0;

  add({ spec, openTasks: open }: StepRun, onTime: boolean): void {
    const demand = times(resourcesOccupied(spec), open);
    if (spec.longRunning) this.long = add(this.long, demand);
    else {
      this.all = add(this.all, demand);
      if (onTime) this.onTime = add(this.onTime, demand);
    }
    const servers = spec.maxPerServer > 0 ? Math.ceil(open / spec.maxPerServer) : 0;
    this.distinctServers = Math.max(this.distinctServers, servers);
  }
}

/** Demand of all pools at one time. */
interface Sample {
  readonly at: number;
  readonly pools: ReadonlyMap<string, PoolSample>;
}

/** Samples the demand of each pool and computes how many instances the pool needs. */
export class PoolDemand {
  readonly #clock: Clock;
  readonly #config: FleetConfigView;
  readonly #samples: Sample[] = [];

  constructor(clock: Clock, config: FleetConfigView) {
    this.#clock = clock;
    this.#config = config;
  }

  /** Records the current demand of the open jobs. */
  sample(jobs: Iterable<Job>, durations: DurationModels): void {
    const now = this.#clock.now();
    const wallTime = this.#clock.wallTime();
    const pools = new Map<string, PoolSample>();
    for (const job of jobs) {
      const queue = this.#config.queueOf(job.spec);
      const name = queue?.pool ?? job.spec.pool;
      let pool = pools.get(name);
      if (pool === undefined) pools.set(name, (pool = new PoolSample()));
      for (const step of job.activeSteps())
        pool.add(step, canBeOnTime(step, queue, wallTime, durations));
    }
    this.#samples.push({ at: now, pools });
    while ((this.#samples[0]?.at ?? now) < now - RISE_WINDOW_MS - PEAK_HOLD_MS)
      this.#samples.shift();
  }

  /** Returns how many instances of the given capacity each pool needs. */
  claims(pools: readonly string[], capacity: Resources): readonly PoolClaim[] {
    const before = this.#earlierSample();
    return pools.map((pool) => {
      const latest = this.#samples.at(-1)?.pools.get(pool);
      const fixed = {
        ...{ pool, capacity, long: latest?.long ?? NO_RESOURCES },
        distinctServers: latest?.distinctServers ?? 0,
      };
      const needed = (kind: "onTime" | "all"): number =>
        instancesNeeded({
          ...fixed,
          short: this.#recentPeak(pool, kind),
          shortBefore: before?.pools.get(pool)?.[kind] ?? NO_RESOURCES,
        });
      const idle = { ...fixed, short: NO_RESOURCES, shortBefore: NO_RESOURCES };
      const onTime = needed("onTime");
      return { pool, base: instancesNeeded(idle), onTime, all: Math.max(onTime, needed("all")) };
    });
  }

  #earlierSample(): Sample | undefined {
    const limit = this.#clock.now() - RISE_WINDOW_MS;
    return this.#samples.findLast(({ at }) => at <= limit);
  }

  /** Demand with the most CPU among the recent samples. */
  #recentPeak(pool: string, kind: "onTime" | "all"): Resources {
    const since = this.#clock.now() - PEAK_HOLD_MS;
    let peak = NO_RESOURCES;
    for (const { at, pools } of this.#samples) {
      const demand = pools.get(pool)?.[kind] ?? NO_RESOURCES;
      if (at >= since && demand.cpuMillis > peak.cpuMillis) peak = demand;
    }
    return peak;
  }
}

function canBeOnTime(
  step: StepRun,
  queue: JobQueueConfig | undefined,
  wallTime: number,
  durations: DurationModels,
): boolean {
  const occurrence = step.job.occurrences[step.occurrence];
  if (occurrence === undefined) return false;
  return rankStep(step, occurrence, queue ?? UNKNOWN_QUEUE_URGENCY, wallTime, durations)
    .canBeOnTime;
}
