import { maxStartValidMs } from "../../../state/jobs/fleet/evacuation.ts";
import type { FleetConfigView } from "../config-view.ts";

/** Options of {@link EvacuationGuard}. */
export interface EvacuationGuardOptions {
  readonly config: FleetConfigView;
  /** Time in ms from the acknowledged write of an evacuation until no task may start in its zone. */
  readonly evacuateMs: number;
}

/** Decides whether start orders may be sent, by the evacuations that are known and how recent that is. */
export class EvacuationGuard {
  readonly #options: EvacuationGuardOptions;

  constructor(options: EvacuationGuardOptions) {
    this.#options = options;
  }

  /** False while any availability zone may have been evacuated without being known here. */
  get upToDate(): boolean {
    return this.#validMs > 0;
  }

  /** True if operators have evacuated the availability zone. */
  evacuated(zone: string): boolean {
    return this.#options.config.isEvacuated(zone);
  }

  /**
   * Longest time in ms for which a start order that is sent now to a backend server of the zone may be
   * valid; 0 if none may be sent.
   */
  startValidMs(zone: string): number {
    return this.evacuated(zone) ? 0 : this.#validMs;
  }

  get #validMs(): number {
    const { config, evacuateMs } = this.#options;
    return maxStartValidMs(config.ageMs, evacuateMs);
  }
}
