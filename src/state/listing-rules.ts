/** Rules that bring the fleet document in line with the platform's instance list. */
import type { ListedInstance } from "../ports/instance-list.ts";
import type { PoolConfig } from "../protocol/config-document.ts";
import type { ServerRecord } from "../protocol/fleet-document.ts";
import {
  compareRanks,
  effectiveSize,
  explain,
  NOTHING_TO_DO,
  poolsOf,
  type FleetSituation,
  type RuleOutcome,
} from "./fleet-situation.ts";
import { transitionTo, replaceServer } from "./fleet-transitions.ts";

/** Adds all new live instances, each to the pool that needs it most. */
export function addServers(situation: FleetSituation): RuleOutcome {
  const known = new Set(situation.servers.map((server) => server.name));
  const added = (situation.listed ?? []).filter(
    (instance) => instance.state === "live" && !known.has(instance.name),
  );
  if (added.length === 0 || poolsOf(situation).length === 0) return NOTHING_TO_DO;
  const tallies = poolsOf(situation).map((pool) => new PoolTally(situation, pool));
  const sorted = [...added].sort((a, b) => (a.name < b.name ? -1 : 1));
  const records = sorted.map((instance) => place(situation, tallies, instance));
  const servers = [...situation.servers, ...records];
  const text = `${added.length} new servers go to the pools that need them most`;
  const figures = { added: added.length, servers: servers.length };
  const explanation = explain(situation, "add", text, figures);
  return { decision: { servers, explanation }, withheld: [] };
}

/** Size and spread of a pool while servers are added to it. */
class PoolTally {
  readonly pool: PoolConfig;
  #size: number;
  readonly #places = new Map<string, number>();
  readonly #hardware = new Set<boolean>();

  constructor(situation: FleetSituation, pool: PoolConfig) {
    this.pool = pool;
    this.#size = effectiveSize(situation, pool.name);
    for (const server of situation.servers) if (server.pool === pool.name) this.#note(server);
  }

  get shortage(): number {
    return this.pool.targetSize - this.#size;
  }

  add(instance: ListedInstance): void {
    this.#size++;
    this.#note(instance);
  }

  inZone({ zone }: ListedInstance): number {
    return (this.#places.get(zone) ?? 0) / Math.max(1, this.pool.targetSize);
  }

  inRack({ zone, rack }: ListedInstance): number {
    return this.#places.get(`${zone}/${rack}`) ?? 0;
  }

  fits({ accelerators }: ListedInstance): boolean {
    return this.#hardware.size === 0 || this.#hardware.has(accelerators > 0);
  }

  #note({
    zone,
    rack,
    accelerators,
  }: Pick<ListedInstance, "zone" | "rack" | "accelerators">): void {
    for (const place of [zone, `${zone}/${rack}`]) {
      this.#places.set(place, (this.#places.get(place) ?? 0) + 1);
    }
    this.#hardware.add(accelerators > 0);
  }
}

function place(
  { wallTimeMs, servers }: FleetSituation,
  tallies: readonly PoolTally[],
  instance: ListedInstance,
): ServerRecord {
  const tally = neediest(tallies, instance);
  tally.add(instance);
  const { name, address, zone, rack, cores, memoryGb, accelerators, slots } = instance;
  return {
    ...{ name, address, zone, rack, cores, memoryGb, accelerators, slots },
    pool: tally.pool.name,
    state: "serving",
    epoch: 1,
    // All servers of a first placement are of unknown age; a later one has just appeared.
    rebootedAt: servers.length === 0 ? 0 : wallTimeMs,
    since: wallTimeMs,
  };
}

/** Pool with a shortage and matching hardware that has fewest servers in the same rack and zone. */
function neediest(tallies: readonly PoolTally[], instance: ListedInstance): PoolTally {
  const rank = (tally: PoolTally): readonly number[] => {
    const short = tally.shortage > 0;
    return [
      short ? 0 : 1,
      tally.fits(instance) ? 0 : 1,
      // Servers beyond all targets are spare.
      short || tally.pool.spare ? 0 : 1,
      tally.inRack(instance),
      tally.inZone(instance),
      // Relative shortage fills all pools evenly, so that a short list starves none of them.
      -tally.shortage / Math.max(1, tally.pool.targetSize),
    ];
  };
  const ranked = tallies.map((tally) => ({ tally, rank: rank(tally) }));
  return ranked.reduce((best, next) => (compareRanks(next.rank, best.rank) < 0 ? next : best))
    .tally;
}

/** A server is gone if its absence was confirmed and the list does not show it again. */
function isGone({ listed, confirmedGone }: FleetSituation, { name }: ServerRecord): boolean {
  return confirmedGone.has(name) && listed?.some((instance) => instance.name === name) === false;
}

/** Marks servers as leaving that the list shows as leaving, or whose absence was confirmed. */
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
  const cause = leaving.has(server.name) ? "listed as leaving" : "gone";
  const text = `${server.name} of ${server.pool} is ${cause}`;
  return { decision: { servers, explanation: explain(situation, "leaving", text) }, withheld: [] };
}

/** Removes leaving servers whose absence was confirmed, and takes back those listed again. */
export function removeOrRestore(situation: FleetSituation): RuleOutcome {
  const { listed, servers, wallTimeMs, health } = situation;
  const gone = servers.find((s) => s.state === "leaving" && isGone(situation, s));
  if (gone !== undefined) {
    const text = `${gone.name} of ${gone.pool} is gone`;
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
    (s) => s.state === "leaving" && live.has(s.name) && health.live(s.name),
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
