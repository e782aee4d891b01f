import type { ServerState } from "../src/protocol/fleet-document.ts";
import { minAvailableOf, plannedServers } from "./fleet.ts";
import { SLOTS, type Site } from "./site.ts";

/** Time after which the loss of a server must be known to the planner, in milliseconds. */
const LOSS_KNOWN_MS = 15_000;
const HOUR_MS = 3_600_000;

/** Recorded place of a server. */
export interface ServerPlace {
  readonly name: string;
  readonly pool: string;
  readonly state: ServerState;
}

interface Observed {
  pool: string;
  state: ServerState;
  lostAt: number | undefined;
}

/**
 * Watches the servers and what is recorded of them, without the product's own measures. Times are
 * in milliseconds.
 */
export class FleetObserver {
  readonly #site: Site;
  readonly #servers: ReadonlyMap<string, Observed>;
  readonly #rebooted = new Set<string>();
  #drains = 0;
  #breaks = 0;
  #knownBreaks = 0;
  #moves = 0;
  #quarantined = 0;
  #belowBudgetMs = 0;
  #bufferMs = 0;
  #from: number | undefined;
  #backAt = 0;

  constructor(site: Site) {
    this.#site = site;
    this.#servers = new Map(
      plannedServers(site).map(({ name, pool }) => [
        name,
        { pool, state: "serving" as const, lostAt: undefined },
      ]),
    );
  }

  /** Takes over a change of records that took effect as one. */
  recordPlaces(now: number, places: readonly ServerPlace[]): void {
    const taken: Observed[] = [];
    for (const { name, pool, state } of places) {
      const server = this.#servers.get(name);
      if (server === undefined) continue;
      const before = server.state;
      if (server.pool !== pool) this.#moves++;
      server.pool = pool;
      server.state = state;
      if (before === "serving" && (state === "draining" || state === "quarantined"))
        taken.push(server);
      if (before === "serving" && state === "quarantined") this.#quarantined++;
      if (before === "rebooting" && state === "serving") this.#back(now, name);
    }
    for (const server of taken) this.#taken(now, server);
  }

  recordLoss(now: number, name: string): void {
    this.#servers.get(name)!.lostAt = now;
  }

  recordRestore(name: string): void {
    this.#servers.get(name)!.lostAt = undefined;
  }

  /** A server that is drained or rebooted now. */
  serverInMaintenance(): string | undefined {
    const states: readonly ServerState[] = ["rebooting", "empty", "draining"];
    return [...this.#servers].find(([, { state }]) => states.includes(state))?.[0];
  }

  /** Slots that can take work by pool, less those in use and those kept for urgent work. */
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
      free.set(server.pool, (free.get(server.pool) ?? 0) + SLOTS - running(name));
    }
    return free;
  }

  /** Accounts for the time since the previous sample. */
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
      ["drains below budget", this.#breaks],
      ["drains below budget, loss older than 15 s", this.#knownBreaks],
      ["pool seconds below budget", this.#belowBudgetMs / 1000],
      ["servers quarantined", this.#quarantined],
    ];
    if (this.#from === undefined) return found;
    found.push(["servers rebooted", this.#rebooted.size]);
    if (this.#rebooted.size === this.#servers.size)
      found.push(["roll-out s", (this.#backAt - this.#from) / 1000]);
    return found;
  }

  #back(now: number, name: string): void {
    this.#rebooted.add(name);
    this.#backAt = now;
  }

  #taken(now: number, { pool: name, state }: Observed): void {
    if (state === "draining") {
      this.#drains++;
      this.#from ??= now;
    }
    const pool = this.#site.pools.find((each) => each.name === name)!;
    const budget = minAvailableOf(pool);
    if (this.#available(name, (lostAt) => lostAt !== undefined) < budget) this.#breaks++;
    const known = (lostAt: number | undefined): boolean =>
      lostAt !== undefined && now - lostAt >= LOSS_KNOWN_MS;
    if (this.#available(name, known) < budget) this.#knownBreaks++;
  }

  #available(pool: string, isDown: (lostAt: number | undefined) => boolean): number {
    const servers = [...this.#servers.values()];
    return servers.filter((s) => s.pool === pool && s.state === "serving" && !isDown(s.lostAt))
      .length;
  }
}
