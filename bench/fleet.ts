/** Initial fleet and configuration of a site in the benchmarks. */
import type { ListedInstance } from "../src/ports/instance-list.ts";
import type { ConfigDocument } from "../src/protocol/config-document.ts";
import type { FleetDocument, ServerRecord } from "../src/protocol/fleet-document.ts";
import { hashKey } from "../src/state/api-keys.ts";
import type { Scenario } from "./scenario.ts";
import { SLOTS_PER_SERVER, type Site, type TeamPlan } from "./site.ts";

const SERVERS_PER_RACK = 4;
const DAY_MS = 86_400_000;
/** Days between two reboots of a server. */
const MAINTENANCE_DAYS = 21;
/** Number of servers of a pool that maintenance may take out of service at once. */
const BUDGET_MARGIN = 2;
const NEVER_DUE = { startMinute: 0, endMinute: 1440, everyDays: 0, maxParallel: 2 };

/** Plain-text API key of a team. */
export function apiKeyOf(team: string): string {
  return `key-${team}`;
}

/** A backend server with its initial pool. */
export interface InitialServer extends ListedInstance {
  readonly pool: string;
}

/** Backend servers of a site; each pool is spread over the zones. */
export function initialServers(site: Site): readonly InitialServer[] {
  const { zones, cores, memoryGb } = site;
  const pools = site.pools.flatMap((pool) => Array.from({ length: pool.servers }, () => pool.name));
  return pools.map((pool, n) => {
    const zone = zones[n % zones.length]!;
    const rack = Math.floor(n / zones.length / SERVERS_PER_RACK);
    return {
      name: `${zone}-s${n}`,
      address: `http://10.1.0.${n + 1}:8000`,
      zone,
      rack: `${zone}-r${rack}`,
      cores,
      memoryGb,
      accelerators: 0,
      slots: SLOTS_PER_SERVER,
      state: "live",
      pool,
    };
  });
}

/** Availability budget of a pool. */
export function minAvailableOf({ servers }: Site["pools"][number]): number {
  return servers - BUDGET_MARGIN;
}

/** Teams with the upper limits of the scenario. */
export function teamsOf(site: Site, { limitScale = 1 }: Scenario): readonly TeamPlan[] {
  return site.teams.map((team) => ({
    ...team,
    upperLimit: Math.round(team.upperLimit * limitScale),
  }));
}

/** Initial fleet document. With maintenance enabled, every server is due at wall time `dueAt`. */
export function initialFleet(site: Site, dueAt: number): Omit<FleetDocument, "revision"> {
  const rebootedAt = dueAt - MAINTENANCE_DAYS * DAY_MS;
  const servers = initialServers(site).map(({ state: _state, ...server }): ServerRecord => {
    return { ...server, state: "serving", epoch: 1, rebootedAt, since: rebootedAt };
  });
  return { writeId: "initial", group: site.group, servers, retired: [] };
}

/** Initial configuration document, with one queue per pool and the teams of the scenario. */
export function initialConfig(site: Site, scenario: Scenario, wallTime: number): ConfigDocument {
  const { declaredFactor = (): number => 1, maintenanceParallel } = scenario;
  return {
    revision: 1,
    writeId: "initial",
    acceptedAt: wallTime,
    pools: site.pools.map(({ servers, ...pool }) => ({
      ...pool,
      group: site.group,
      minAvailable: minAvailableOf({ servers, ...pool }),
      targetSize: servers,
    })),
    queues: site.pools.map(({ name }, queue) => ({
      name,
      pool: name,
      open: false,
      idempotent: true,
      declaredRunMs: Math.round(scenario.runMs * declaredFactor(queue)),
    })),
    teams: teamsOf(site, scenario).map((team) => ({
      ...team,
      queues: [],
      keys: [hashKey(apiKeyOf(team.name), `salt-${team.name}`)],
    })),
    maintenance:
      maintenanceParallel === undefined
        ? NEVER_DUE
        : { ...NEVER_DUE, everyDays: MAINTENANCE_DAYS, maxParallel: maintenanceParallel },
    weights: site.weights,
  };
}
