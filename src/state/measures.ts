/**
 * Meters of the measures that operators weight in `[weights]`. Callers pass times in milliseconds.
 */
import type { ShareCloseness } from "../protocol/entry-status.ts";

const HOUR_MS = 3_600_000;

/** Measures the instance-hours of buffer servers. */
export class BufferMeter {
  #at: number | undefined;
  #servers = 0;
  #serverMs = 0;

  /** Sets the number of buffer servers from `now` on. */
  record(now: number, servers: number): void {
    if (this.#at !== undefined) this.#serverMs += this.#servers * Math.max(0, now - this.#at);
    this.#at = now;
    this.#servers = servers;
  }

  get servers(): number {
    return this.#servers;
  }

  get instanceHours(): number {
    return this.#serverMs / HOUR_MS;
  }
}

/** Measures the time from the start of a wave until all of its servers are back in service. */
export class RolloutMeter {
  #startedAt: number | undefined;
  #lastMs: number | undefined;

  /** `open` counts servers that are due or in maintenance, `inWave` only those in maintenance. */
  record(now: number, { open, inWave }: { readonly open: number; readonly inWave: number }): void {
    if (this.#startedAt === undefined) {
      if (inWave > 0) this.#startedAt = now;
    } else if (open === 0) {
      this.#lastMs = now - this.#startedAt;
      this.#startedAt = undefined;
    }
  }

  /** Duration of the last finished wave. */
  get lastMs(): number | undefined {
    return this.#lastMs;
  }
}

/** Usage of the fleet by one team at one time. */
export interface TeamSample {
  readonly team: string;
  readonly running: number;
  readonly queued: number;
  /** Weight among teams. */
  readonly share: number;
  readonly upperLimit: number;
}

interface Window {
  readonly startedAt: number;
  readonly used: Map<string, number>;
  readonly entitled: Map<string, number>;
}

/** Measures how closely usage follows the shares of teams, over windows of a fixed length. */
export class ClosenessMeter {
  readonly #windowMs: number;
  #window: Window | undefined;
  #last: { readonly at: number; readonly samples: readonly TeamSample[] } | undefined;
  #windows = 0;
  #sum = 0;
  #lowest = 1;

  constructor({ windowMs }: { readonly windowMs: number }) {
    this.#windowMs = windowMs;
  }

  /** Sets the usage from `now` on. Only times with queued work count: shares apply only then. */
  record(now: number, samples: readonly TeamSample[]): void {
    this.#account(now);
    this.#last = { at: now, samples };
    this.#window ??= { startedAt: now, used: new Map(), entitled: new Map() };
    if (now - this.#window.startedAt < this.#windowMs) return;
    this.#close(this.#window);
    this.#window = { startedAt: now, used: new Map(), entitled: new Map() };
  }

  /** Undefined until a window with queued work has ended. */
  summary(): ShareCloseness | undefined {
    if (this.#windows === 0) return undefined;
    const mean = this.#sum / this.#windows;
    return { windowMs: this.#windowMs, windows: this.#windows, mean, lowest: this.#lowest };
  }

  #account(now: number): void {
    const { at, samples } = this.#last ?? { at: now, samples: [] };
    const ms = now - at;
    if (this.#window === undefined || ms <= 0 || !samples.some((s) => s.queued > 0)) return;
    const shares = entitlements(samples);
    for (const { team, running } of samples) {
      add(this.#window.used, team, running * ms);
      add(this.#window.entitled, team, (shares.get(team) ?? 0) * ms);
    }
  }

  #close({ used, entitled }: Window): void {
    const total = [...used.values()].reduce((sum, value) => sum + value, 0);
    if (total === 0) return;
    let distance = 0;
    for (const [team, value] of used) distance += Math.abs(value - (entitled.get(team) ?? 0));
    // Half the distance is the work that ran for teams in excess of their entitlements.
    const closeness = 1 - distance / (2 * total);
    this.#windows++;
    this.#sum += closeness;
    this.#lowest = Math.min(this.#lowest, closeness);
  }
}

function add(values: Map<string, number>, key: string, value: number): void {
  values.set(key, (values.get(key) ?? 0) + value);
}

/**
 * Number of running tasks to which each team is entitled: the total now running, divided by weight,
 * where no team gets more than its demand or its upper limit.
 */
export function entitlements(samples: readonly TeamSample[]): ReadonlyMap<string, number> {
  const entitled = new Map(samples.map(({ team }) => [team, 0]));
  let left = samples.reduce((sum, { running }) => sum + running, 0);
  let open = samples.filter((sample) => demand(sample) > 0 && sample.share > 0);
  while (left > 1e-9 && open.length > 0) {
    const weights = open.reduce((sum, { share }) => sum + share, 0);
    const perWeight = left / weights;
    const grants = open.map((sample) => {
      const has = entitled.get(sample.team) ?? 0;
      return { sample, amount: Math.min(perWeight * sample.share, demand(sample) - has) };
    });
    for (const { sample, amount } of grants) {
      entitled.set(sample.team, (entitled.get(sample.team) ?? 0) + amount);
      left -= amount;
    }
    open = open.filter((sample) => demand(sample) - (entitled.get(sample.team) ?? 0) > 1e-9);
  }
  return entitled;
}

function demand({ running, queued, upperLimit }: TeamSample): number {
  return Math.max(running, Math.min(upperLimit, running + queued));
}
