import type { ListedInstance } from "../ports/instance-list.ts";
import type { ConfigDocument, PoolConfig } from "../protocol/config-document.ts";
import type { Explanation } from "../protocol/entry-status.ts";
import type { ServerRecord } from "../protocol/fleet-document.ts";

/** Most recent known health of backend servers. */
export abstract class FleetHealth {
  /** Longest time in milliseconds for which a server that went down still counts as live. */
  readonly detectionDelayMs: number = 12_000;

  /** False if the server is known to be down; a server of which nothing is known is live. */
  abstract live(server: string): boolean;
  /** True only if somebody stated lately that the server is up; needed before a planned drain. */
  confirmed(server: string): boolean {
    return this.live(server);
  }
  /** True if tasks fail on the server that succeed elsewhere. */
  abstract faulty(server: string): boolean;
}

/** Everything that a planning rule may look at. Rules change nothing themselves. */
export interface FleetSituation {
  readonly group: string;
  readonly servers: readonly ServerRecord[];
  readonly config: ConfigDocument;
  readonly health: FleetHealth;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly wallTimeMs: number;
  /** Listed instances of the group's zones; undefined if the list could not be read. */
  readonly listed: readonly ListedInstance[] | undefined;
  /** Servers whose absence from the list was confirmed at the server itself. */
  readonly confirmedGone: ReadonlySet<string>;
  /** {@link rebootId} of reboots that were carried out at least the health's lag ago. */
  readonly rebooted: ReadonlySet<string>;
}

/** Identifies one ordered reboot; the next reboot of the same server has another id. */
export function rebootId({ name, since }: ServerRecord): string {
  return `${name}#${since}`;
}

/** A change of the fleet document by one rule, written as one compare-and-swap. */
export interface Decision {
  readonly servers: readonly ServerRecord[];
  readonly explanation: Explanation;
}

/** What a rule makes of a situation. */
export interface RuleOutcome {
  readonly decision?: Decision;
  /** What the rule would do but for a limit, and which. */
  readonly withheld: readonly Explanation[];
}

/** A planning rule. */
export type Rule = (situation: FleetSituation) => RuleOutcome;

/** Outcome of a rule that has nothing to do. */
export const NOTHING_TO_DO: RuleOutcome = { withheld: [] };

/** Figures behind a decision. */
export type Figures = Readonly<Record<string, number>>;

/** Explains a decision, or why there is none. */
export function explain(
  { wallTimeMs }: FleetSituation,
  rule: string,
  text: string,
  figures: Figures = {},
): Explanation {
  return { at: wallTimeMs, rule, text, figures };
}

/** Pools of the situation's group. */
export function poolsOf({ config, group }: FleetSituation): readonly PoolConfig[] {
  return config.pools.filter((pool) => pool.group === group);
}

/** A pool of the group; undefined if it was taken out of the configuration. */
export function poolOf(situation: FleetSituation, name: string): PoolConfig | undefined {
  return poolsOf(situation).find((pool) => pool.name === name);
}

/** True if the server counts towards its pool's availability budget. */
export function isAvailable({ health }: FleetSituation, server: ServerRecord): boolean {
  return server.state === "serving" && health.live(server.name);
}

/** Servers of a pool, counted. */
interface PoolCount {
  available: number;
  effective: number;
}

/** Counts are taken once per situation, because every rule asks for them pool by pool. */
const counted = new WeakMap<FleetSituation, ReadonlyMap<string, PoolCount>>();

function countOf(situation: FleetSituation, pool: string): PoolCount {
  const counts = counted.get(situation) ?? countPools(situation);
  counted.set(situation, counts);
  return counts.get(pool) ?? { available: 0, effective: 0 };
}

function countPools(situation: FleetSituation): ReadonlyMap<string, PoolCount> {
  const counts = new Map<string, PoolCount>();
  const count = (pool: string): PoolCount => {
    const found = counts.get(pool) ?? { available: 0, effective: 0 };
    counts.set(pool, found);
    return found;
  };
  for (const server of situation.servers) {
    if (isAvailable(situation, server)) count(server.pool).available++;
    if (isEffective(situation, server)) count(server.moveTo ?? server.pool).effective++;
  }
  return counts;
}

function isEffective({ health }: FleetSituation, server: ServerRecord): boolean {
  if (server.state === "leaving" || server.state === "quarantined") return false;
  // A server that is moved or rebooted on purpose is down for a moment and comes back.
  return server.state !== "serving" || health.live(server.name);
}

/** Number of available servers of a pool. */
export function available(situation: FleetSituation, pool: string): number {
  return countOf(situation, pool).available;
}

/** Outcome of the check of the availability budget. */
export interface BudgetCheck {
  readonly allowed: boolean;
  readonly figures: Figures;
}

/**
 * The one check of the availability budget: may this server be taken out of service on purpose?
 * A server that is not available costs nothing.
 */
export function checkBudget(situation: FleetSituation, server: ServerRecord): BudgetCheck {
  const { health, servers } = situation;
  const minAvailable = poolOf(situation, server.pool)?.minAvailable ?? 0;
  // Servers of a zone without contact may be down, so they do not allow another drain.
  const confirmed = servers.filter(
    (each) =>
      each.pool === server.pool && isAvailable(situation, each) && health.confirmed(each.name),
  );
  const figures = { available: confirmed.length, minAvailable };
  if (!isAvailable(situation, server)) return { allowed: true, figures };
  const left = confirmed.filter((each) => each.name !== server.name).length;
  return { allowed: left >= minAvailable, figures };
}

/** Servers that are or will be in the pool and can be counted on. */
export function effectiveSize(situation: FleetSituation, pool: string): number {
  return countOf(situation, pool).effective;
}

/** How well the spare pool covers the loss of one rack or availability zone. */
export interface BufferCoverage {
  /** Servers that the worst loss would leave pools short of their budgets. */
  readonly need: number;
  /** Spare servers above the spare pool's own budget that survive the same loss. */
  readonly have: number;
  /** The failure domain with the smallest margin. */
  readonly domain: string;
}

/** Finds the failure domain whose loss the spare pool covers least. */
export function bufferCoverage(situation: FleetSituation): BufferCoverage {
  let worst: BufferCoverage = { need: 0, have: 0, domain: "none" };
  let worstMargin = Infinity;
  for (const [domain, lost] of countDomains(situation)) {
    let need = 0;
    let have = 0;
    for (const pool of poolsOf(situation)) {
      const left = available(situation, pool.name) - (lost.get(pool.name) ?? 0);
      if (pool.spare) have += Math.max(0, left - pool.minAvailable);
      else need += Math.max(0, pool.minAvailable - left);
    }
    if (have - need >= worstMargin) continue;
    worstMargin = have - need;
    worst = { need, have, domain };
  }
  return worst;
}

/** Available servers by failure domain and pool. */
function countDomains(situation: FleetSituation): ReadonlyMap<string, ReadonlyMap<string, number>> {
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

/** Servers kept beyond what pools are meant to have for their load: the spare pool and surplus. */
export function countBufferServers(situation: FleetSituation): number {
  return poolsOf(situation).reduce((sum, pool) => {
    const up = available(situation, pool.name);
    return sum + (pool.spare ? up : Math.max(0, up - pool.targetSize));
  }, 0);
}

/** Compares two lists of criteria; the first that differs decides. */
export function compareRanks(a: readonly number[], b: readonly number[]): number {
  for (const [index, value] of a.entries()) {
    const difference = value - (b[index] ?? 0);
    if (difference !== 0) return difference;
  }
  return 0;
}
