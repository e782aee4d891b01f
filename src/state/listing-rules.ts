/** Rules that bring the fleet document in line with the platform's instance list. */
import type { ListedInstance } from "../platform/instance-list.ts";
import type { ServerRecord } from "../protocol/fleet-document.ts";
import {
  effectiveSize,
  explain,
  NOTHING_TO_DO,
  poolsOf,
  type FleetSituation,
  type RuleOutcome,
} from "./fleet-situation.ts";
import { goTo, replaceServer } from "./fleet-transitions.ts";

/** Adds all new live instances, each to the pool that needs it most. */
export function addServers(situation: FleetSituation): RuleOutcome {
  const known = new Set(situation.servers.map((server) => server.name));
  const added = (situation.listed ?? []).filter(
    (instance) => instance.state === "live" && !known.has(instance.name),
  );
  if (added.length === 0 || poolsOf(situation).length === 0) return NOTHING_TO_DO;
  let servers = situation.servers;
  for (const instance of [...added].sort((a, b) => (a.name < b.name ? -1 : 1))) {
    servers = [...servers, toRecord({ ...situation, servers }, instance)];
  }
  const text = `${added.length} new servers go to the pools that need them most`;
  const figures = { added: added.length, servers: servers.length };
  return {
    decision: { servers, explanation: explain(situation, "add", text, figures) },
    withheld: [],
  };
}

function toRecord(situation: FleetSituation, instance: ListedInstance): ServerRecord {
  const { name, address, zone, rack, cores, memoryGb, accelerators, slots } = instance;
  return {
    ...{ name, address, zone, rack, cores, memoryGb, accelerators, slots },
    pool: neediestPool(situation, instance),
    state: "serving",
    epoch: 1,
    rebootedAt: 0,
    since: situation.wallTimeMs,
  };
}

/** Pool with the largest shortage; among equals the one with fewest servers in the same rack. */
function neediestPool(situation: FleetSituation, instance: ListedInstance): string {
  const ranked = poolsOf(situation).map((pool) => {
    const members = situation.servers.filter((server) => server.pool === pool.name);
    const inZone = members.filter((server) => server.zone === instance.zone);
    const sameHardware = members.filter((s) => s.accelerators > 0 === instance.accelerators > 0);
    const shortage = pool.targetSize - effectiveSize(situation, pool.name);
    return {
      name: pool.name,
      spare: pool.spare,
      short: shortage > 0,
      fits: members.length === 0 || sameHardware.length > 0,
      // Relative shortage fills all pools evenly, so that a short list starves none of them.
      need: shortage / Math.max(1, pool.targetSize),
      inZone: inZone.length / Math.max(1, pool.targetSize),
      inRack: inZone.filter((server) => server.rack === instance.rack).length,
    };
  });
  ranked.sort(
    (a, b) =>
      Number(b.short) - Number(a.short) ||
      Number(b.fits) - Number(a.fits) ||
      // Servers beyond all targets are spare.
      (a.short ? 0 : Number(b.spare) - Number(a.spare)) ||
      a.inRack - b.inRack ||
      a.inZone - b.inZone ||
      b.need - a.need,
  );
  return ranked[0]?.name ?? "";
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
    goTo(server, "leaving", { at: situation.wallTimeMs }),
  );
  const cause = leaving.has(server.name) ? "listed as leaving" : "gone";
  const text = `${server.name} of ${server.pool} is ${cause}`;
  return { decision: { servers, explanation: explain(situation, "leaving", text) }, withheld: [] };
}

/** Removes leaving servers whose absence was confirmed, and takes back those listed again. */
export function removeOrReturn(situation: FleetSituation): RuleOutcome {
  const { listed, confirmedGone, servers, wallTimeMs, health } = situation;
  const gone = servers.find((s) => s.state === "leaving" && confirmedGone.has(s.name));
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
      servers: replaceServer(servers, goTo(back, "serving", { at: wallTimeMs })),
      explanation: explain(situation, "return", `${back.name} is listed as live again`),
    },
    withheld: [],
  };
}
