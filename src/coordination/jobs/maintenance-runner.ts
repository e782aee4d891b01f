import type { Clock } from "../../ports/clock.ts";
import type { ControlledInstance, InstanceControl } from "../../ports/instance-control.ts";
import type { Log } from "../../ports/log.ts";
import type { WaveRequest } from "../../protocol/fleet-config.ts";
import type { FleetConfigView } from "./config-view.ts";
import type { OperatorFeed } from "./job-feeds.ts";
import type { Scheduler } from "./scheduler.ts";
import type { LockTenure } from "./scheduler-lock.ts";

const INTERVAL_MS = 500;

/** Options of {@link MaintenanceRunner}. */
export interface MaintenanceRunnerOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly tenure: LockTenure;
  readonly config: FleetConfigView;
  readonly operators: OperatorFeed;
  readonly instances: InstanceControl;
  readonly scheduler: Scheduler;
  /** Name of this entry instance, given with each order. */
  readonly holder: string;
}

/** Brings the instances of maintenance waves through their maintenance. */
export class MaintenanceRunner {
  readonly #options: MaintenanceRunnerOptions;

  constructor(options: MaintenanceRunnerOptions) {
    this.#options = options;
  }

  async run(): Promise<void> {
    const { clock, tenure } = this.#options;
    while (!tenure.signal.aborted) {
      await clock.sleep(INTERVAL_MS, tenure.signal);
      await this.#pass(this.#options.config.waves);
    }
  }

  #pass(_waves: readonly WaveRequest[]): Promise<readonly ControlledInstance[]> {
    return Promise.resolve([]);
  }
}
