/** Rules that move servers between pools to reach target sizes. */
import type { PoolConfig } from "../protocol/config-document.ts";
import type { ServerRecord } from "../protocol/fleet-document.ts";
import {
  countAvailable,
  bufferCoverage,
  checkAvailabilityBudget,
  compareCriteria,
  effectiveSize,
  explain,
  poolOf,
  poolsOf,
  type Figures,
  type FleetSituation,
  type RuleOutcome,
} from "./fleet-situation.ts";
import { decideTransition } from "./health-rules.ts";
import { dueServers, areWindowsOpen, serversInWave } from "./maintenance-rules.ts";
import { replaceServer } from "./fleet-transitions.ts";
import { concurrentMoveLimit } from "./planner-weights.ts";

/** A pool with fewer servers than wanted. */
interface Shortage {
  readonly pool: PoolConfig;
  readonly size: number;
  readonly missing: number;
  /** True if the pool is below its availability budget, not only below its wanted size. */
  readonly urgent: boolean;
}

/** Starts one move for the pool with the greatest shortage. */
export function moveTowardsTargets(situation: FleetSituation): RuleOutcome {
  const withheld = [];
  const moving = situation.servers.filter((s) => s.moveTo !== undefined || s.state === "moving");
  const { limit, figures: weights } = concurrentMoveLimit(
    situation.servers.length,
    situation.config.weights,
  );
  for (const shortage of shortages(situation)) {
    const { pool, size, urgent } = shortage;
    const figures = { size, targetSize: pool.targetSize, moving: moving.length };
    const candidates = moveCandidates(situation, shortage);
    const allowed = candidates.find((server) => isMoveAllowed(situation, server, shortage));
    if (allowed === undefined) {
      const blocked =
        candidates.length === 0
          ? "no other pool has a surplus"
          : "availability limits prevent moves";
      const text = `${pool.name} lacks ${shortage.missing} servers, but ${blocked}`;
      withheld.push(explain(situation, "move", text, { ...figures, limit }));
    } else if (moving.length >= limit && !urgent) {
      const text = `${pool.name} waits for other moves to finish`;
      withheld.push(explain(situation, "move", text, { ...figures, limit, ...weights }));
    } else {
      const reasonFigures = urgent ? figures : { ...figures, limit, ...weights };
      return { ...startMove(situation, allowed, shortage, reasonFigures), withheld };
    }
  }
  return { withheld };
}

/**
 * Size that a pool should have now. A pool whose budget equals its target size could never drain a
 * server, so it gets one more while reboots of its servers are due or in progress and its
 * maintenance windows are open.
 */
function wantedSize(situation: FleetSituation, pool: PoolConfig): number {
  if (pool.spare || pool.minAvailable < pool.targetSize) return pool.targetSize;
  if (!areWindowsOpen(situation, pool.name)) return pool.targetSize;
  const open = [...dueServers(situation), ...serversInWave(situation)];
  return pool.targetSize + (open.some((server) => server.pool === pool.name) ? 1 : 0);
}

function shortages(situation: FleetSituation): readonly Shortage[] {
  return poolsOf(situation)
    .map((pool): Shortage => {
      const size = effectiveSize(situation, pool.name);
      const missing = wantedSize(situation, pool) - size;
      const urgent = countAvailable(situation, pool.name) < pool.minAvailable && missing > 0;
      return { pool, size, missing, urgent };
    })
    .filter(({ missing }) => missing > 0)
    .sort(
      (a, b) => Number(b.urgent) - Number(a.urgent) || relativeShortage(b) - relativeShortage(a),
    );
}

function relativeShortage({ missing, pool }: Shortage): number {
  return missing / Math.max(1, pool.targetSize);
}

/**
 * Servers that could move, best first: empty servers, then those of pools with a surplus before the
 * spare pool, then matching hardware, then the fewest servers in the same rack and zone.
 */
function moveCandidates(situation: FleetSituation, { pool }: Shortage): readonly ServerRecord[] {
  const members = situation.servers.filter((server) => server.pool === pool.name);
  const donorNames = new Set(donorPools(situation, pool));
  const rank = (server: ServerRecord): readonly number[] => [
    server.state === "empty" ? 0 : 1,
    donorNames.has(server.pool) && poolOf(situation, server.pool)?.spare !== true ? 0 : 1,
    members.some((member) => sameHardware(member, server)) || members.length === 0 ? 0 : 1,
    members.filter((member) => member.zone === server.zone && member.rack === server.rack).length,
    members.filter((member) => member.zone === server.zone).length,
  ];
  return situation.servers
    .filter(
      (server) =>
        donorNames.has(server.pool) &&
        server.moveTo === undefined &&
        (server.state === "serving" || server.state === "empty") &&
        situation.health.isLive(server.name) &&
        !situation.health.isFaulty(server.name),
    )
    .map((server) => ({ server, rank: rank(server) }))
    .sort((a, b) => compareCriteria(a.rank, b.rank) || (a.server.name < b.server.name ? -1 : 1))
    .map(({ server }) => server);
}

/** Names of pools with a surplus, and of spare pools. */
function donorPools(situation: FleetSituation, needing: PoolConfig): readonly string[] {
  const names = new Set(situation.servers.map((server) => server.pool));
  return [...names].filter((name) => {
    if (name === needing.name) return false;
    const pool = poolOf(situation, name);
    if (pool?.spare === true) return true;
    const wanted = pool === undefined ? 0 : wantedSize(situation, pool);
    return effectiveSize(situation, name) > wanted;
  });
}

/**
 * Checks the availability budget and, for a server of the spare pool, that the worst loss of a
 * failure domain stays covered or its coverage does not decrease. Coverage is not checked if the
 * target pool is below its availability budget.
 */
function isMoveAllowed(
  situation: FleetSituation,
  server: ServerRecord,
  { pool, urgent }: Shortage,
): boolean {
  if (!checkAvailabilityBudget(situation, server).allowed) return false;
  if (urgent || poolOf(situation, server.pool)?.spare !== true) return true;
  const moved = replaceServer(situation.servers, { ...server, pool: pool.name });
  const after = coverageMargin({ ...situation, servers: moved });
  return after >= Math.min(0, coverageMargin(situation));
}

function coverageMargin(situation: FleetSituation): number {
  const { have, need } = bufferCoverage(situation);
  return have - need;
}

function startMove(
  situation: FleetSituation,
  server: ServerRecord,
  { pool, urgent }: Shortage,
  reasonFigures: Figures,
): RuleOutcome {
  const figures = {
    ...checkAvailabilityBudget(situation, server).figures,
    ...reasonFigures,
    urgent: Number(urgent),
  };
  if (server.state === "empty") {
    const text = `empty ${server.name} goes to ${pool.name}`;
    const servers = replaceServer(situation.servers, { ...server, moveTo: pool.name });
    const explanation = explain(situation, "move", text, figures);
    return { decision: { servers, explanation }, withheld: [] };
  }
  const text = `${server.name} is drained to go from ${server.pool} to ${pool.name}`;
  const to = { state: "draining", moveTo: pool.name } as const;
  return decideTransition(situation, server, to, { rule: "move", text, figures });
}

function sameHardware(a: ServerRecord, b: ServerRecord): boolean {
  return (
    a.cores === b.cores && a.memoryGb === b.memoryGb && a.accelerators > 0 === b.accelerators > 0
  );
}
