import { PlatformOperatorFeed, type OperatorFeedOptions } from "../../../platform/feeds.ts";
import type { OperatorFeed, OperatorListener } from "../../../src/coordination/jobs/job-feeds.ts";
import type { FleetConfig } from "../../../src/protocol/fleet-config.ts";

/** Holds the configuration that tests change. Evacuations are read from the store. */
export class FakeOperators {
  readonly #listeners = new Set<OperatorListener>();
  readonly #ignoreEvacuations: boolean;
  #config: FleetConfig;

  constructor(config: FleetConfig, ignoreEvacuations: boolean) {
    this.#config = config;
    this.#ignoreEvacuations = ignoreEvacuations;
  }

  configure(config: FleetConfig): void {
    this.#config = config;
    for (const listener of this.#listeners) listener.configured(config);
  }

  forEntry(options: OperatorFeedOptions): OperatorFeed {
    return new EntryOperators(options, (listener) => {
      listener.configured(this.#config);
      this.#listeners.add(listener);
      if (this.#ignoreEvacuations)
        Object.assign(listener, { evacuatedZonesRead: none, zoneEvacuated: none });
    });
  }
}

function none(): void {
  // Replaces a method that must have no effect.
}

/** The platform's feed of operator records, with the configuration passed in. */
class EntryOperators extends PlatformOperatorFeed {
  readonly #attach: (listener: OperatorListener) => void;

  constructor(options: OperatorFeedOptions, attach: (listener: OperatorListener) => void) {
    super(options);
    this.#attach = attach;
  }

  override follow(listener: OperatorListener, signal: AbortSignal): Promise<void> {
    this.#attach(listener);
    return super.follow(listener, signal);
  }
}
