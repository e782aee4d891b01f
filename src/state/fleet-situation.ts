import type { ListedInstance } from "../ports/instance-list.ts";
import type { ConfigDocument, PoolConfig } from "../protocol/config-document.ts";
import type { Explanation } from "../protocol/entry-status.ts";
import type { ServerRecord } from "../protocol/fleet-document.ts";

/** Most recent known health of backend servers. */
export abstract class FleetHealth {
  /** Longest time in milliseconds for which a server that went down is still reported as live. */
  readonly detectionDelayMs: number = 12_000;

  /**
   * False if the server is known to be down. A server without health information counts as live.
   */
  abstract isLive(server: string): boolean;
  /** True only if the server was recently reported as up; required before a planned drain. */
  isConfirmedLive(server: string): boolean {
    return this.isLive(server);
  }
  /** True if tasks fail on this server but succeed on others. */
  abstract isFaulty(server: string): boolean;
}

/** Input of the planning rules. Rules have no side effects. */
export interface FleetSituation {
  readonly group: string;
  readonly servers: readonly ServerRecord[];
  readonly config: ConfigDocument;
  readonly health: FleetHealth;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly wallTimeMs: number;
  /** Listed instances of the group's availability zones; undefined if the list was not readable. */
  readonly listed: readonly ListedInstance[] | undefined;
  /** Servers missing from the list whose absence was confirmed by contacting the server itself. */
  readonly confirmedGone: ReadonlySet<string>;
  /** {@link rebootId} of reboots carried out at least `health.detectionDelayMs` ago. */
  readonly rebooted: ReadonlySet<string>;
}

/** Identifies one ordered reboot. Each reboot of a server has a different id. */
export function rebootId({ name, since }: ServerRecord): string {
  return `${name}#${since}`;
}

/** A change of the fleet document by one rule, written with one compare-and-swap. */
export interface Decision {
  readonly servers: readonly ServerRecord[];
  readonly explanation: Explanation;
}

/** Result of evaluating a rule. */
export interface RuleOutcome {
  readonly decision?: Decision;
  /** Actions that a limit prevented, with the limit that prevented them. */
  readonly withheld: readonly Explanation[];
}

/** Derives at most one decision from the state of the fleet. */
export type Rule = (situation: FleetSituation) => RuleOutcome;

/** Outcome of a rule that neither decides nor withholds anything. */
export const NOTHING_TO_DO: RuleOutcome = { withheld: [] };

/** Numbers on which a decision is based, by name. */
export type Figures = Readonly<Record<string, number>>;

/** Builds the explanation of a decision or of a withheld action. */
export function explain(
  { wallTimeMs }: FleetSituation,
  rule: string,
  text: string,
  figures: Figures = {},
): Explanation {
  return { at: wallTimeMs, rule, text, figures };
}

/** Pools of the group that is planned. */
export function poolsOf({ config, group }: FleetSituation): readonly PoolConfig[] {
  return config.pools.filter((pool) => pool.group === group);
}

/** Finds a pool of the group. Undefined if it was removed from the configuration. */
export function poolOf(situation: FleetSituation, name: string): PoolConfig | undefined {
  return poolsOf(situation).find((pool) => pool.name === name);
}

/** True if the server counts towards its pool's availability budget. */
export function isAvailable({ health }: FleetSituation, server: ServerRecord): boolean {
  return server.state === "serving" && health.isLive(server.name);
}

/** Server counts of one pool. */
interface PoolCount {
  availableServers: number;
  /** See {@link effectiveSize}. */
  effectiveServers: number;
}

/** Caches the counts of each situation, because every rule reads them for each pool. */
const poolCounts = new WeakMap<FleetSituation, ReadonlyMap<string, PoolCount>>();

function poolCountOf(situation: FleetSituation, pool: string): PoolCount {
  const counts = poolCounts.get(situation) ?? countPools(situation);
  poolCounts.set(situation, counts);
  return counts.get(pool) ?? { availableServers: 0, effectiveServers: 0 };
}

function countPools(situation: FleetSituation): ReadonlyMap<string, PoolCount> {
  const counts = new Map<string, PoolCount>();
  const count = (pool: string): PoolCount => {
    const found = counts.get(pool) ?? { availableServers: 0, effectiveServers: 0 };
    counts.set(pool, found);
    return found;
  };
  for (const server of situation.servers) {
    if (isAvailable(situation, server)) count(server.pool).availableServers++;
    if (isEffective(situation, server)) count(server.moveTo ?? server.pool).effectiveServers++;
  }
  return counts;
}

function isEffective({ health }: FleetSituation, server: ServerRecord): boolean {
  if (server.state === "leaving" || server.state === "quarantined") return false;
  // A server that is drained, moved or rebooted as planned is down only briefly and returns.
  return server.state !== "serving" || health.isLive(server.name);
}

/** Number of available servers of a pool. */
export function countAvailable(situation: FleetSituation, pool: string): number {
  return poolCountOf(situation, pool).availableServers;
}

/** Outcome of the check of the availability budget. */
export interface BudgetCheck {
  readonly allowed: boolean;
  readonly figures: Figures;
}

/**
 * Checks whether the availability budget allows a planned removal of this server from service. All
 * rules use this check. A server that is not available uses no budget.
 */
export function checkAvailabilityBudget(
  situation: FleetSituation,
  server: ServerRecord,
): BudgetCheck {
  const { health, servers } = situation;
  const minAvailable = poolOf(situation, server.pool)?.minAvailable ?? 0;
  // Servers of an unreachable availability zone may be down, so they do not count as available.
  const confirmed = servers.filter(
    (each) =>
      each.pool === server.pool &&
      isAvailable(situation, each) &&
      health.isConfirmedLive(each.name),
  );
  const figures = { available: confirmed.length, minAvailable };
  if (!isAvailable(situation, server)) return { allowed: true, figures };
  const left = confirmed.filter((each) => each.name !== server.name).length;
  return { allowed: left >= minAvailable, figures };
}

/**
 * Number of servers that a pool will have once all moves have finished. Servers that are leaving,
 * quarantined or unexpectedly down do not count.
 */
export function effectiveSize(situation: FleetSituation, pool: string): number {
  return poolCountOf(situation, pool).effectiveServers;
}

/** Coverage by the spare pool of the loss of one rack or availability zone. */
export interface BufferCoverage {
  /** Number of servers that pools would lack to meet their availability budgets after the loss. */
  readonly need: number;
  /** Remaining spare servers above the spare pool's own budget after the same loss. */
  readonly have: number;
  /** The failure domain with the smallest margin, `have` minus `need`. */
  readonly domain: string;
}

/** Finds the failure domain whose loss the spare pool covers worst. */
export function bufferCoverage(situation: FleetSituation): BufferCoverage {
  let worst: BufferCoverage = { need: 0, have: 0, domain: "none" };
  let worstMargin = Infinity;
  for (const [domain, lost] of countAvailableByDomain(situation)) {
    let need = 0;
    let have = 0;
    for (const pool of poolsOf(situation)) {
      const left = countAvailable(situation, pool.name) - (lost.get(pool.name) ?? 0);
      if (pool.spare) have += Math.max(0, left - pool.minAvailable);
      else need += Math.max(0, pool.minAvailable - left);
    }
    if (have - need >= worstMargin) continue;
    worstMargin = have - need;
    worst = { need, have, domain };
  }
  return worst;
}

/** Number of available servers by failure domain and pool. */
function countAvailableByDomain(
  situation: FleetSituation,
): ReadonlyMap<string, ReadonlyMap<string, number>> {
  const domains = new Map<string, Map<string, number>>();
  for (const server of situation.servers) {
    if (!isAvailable(situation, server)) continue;
    for (const domain of [`zone ${server.zone}`, `rack ${server.zone}/${server.rack}`]) {
      const pools = domains.get(domain) ?? new Map<string, number>();
      domains.set(domain, pools);
      pools.set(server.pool, (pools.get(server.pool) ?? 0) + 1);
    }
  }
  return domains;
}

/**
 * Number of buffer servers: available spare servers and servers above the target sizes of pools.
 */
export function countBufferServers(situation: FleetSituation): number {
  return poolsOf(situation).reduce((sum, pool) => {
    const up = countAvailable(situation, pool.name);
    return sum + (pool.spare ? up : Math.max(0, up - pool.targetSize));
  }, 0);
}

/** Compares two lists of criteria lexicographically. */
export function compareCriteria(a: readonly number[], b: readonly number[]): number {
  for (const [index, value] of a.entries()) {
    const difference = value - (b[index] ?? 0);
    if (difference !== 0) return difference;
  }
  return 0;
}
