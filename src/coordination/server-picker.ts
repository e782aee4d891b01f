import type { Clock } from "../ports/clock.ts";
import type { Priority } from "../ports/backend-server.ts";
import { AdaptiveLimit } from "../state/adaptive-limit.ts";
import type { FailureAttribution } from "../state/failure-attribution.ts";
import type { ConfigView, FleetView, HeldServer, HeldServers } from "./ports.ts";

/** A server that refused a start is skipped for this time, so that the retry uses another one. */
const COOLDOWN_MS = 200;
/**
 * Pause between two tasks of a server on probation. A server that fails tasks at once is idle most
 * of the time, so without a pause the least loaded server would nearly always be the faulty one.
 */
const PROBE_INTERVAL_MS = 1000;

/** Options of {@link ServerPicker}. */
export interface ServerPickerOptions {
  readonly clock: Clock;
  readonly config: ConfigView;
  readonly fleet: FleetView;
  readonly held: HeldServers;
  readonly attribution: FailureAttribution;
}

/** Chooses among the held servers by free slots under each server's concurrency limit. */
export class ServerPicker {
  readonly #options: ServerPickerOptions;
  readonly #limits = new Map<string, AdaptiveLimit>();
  readonly #skippedUntil = new Map<string, number>();

  constructor(options: ServerPickerOptions) {
    this.#options = options;
  }

  /** Free slots on the held servers of a pool. The urgent reserve counts only for urgent work. */
  freeSlots(pool: string, precedence: Priority): number {
    const free = this.#usable(pool).reduce((sum, server) => sum + this.#free(server), 0);
    return precedence === "urgent" ? free : Math.max(0, free - this.#reserve(pool));
  }

  /** Sum of the concurrency limits of a pool's held servers that accept work now. */
  totalSlots(pool: string): number {
    return this.#usable(pool).reduce((sum, server) => sum + this.#limit(server), 0);
  }

  /**
   * The least loaded server of the first pool with a free slot; among equals, the one in the least
   * loaded rack. Servers in `avoid` are chosen only if no other one of their pool is free. A chosen
   * server on probation is skipped for {@link PROBE_INTERVAL_MS} afterwards.
   */
  pick(pools: readonly string[], avoid: readonly string[]): HeldServer | undefined {
    for (const pool of pools) {
      const free = this.#usable(pool).filter((server) => this.#free(server) > 0);
      const preferred = free.filter((server) => !avoid.includes(server.name));
      const picked = this.#leastLoaded(preferred) ?? this.#leastLoaded(free);
      if (picked !== undefined) return this.#pauseIfOnProbation(picked);
    }
    return undefined;
  }

  /** Skips a server for {@link COOLDOWN_MS} after it refused a start. */
  coolDown(server: string): void {
    this.#skippedUntil.set(server, this.#options.clock.now() + COOLDOWN_MS);
  }

  /** Adapts the server's limit to an observed run time. */
  observe(server: string, runMs: number, expectedMs: number): void {
    this.#limits.get(server)?.observe(runMs, expectedMs);
  }

  /** Names of the held servers of a pool. */
  heldServersOf(pool: string): readonly string[] {
    return this.#options.held
      .list()
      .filter((server) => server.pool === pool)
      .map((server) => server.name);
  }

  /** Number of the pool's servers in the whole fleet. */
  poolSize(pool: string): number {
    return this.#options.fleet.current()?.servers.filter((each) => each.pool === pool).length ?? 0;
  }

  /** Removes the limits of servers that are no longer held, and pauses that have ended. */
  prune(): void {
    const held = new Set(this.#options.held.list().map((server) => server.name));
    for (const name of this.#limits.keys()) if (!held.has(name)) this.#limits.delete(name);
    for (const [name, until] of this.#skippedUntil) {
      if (until <= this.#options.clock.now()) this.#skippedUntil.delete(name);
    }
  }

  #pauseIfOnProbation(server: HeldServer): HeldServer {
    if (this.#options.attribution.isOnProbation(server.name))
      this.#skippedUntil.set(server.name, this.#options.clock.now() + PROBE_INTERVAL_MS);
    return server;
  }

  #usable(pool: string): readonly HeldServer[] {
    const now = this.#options.clock.now();
    return this.#options.held
      .list()
      .filter(
        (server) =>
          server.pool === pool &&
          server.dispatchable &&
          (this.#skippedUntil.get(server.name) ?? 0) <= now,
      );
  }

  #free(server: HeldServer): number {
    return Math.max(0, this.#limit(server) - server.running);
  }

  #limit(server: HeldServer): number {
    if (this.#options.attribution.isOnProbation(server.name)) return 1;
    let limit = this.#limits.get(server.name);
    if (limit === undefined) {
      limit = new AdaptiveLimit({ slots: server.slots });
      this.#limits.set(server.name, limit);
    }
    return Math.min(server.slots, limit.current);
  }

  /**
   * This entry's part of a pool's urgent reserve. The slots are assigned round-robin to the pool's
   * serving servers sorted by name, so that the parts of all entries add up to the reserve.
   */
  #reserve(pool: string): number {
    const config = this.#options.config.current()?.pools.find((each) => each.name === pool);
    const reserve = config?.urgentReserveSlots ?? 0;
    if (reserve === 0) return 0;
    const names = (this.#options.fleet.current()?.servers ?? [])
      .filter((server) => server.pool === pool && server.state === "serving")
      .map((server) => server.name)
      .sort();
    const held = new Set(this.#usable(pool).map((server) => server.name));
    if (names.length === 0) return reserve;
    const base = Math.floor(reserve / names.length);
    return names.reduce((sum, name, index) => {
      if (!held.has(name)) return sum;
      return sum + base + (index < reserve % names.length ? 1 : 0);
    }, 0);
  }

  #leastLoaded(servers: readonly HeldServer[]): HeldServer | undefined {
    const racks = new Map<string, number>();
    for (const server of this.#options.held.list())
      racks.set(server.rack, (racks.get(server.rack) ?? 0) + server.running);
    const load = (server: HeldServer): number => server.running / this.#limit(server);
    const rackLoad = (server: HeldServer): number => racks.get(server.rack) ?? 0;
    return [...servers].sort((a, b) => load(a) - load(b) || rackLoad(a) - rackLoad(b))[0];
  }
}
