import type { Clock } from "../../ports/clock.ts";
import type { Log } from "../../ports/log.ts";
import type {
  FleetConfig,
  OrganisationConfig,
  JobPoolConfig,
  JobQueueConfig,
  WaveRequest,
} from "../../protocol/fleet-config.ts";
import type { JobSpec } from "../../protocol/job-spec.ts";
import { Deferred, waitAtMost } from "../wait.ts";
import { OperatorListener } from "./job-feeds.ts";

/** Number of removed queues whose settings are kept. */
const MAX_REMOVED_QUEUES = 1000;

/**
 * The newest configuration known to this entry instance, indexed by name. A configuration with the
 * same or an older version is ignored.
 */
export class FleetConfigView extends OperatorListener {
  readonly #clock: Clock;
  readonly #log: Log;
  readonly #waves = new Map<number, WaveRequest>();
  readonly #listeners = new Set<() => void>();
  readonly #count: (event: string) => void;
  readonly #evacuatedZones = new Set<string>();
  #config: FleetConfig | undefined;
  #queues = new Map<string, JobQueueConfig>();
  /** Last settings of queues that were removed, the longest removed first. */
  readonly #removedQueues = new Map<string, JobQueueConfig>();
  #pools = new Map<string, JobPoolConfig>();
  #organisations = new Map<string, OrganisationConfig>();
  #organisationsByKey = new Map<string, OrganisationConfig>();
  #confirmedAt: number | undefined;
  /** Resolves when the configuration is next confirmed to be the newest. */
  #confirmation = new Deferred<void>();

  /** `count` counts events by name. */
  constructor(clock: Clock, log: Log, count: (event: string) => void = () => undefined) {
    super();
    this.#count = count;
    this.#clock = clock;
    this.#log = log;
  }

  get current(): FleetConfig | undefined {
    return this.#config;
  }

  /**
   * Time in ms since the configuration was last confirmed to be the newest; Infinity before the
   * first confirmation.
   */
  get ageMs(): number {
    return this.#confirmedAt === undefined ? Infinity : this.#clock.now() - this.#confirmedAt;
  }

  get waves(): readonly WaveRequest[] {
    return [...this.#waves.values()];
  }

  /** Availability zones in which no task may be started. */
  get evacuatedZones(): ReadonlySet<string> {
    return this.#evacuatedZones;
  }

  isEvacuated(zone: string): boolean {
    return this.#evacuatedZones.has(zone);
  }

  queue(name: string): JobQueueConfig | undefined {
    return this.#queues.get(name);
  }

  pool(name: string): JobPoolConfig | undefined {
    return this.#pools.get(name);
  }

  /** Name of the pool whose instances are switched off; undefined if instances don't change their pool. */
  get sparePool(): string | undefined {
    return this.#config?.pools.find(({ spare }) => spare)?.name;
  }

  /**
   * Settings for a job: those of its queue, or the last known ones if the queue was removed. Undefined if
   * this process never knew the queue.
   */
  queueOf({ queue }: JobSpec): JobQueueConfig | undefined {
    return this.#queues.get(queue) ?? this.#removedQueues.get(queue);
  }

  /** Name of the pool that runs a job. */
  poolOf(job: JobSpec): string {
    return this.queueOf(job)?.pool ?? job.pool;
  }

  organisation(name: string): OrganisationConfig | undefined {
    return this.#organisations.get(name);
  }

  /** Returns the organisation with the given plain-text key, or undefined. */
  organisationOfKey(key: string): OrganisationConfig | undefined {
    return this.#organisationsByKey.get(key);
  }

  /** Returns the queue with the request's host and the longest prefix that matches its path. */
  queueOfRequest(host: string, path: string): JobQueueConfig | undefined {
    let best: JobQueueConfig | undefined;
    for (const queue of this.#config?.queues ?? []) {
      if (queue.host !== host || !path.startsWith(queue.prefix)) continue;
      if (best === undefined || queue.prefix.length > best.prefix.length) best = queue;
    }
    return best;
  }

  /** Calls the listener after each change. Returns a function that removes the listener. */
  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  configured(config: FleetConfig): void {
    const before = this.#config?.version;
    if (before !== undefined && config.version <= before) return;
    this.#config = config;
    const queues = new Map(config.queues.map((queue) => [queue.name, queue]));
    this.#keepRemovedQueues(queues);
    this.#queues = queues;
    this.#pools = new Map(config.pools.map((pool) => [pool.name, pool]));
    this.#organisations = new Map(config.organisations.map((org) => [org.name, org]));
    this.#organisationsByKey = new Map(
      config.organisations.flatMap((org) => org.keys.map((key) => [key, org])),
    );
    this.#log.info({ version: config.version, before }, "configuration in force");
    this.#notifyListeners();
  }

  waveRequested(wave: WaveRequest): void {
    this.#waves.set(wave.wave, wave);
    this.#notifyListeners();
  }

  evacuatedZonesRead(zones: readonly string[]): void {
    const present = new Set(zones);
    for (const zone of [...this.#evacuatedZones]) if (!present.has(zone)) this.zoneRestored(zone);
    for (const zone of present) this.zoneEvacuated(zone);
  }

  zoneEvacuated(zone: string): void {
    if (this.#evacuatedZones.has(zone)) return;
    this.#evacuatedZones.add(zone);
    this.#log.info({ evacuatedZone: zone }, "zone is evacuated");
    this.#count("zone_evacuated");
    this.#notifyListeners();
  }

  zoneRestored(zone: string): void {
    if (!this.#evacuatedZones.delete(zone)) return;
    this.#log.info({ evacuatedZone: zone }, "evacuation of the zone has ended");
    this.#count("zone_restored");
    this.#notifyListeners();
  }

  confirmed(askedAt: number): void {
    this.#confirmedAt = Math.max(askedAt, this.#confirmedAt ?? askedAt);
    const waiting = this.#confirmation;
    this.#confirmation = new Deferred();
    waiting.resolve();
  }

  /**
   * Resolves to true if the configuration was confirmed to be the newest within the last `maxAgeMs`
   * milliseconds. Otherwise waits up to `waitMs` milliseconds for a confirmation.
   */
  async waitUntilFresh(maxAgeMs: number, waitMs: number): Promise<boolean> {
    const until = this.#clock.now() + waitMs;
    while (this.#config === undefined || this.ageMs > maxAgeMs) {
      const leftMs = until - this.#clock.now();
      if (leftMs <= 0) return false;
      await waitAtMost(this.#clock, this.#confirmation.promise, leftMs);
    }
    return true;
  }

  /** Keeps the settings of queues that a new configuration lacks, for their jobs that are not done. */
  #keepRemovedQueues(queues: ReadonlyMap<string, JobQueueConfig>): void {
    for (const [name, queue] of this.#queues)
      if (!queues.has(name)) this.#removedQueues.set(name, queue);
    for (const name of queues.keys()) this.#removedQueues.delete(name);
    for (const name of this.#removedQueues.keys()) {
      if (this.#removedQueues.size <= MAX_REMOVED_QUEUES) break;
      this.#removedQueues.delete(name);
    }
  }

  #notifyListeners(): void {
    for (const listener of this.#listeners) listener();
  }
}
