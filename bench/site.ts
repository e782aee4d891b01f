/** Deployments that the benchmarks measure; sizes from section 1.2 of the design. */
import type { ConfigDocument } from "../src/protocol/config-document.ts";

/** A pool and the queue of the same name. */
export interface PoolPlan {
  readonly name: string;
  readonly servers: number;
  readonly urgentReserveSlots: number;
  readonly spare: boolean;
}

/** A team of an organisation. Its share is a weight relative to the other teams. */
export interface TeamPlan {
  readonly name: string;
  readonly share: number;
  readonly upperLimit: number;
}

/** Size, latency and configuration of a benchmarked deployment. */
export interface Site {
  readonly name: string;
  readonly group: string;
  readonly zones: readonly string[];
  readonly entriesPerZone: number;
  /** One-way latency between instances, in milliseconds. */
  readonly latencyMs: number;
  readonly cores: number;
  readonly memoryGb: number;
  readonly pools: readonly PoolPlan[];
  readonly teams: readonly TeamPlan[];
  readonly weights: ConfigDocument["weights"];
}

/** Execution slots of each backend server. */
export const SLOTS_PER_SERVER = 8;

const PIEDRA_VIVA: Site = {
  name: "piedra-viva",
  group: "andina",
  zones: ["z1", "z2", "z3"],
  entriesPerZone: 3,
  latencyMs: 1.5,
  cores: 64,
  memoryGb: 256,
  pools: [
    { name: "enrolment", servers: 8, urgentReserveSlots: 8, spare: false },
    { name: "allotments", servers: 6, urgentReserveSlots: 4, spare: false },
    { name: "certification", servers: 6, urgentReserveSlots: 0, spare: false },
    { name: "ledgers", servers: 6, urgentReserveSlots: 2, spare: false },
    { name: "shared", servers: 9, urgentReserveSlots: 0, spare: true },
  ],
  teams: [
    { name: "head-office", share: 30, upperLimit: 120 },
    { name: "north-schools", share: 25, upperLimit: 120 },
    { name: "coast-schools", share: 20, upperLimit: 120 },
    { name: "suppliers", share: 10, upperLimit: 48 },
    { name: "certifiers", share: 10, upperLimit: 48 },
    { name: "field-guides", share: 5, upperLimit: 48 },
  ],
  weights: { bufferCost: 3, rolloutTime: 1, moves: 1, closenessToShare: 3 },
};

const WAITAHA: Site = {
  name: "waitaha",
  group: "canterbury",
  zones: ["d1", "d2", "d3", "d4"],
  entriesPerZone: 2,
  latencyMs: 1,
  cores: 16,
  memoryGb: 64,
  pools: [
    { name: "aim-plans", servers: 8, urgentReserveSlots: 8, spare: false },
    { name: "fitting-checks", servers: 8, urgentReserveSlots: 4, spare: false },
    { name: "survey-runs", servers: 8, urgentReserveSlots: 0, spare: false },
    { name: "rosters", servers: 8, urgentReserveSlots: 0, spare: false },
    { name: "other-depot", servers: 8, urgentReserveSlots: 0, spare: true },
  ],
  teams: [
    { name: "main-depot", share: 30, upperLimit: 136 },
    { name: "city-crews", share: 25, upperLimit: 136 },
    { name: "plains-crews", share: 20, upperLimit: 136 },
    { name: "surveyors", share: 10, upperLimit: 56 },
    { name: "planners", share: 10, upperLimit: 56 },
    { name: "night-shift", share: 5, upperLimit: 56 },
  ],
  weights: { bufferCost: 1, rolloutTime: 3, moves: 1, closenessToShare: 3 },
};

export const SITES: ReadonlyMap<string, Site> = new Map(
  [PIEDRA_VIVA, WAITAHA].map((site) => [site.name, site]),
);

/** Number of entry instances of a site. */
export function entryCount({ zones, entriesPerZone }: Site): number {
  return zones.length * entriesPerZone;
}

/** Index of an entry's availability zone in the list of zones. */
export function zoneIndexOfEntry({ entriesPerZone }: Site, entry: number): number {
  return Math.floor(entry / entriesPerZone);
}
