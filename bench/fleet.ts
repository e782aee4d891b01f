/** The fleet of the measurements: the size of Piedra Viva in section 1.2 of the design. */
import { hashKey } from "../src/state/keys.ts";
import type { ListedInstance } from "../src/platform/instance-list.ts";
import type { ConfigDocument } from "../src/protocol/config-document.ts";
import type { FleetDocument, ServerRecord } from "../src/protocol/fleet-document.ts";

export const GROUP = "andina";
export const ZONES = ["z1", "z2", "z3"] as const;
export const ENTRIES_PER_ZONE = 3;
export const ENTRIES = ZONES.length * ENTRIES_PER_ZONE;
export const SLOTS = 8;
/** One-way latency between instances, in milliseconds. */
export const LATENCY_MS = 1.5;
const SERVERS_PER_RACK = 4;

/** A pool and the queue of the same name. */
export const POOLS = [
  { name: "enrolment", servers: 8, urgentReserveSlots: 8, spare: false },
  { name: "allotments", servers: 6, urgentReserveSlots: 4, spare: false },
  { name: "certification", servers: 6, urgentReserveSlots: 0, spare: false },
  { name: "ledgers", servers: 6, urgentReserveSlots: 2, spare: false },
  { name: "shared", servers: 9, urgentReserveSlots: 0, spare: true },
] as const;

export const TEAMS = [
  { name: "head-office", share: 30, upperLimit: 120 },
  { name: "north-schools", share: 25, upperLimit: 120 },
  { name: "coast-schools", share: 20, upperLimit: 120 },
  { name: "suppliers", share: 10, upperLimit: 48 },
  { name: "certifiers", share: 10, upperLimit: 48 },
  { name: "field-guides", share: 5, upperLimit: 48 },
] as const;

/** API key of a team in the clear. */
export function keyOf(team: string): string {
  return `key-${team}`;
}

interface PlannedServer extends ListedInstance {
  readonly pool: string;
}

/** Backend servers; each pool is spread over the zones. */
export function plannedServers(): readonly PlannedServer[] {
  const pools = POOLS.flatMap((pool) => Array.from({ length: pool.servers }, () => pool.name));
  return pools.map((pool, n) => {
    const zone = ZONES[n % ZONES.length]!;
    const rack = Math.floor(n / ZONES.length / SERVERS_PER_RACK);
    return {
      name: `${zone}-s${n}`,
      address: `http://10.1.0.${n + 1}:8000`,
      zone,
      rack: `${zone}-r${rack}`,
      cores: 64,
      memoryGb: 256,
      accelerators: 0,
      slots: SLOTS,
      state: "live",
      pool,
    };
  });
}

export function plannedFleet(wallTime: number): Omit<FleetDocument, "revision"> {
  const servers = plannedServers().map(({ state: _state, ...server }): ServerRecord => {
    return { ...server, state: "serving", epoch: 1, rebootedAt: wallTime, since: wallTime };
  });
  return { writeId: "initial", group: GROUP, servers, retired: [] };
}

export function plannedConfig(wallTime: number, runMs: number): ConfigDocument {
  return {
    revision: 1,
    writeId: "initial",
    acceptedAt: wallTime,
    pools: POOLS.map(({ servers, ...pool }) => ({
      ...pool,
      group: GROUP,
      minAvailable: servers - 2,
      targetSize: servers,
    })),
    queues: POOLS.map(({ name }) => ({
      name,
      pool: name,
      open: false,
      idempotent: true,
      declaredRunMs: runMs,
    })),
    teams: TEAMS.map((team) => ({
      ...team,
      queues: [],
      keys: [hashKey(keyOf(team.name), `salt-${team.name}`)],
    })),
    maintenance: { startMinute: 0, endMinute: 1440, everyDays: 0, maxParallel: 2 },
    weights: { bufferCost: 3, rolloutTime: 1, moves: 1, closenessToShare: 3 },
  };
}
