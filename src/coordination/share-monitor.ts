import type { Clock, Timer } from "../ports/clock.ts";
import type { ShareCloseness } from "../protocol/entry-status.ts";
import type { TeamLoad } from "../protocol/peer-messages.ts";
import { ClosenessMeter, type TeamSample } from "../state/measures.ts";
import type { ConfigView } from "./ports.ts";

/**
 * Peers' loads change only with their gossip, every 500 ms by default, so that more frequent
 * samples would yield little.
 */
const SAMPLE_INTERVAL_MS = 250;
const WINDOWS_MS = [1000, 10_000];

/** Options of {@link ShareMonitor}. */
export interface ShareMonitorOptions {
  readonly clock: Clock;
  readonly config: ConfigView;
  /** Loads of this entry and of all entries in contact; a team may occur several times. */
  readonly loads: () => Iterable<TeamLoad>;
}

/** Measures how close the teams' use of the whole fleet is to their shares. */
export class ShareMonitor {
  readonly #options: ShareMonitorOptions;
  readonly #meters = WINDOWS_MS.map((windowMs) => new ClosenessMeter({ windowMs }));
  #timer: Timer | undefined;

  constructor(options: ShareMonitorOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer ??= this.#options.clock.schedule(SAMPLE_INTERVAL_MS, () => {
      this.#timer = undefined;
      this.#sample();
      this.start();
    });
  }

  stop(): void {
    this.#timer?.cancel();
    this.#timer = undefined;
  }

  /** Closeness over windows of 1 s and 10 s; windows that are not full yet are left out. */
  summary(): readonly ShareCloseness[] {
    return this.#meters.flatMap((meter) => meter.summary() ?? []);
  }

  #sample(): void {
    const { clock, config, loads } = this.#options;
    const teams = new Map<string, { running: number; queued: number }>();
    for (const { team, running, queued } of loads()) {
      const sum = teams.get(team) ?? { running: 0, queued: 0 };
      teams.set(team, { running: sum.running + running, queued: sum.queued + queued });
    }
    const samples = (config.current()?.teams ?? []).map(
      ({ name, share, upperLimit }): TeamSample => {
        const { running, queued } = teams.get(name) ?? { running: 0, queued: 0 };
        return { team: name, running, queued, share, upperLimit };
      },
    );
    for (const meter of this.#meters) meter.record(clock.now(), samples);
  }
}
