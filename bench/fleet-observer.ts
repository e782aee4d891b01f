import type { ServerState } from "../src/protocol/fleet-document.ts";
import { minAvailableOf, initialServers } from "./fleet.ts";
import { SLOTS_PER_SERVER, type Site } from "./site.ts";

/** Time within which the planner must detect the loss of a server, in milliseconds. */
const LOSS_DETECTION_MS = 15_000;
const HOUR_MS = 3_600_000;

/** Pool and state of a server, from its record. */
export interface RecordedServer {
  readonly name: string;
  readonly pool: string;
  readonly state: ServerState;
}

interface ObservedServer {
  pool: string;
  state: ServerState;
  lostAt: number | undefined;
}

/**
 * Counts drains, moves, reboots and time below the availability budgets from the server records and
 * the injected server losses, independently of the product's own metrics. Times are in milliseconds.
 */
export class FleetObserver {
  readonly #site: Site;
  readonly #servers: ReadonlyMap<string, ObservedServer>;
  readonly #rebooted = new Set<string>();
  #drains = 0;
  #belowBudgetRemovals = 0;
  #belowBudgetRemovalsAfterLossKnown = 0;
  #moves = 0;
  #quarantined = 0;
  #belowBudgetMs = 0;
  #bufferMs = 0;
  #firstDrainAt: number | undefined;
  #lastRebootEndedAt = 0;

  constructor(site: Site) {
    this.#site = site;
    this.#servers = new Map(
      initialServers(site).map(({ name, pool }) => [
        name,
        { pool, state: "serving" as const, lostAt: undefined },
      ]),
    );
  }

  /** Applies server records that were written atomically. */
  recordServers(now: number, servers: readonly RecordedServer[]): void {
    const removed: ObservedServer[] = [];
    for (const { name, pool, state } of servers) {
      const server = this.#servers.get(name);
      if (server === undefined) continue;
      const before = server.state;
      if (server.pool !== pool) this.#moves++;
      server.pool = pool;
      server.state = state;
      if (before === "serving" && (state === "draining" || state === "quarantined"))
        removed.push(server);
      if (before === "serving" && state === "quarantined") this.#quarantined++;
      if (before === "rebooting" && state === "serving") this.#recordReboot(now, name);
    }
    for (const server of removed) this.#recordRemoval(now, server);
  }

  recordLoss(now: number, name: string): void {
    this.#servers.get(name)!.lostAt = now;
  }

  recordRestore(name: string): void {
    this.#servers.get(name)!.lostAt = undefined;
  }

  /** A server that is currently draining, empty or rebooting, if there is any. */
  serverInMaintenance(): string | undefined {
    const states: readonly ServerState[] = ["rebooting", "empty", "draining"];
    return [...this.#servers].find(([, { state }]) => states.includes(state))?.[0];
  }

  /** Free slots of available servers by pool, excluding the slots reserved for urgent work. */
  freeSlots({
    running,
    keepsReserve,
  }: {
    readonly running: (server: string) => number;
    readonly keepsReserve: boolean;
  }): ReadonlyMap<string, number> {
    const free = new Map(
      this.#site.pools.map(({ name, urgentReserveSlots }) => [
        name,
        keepsReserve ? -urgentReserveSlots : 0,
      ]),
    );
    for (const [name, server] of this.#servers) {
      if (server.state !== "serving" || server.lostAt !== undefined) continue;
      free.set(server.pool, (free.get(server.pool) ?? 0) + SLOTS_PER_SERVER - running(name));
    }
    return free;
  }

  /** Adds the time since the previous sample to the totals. */
  sample(elapsedMs: number): void {
    for (const pool of this.#site.pools) {
      const up = this.#available(pool.name, (lostAt) => lostAt !== undefined);
      if (up < minAvailableOf(pool)) this.#belowBudgetMs += elapsedMs;
      this.#bufferMs += elapsedMs * (pool.spare ? up : Math.max(0, up - pool.servers));
    }
  }

  figures(): readonly (readonly [string, number])[] {
    const found: (readonly [string, number])[] = [
      ["buffer instance-hours", this.#bufferMs / HOUR_MS],
      ["moves", this.#moves],
      ["drains", this.#drains],
      ["drains below budget", this.#belowBudgetRemovals],
      ["drains below budget, loss older than 15 s", this.#belowBudgetRemovalsAfterLossKnown],
      ["pool seconds below budget", this.#belowBudgetMs / 1000],
      ["servers quarantined", this.#quarantined],
    ];
    if (this.#firstDrainAt === undefined) return found;
    found.push(["servers rebooted", this.#rebooted.size]);
    if (this.#rebooted.size === this.#servers.size)
      found.push(["roll-out s", (this.#lastRebootEndedAt - this.#firstDrainAt) / 1000]);
    return found;
  }

  #recordReboot(now: number, name: string): void {
    this.#rebooted.add(name);
    this.#lastRebootEndedAt = now;
  }

  /** Counts a drain or quarantine, after all changes of the same write were applied. */
  #recordRemoval(now: number, { pool: name, state }: ObservedServer): void {
    if (state === "draining") {
      this.#drains++;
      this.#firstDrainAt ??= now;
    }
    const pool = this.#site.pools.find((each) => each.name === name)!;
    const budget = minAvailableOf(pool);
    if (this.#available(name, (lostAt) => lostAt !== undefined) < budget)
      this.#belowBudgetRemovals++;
    const isKnownLost = (lostAt: number | undefined): boolean =>
      lostAt !== undefined && now - lostAt >= LOSS_DETECTION_MS;
    if (this.#available(name, isKnownLost) < budget) this.#belowBudgetRemovalsAfterLossKnown++;
  }

  #available(pool: string, isDown: (lostAt: number | undefined) => boolean): number {
    const servers = [...this.#servers.values()];
    return servers.filter((s) => s.pool === pool && s.state === "serving" && !isDown(s.lostAt))
      .length;
  }
}
