/** Rules that synchronize the fleet document with the platform's instance list. */
import type { ListedInstance } from "../ports/instance-list.ts";
import type { PoolConfig } from "../protocol/config-document.ts";
import type { ServerRecord } from "../protocol/fleet-document.ts";
import {
  compareCriteria,
  effectiveSize,
  explain,
  NOTHING_TO_DO,
  poolsOf,
  type FleetSituation,
  type RuleOutcome,
} from "./fleet-situation.ts";
import { transitionTo, replaceServer } from "./fleet-transitions.ts";

/** Adds all new live instances, each to the pool with the greatest need. */
export function addServers(situation: FleetSituation): RuleOutcome {
  const known = new Set(situation.servers.map((server) => server.name));
  const added = (situation.listed ?? []).filter(
    (instance) => instance.state === "live" && !known.has(instance.name),
  );
  if (added.length === 0 || poolsOf(situation).length === 0) return NOTHING_TO_DO;
  const tallies = poolsOf(situation).map((pool) => new PoolTally(situation, pool));
  const sorted = [...added].sort((a, b) => (a.name < b.name ? -1 : 1));
  const records = sorted.map((instance) => addToPool(situation, tallies, instance));
  const servers = [...situation.servers, ...records];
  const text = `${added.length} new servers go to the pools that need them most`;
  const figures = { added: added.length, servers: servers.length };
  const explanation = explain(situation, "add", text, figures);
  return { decision: { servers, explanation }, withheld: [] };
}

/** Tracks the size, placement and hardware of a pool while servers are added to it. */
class PoolTally {
  readonly pool: PoolConfig;
  #size: number;
  readonly #serversByLocation = new Map<string, number>();
  readonly #hardware = new Set<boolean>();

  constructor(situation: FleetSituation, pool: PoolConfig) {
    this.pool = pool;
    this.#size = effectiveSize(situation, pool.name);
    for (const server of situation.servers) if (server.pool === pool.name) this.#count(server);
  }

  get shortage(): number {
    return this.pool.targetSize - this.#size;
  }

  add(instance: ListedInstance): void {
    this.#size++;
    this.#count(instance);
  }

  densityInZone({ zone }: ListedInstance): number {
    return (this.#serversByLocation.get(zone) ?? 0) / Math.max(1, this.pool.targetSize);
  }

  countInRack({ zone, rack }: ListedInstance): number {
    return this.#serversByLocation.get(`${zone}/${rack}`) ?? 0;
  }

  matchesHardware({ accelerators }: ListedInstance): boolean {
    return this.#hardware.size === 0 || this.#hardware.has(accelerators > 0);
  }

  #count({
    zone,
    rack,
    accelerators,
  }: Pick<ListedInstance, "zone" | "rack" | "accelerators">): void {
    for (const location of [zone, `${zone}/${rack}`]) {
      this.#serversByLocation.set(location, (this.#serversByLocation.get(location) ?? 0) + 1);
    }
    this.#hardware.add(accelerators > 0);
  }
}

/** Selects a pool for an instance, adds the instance to its tally, and returns the new record. */
function addToPool(
  { wallTimeMs, servers }: FleetSituation,
  tallies: readonly PoolTally[],
  instance: ListedInstance,
): ServerRecord {
  const tally = selectPool(tallies, instance);
  tally.add(instance);
  const { name, address, zone, rack, cores, memoryGb, accelerators, slots } = instance;
  return {
    ...{ name, address, zone, rack, cores, memoryGb, accelerators, slots },
    pool: tally.pool.name,
    state: "serving",
    epoch: 1,
    // The boot time of the first servers is unknown; servers added later have just started.
    rebootedAt: servers.length === 0 ? 0 : wallTimeMs,
    since: wallTimeMs,
  };
}

/**
 * Selects a pool for an instance: preferably one with a shortage and matching hardware, then the
 * one with the fewest servers in the same rack and availability zone.
 */
function selectPool(tallies: readonly PoolTally[], instance: ListedInstance): PoolTally {
  const rank = (tally: PoolTally): readonly number[] => {
    const short = tally.shortage > 0;
    return [
      short ? 0 : 1,
      tally.matchesHardware(instance) ? 0 : 1,
      // Once all pools have their target size, servers go to the spare pool.
      short || tally.pool.spare ? 0 : 1,
      tally.countInRack(instance),
      tally.densityInZone(instance),
      // Relative shortage fills all pools evenly, so that no pool stays empty if the list is short.
      -tally.shortage / Math.max(1, tally.pool.targetSize),
    ];
  };
  const ranked = tallies.map((tally) => ({ tally, rank: rank(tally) }));
  return ranked.reduce((best, next) => (compareCriteria(next.rank, best.rank) < 0 ? next : best))
    .tally;
}

/** True if the absence of a server was confirmed and the list still does not contain it. */
function isGone({ listed, confirmedGone }: FleetSituation, { name }: ServerRecord): boolean {
  return confirmedGone.has(name) && listed?.some((instance) => instance.name === name) === false;
}

/** Marks a server as leaving if it is listed as leaving or its absence was confirmed. */
export function markLeaving(situation: FleetSituation): RuleOutcome {
  const leaving = new Set(
    (situation.listed ?? []).filter((i) => i.state === "leaving").map((i) => i.name),
  );
  const server = situation.servers.find(
    (s) => s.state !== "leaving" && (leaving.has(s.name) || situation.confirmedGone.has(s.name)),
  );
  if (server === undefined) return NOTHING_TO_DO;
  const servers = replaceServer(
    situation.servers,
    transitionTo(server, "leaving", { at: situation.wallTimeMs }),
  );
  const cause = leaving.has(server.name) ? "listed as leaving" : "no longer present";
  const text = `${server.name} of ${server.pool} is ${cause}`;
  return { decision: { servers, explanation: explain(situation, "leaving", text) }, withheld: [] };
}

/** Removes a leaving server whose absence was confirmed, or restores one listed as live again. */
export function removeOrRestore(situation: FleetSituation): RuleOutcome {
  const { listed, servers, wallTimeMs, health } = situation;
  const gone = servers.find((s) => s.state === "leaving" && isGone(situation, s));
  if (gone !== undefined) {
    const text = `${gone.name} of ${gone.pool} no longer exists and is removed`;
    return {
      decision: {
        servers: servers.filter((server) => server !== gone),
        explanation: explain(situation, "remove", text, { servers: servers.length - 1 }),
      },
      withheld: [],
    };
  }
  const live = new Set((listed ?? []).filter((i) => i.state === "live").map((i) => i.name));
  const back = servers.find(
    (s) => s.state === "leaving" && live.has(s.name) && health.isLive(s.name),
  );
  if (back === undefined) return NOTHING_TO_DO;
  return {
    decision: {
      servers: replaceServer(servers, transitionTo(back, "serving", { at: wallTimeMs })),
      explanation: explain(situation, "return", `${back.name} is listed as live again`),
    },
    withheld: [],
  };
}
