/** Rules for maintenance waves, which reboot due servers rack by rack and zone by zone. */
import type { Explanation } from "../protocol/entry-status.ts";
import type { ServerRecord } from "../protocol/fleet-document.ts";
import {
  checkAvailabilityBudget,
  explain,
  type Figures,
  type FleetSituation,
  type RuleOutcome,
} from "./fleet-situation.ts";
import { decideTransition } from "./health-rules.ts";
import { inRange, minutesUntilOpen, windowsOf, formatWindow } from "./maintenance-windows.ts";

const DAY_MS = 86_400_000;
/** Time in milliseconds after a reboot in which a failing server is a failure of the wave. */
export const SOAK_MS = 600_000;
/** A reboot that takes longer than this, in milliseconds, is a failure of the wave. */
export const REBOOT_LIMIT_MS = 900_000;
/**
 * Number of servers down in an availability zone of the wave that pauses it. A single failure is
 * expected in normal operation; two in the same zone may have a common cause.
 */
const DOWN_IN_ZONE_LIMIT = 2;
/**
 * Number of servers down in any rack of the group that pauses the wave. The rack may be lost, in
 * which case the spare pool replaces its servers.
 */
const DOWN_IN_RACK_LIMIT = 2;

/** True if all maintenance windows that apply to the pool are open. */
export function areWindowsOpen({ config, wallTimeMs }: FleetSituation, pool: string): boolean {
  return windowsOf(config, pool).every((window) => inRange(window, wallTimeMs));
}

/** Servers in service whose reboot is due, in the order of the wave. */
export function dueServers({
  servers,
  config,
  wallTimeMs,
}: FleetSituation): readonly ServerRecord[] {
  const { everyDays } = config.maintenance;
  if (everyDays <= 0) return [];
  return servers
    .filter((s) => s.state === "serving" && s.rebootedAt + everyDays * DAY_MS <= wallTimeMs)
    .sort((a, b) => (waveOrder(a) < waveOrder(b) ? -1 : 1));
}

/** Servers that are being drained for a reboot, or rebooted. */
export function serversInWave({ servers }: FleetSituation): readonly ServerRecord[] {
  return servers.filter(
    (s) =>
      s.state === "rebooting" ||
      ((s.state === "draining" || s.state === "empty") && s.moveTo === undefined),
  );
}

function waveOrder(server: ServerRecord): string {
  return [server.zone, server.rack, server.name].join("\u0000");
}

function rackOf(server: ServerRecord): string {
  return `${server.zone}/${server.rack}`;
}

/** Starts to drain the next server of the wave. */
export function continueWave(situation: FleetSituation): RuleOutcome {
  const { due, withheld } = splitByWindow(situation);
  if (due.length === 0) return { withheld };
  const { maxParallel } = situation.config.maintenance;
  const active = serversInWave(situation);
  const figures: Figures = { due: due.length, inWave: active.length, maxParallel };
  const withhold = (text: string, extra: Figures = {}): RuleOutcome => ({
    withheld: [...withheld, explain(situation, "maintenance", text, { ...figures, ...extra })],
  });
  const failures = waveFailures(situation, zonesOfWave(situation, active, due));
  if (failures !== undefined) return withhold(failures.text, failures.figures);
  if (active.length >= maxParallel)
    return withhold("the wave has reached its limit of parallel servers");
  const started = startNextDrain(situation, { due, active, figures });
  return { ...started, withheld: [...withheld, ...started.withheld] };
}

/** Due servers of pools whose windows are open, and explanations for the other due servers. */
function splitByWindow(situation: FleetSituation): {
  readonly due: readonly ServerRecord[];
  readonly withheld: readonly Explanation[];
} {
  const due = dueServers(situation);
  const closed = [...new Set(due.map((server) => server.pool))].filter(
    (pool) => !areWindowsOpen(situation, pool),
  );
  const waiting = due.filter((server) => closed.includes(server.pool));
  return {
    due: due.filter((server) => !closed.includes(server.pool)),
    withheld: explainClosedWindows(situation, closed, waiting),
  };
}

/** Explains which closed windows delay due servers. Groups pools that wait for the same windows. */
function explainClosedWindows(
  situation: FleetSituation,
  pools: readonly string[],
  waiting: readonly ServerRecord[],
): readonly Explanation[] {
  const { config, wallTimeMs } = situation;
  const groups = new Map<string, WindowWait>();
  for (const pool of pools) {
    const windows = windowsOf(config, pool);
    const closed = windows.filter((window) => !inRange(window, wallTimeMs)).map(formatWindow);
    const opensInMinutes = minutesUntilOpen(windows, wallTimeMs);
    const wait = { closed: closed.join(" and "), opensInMinutes };
    const key = JSON.stringify(wait);
    groups.set(key, { ...wait, pools: [...(groups.get(key)?.pools ?? []), pool] });
  }
  return [...groups.values()].map((group) => {
    const due = waiting.filter((server) => group.pools.includes(server.pool)).length;
    const text = `reboots in ${group.pools.join(", ")} wait for the window of ${group.closed}`;
    const { opensInMinutes } = group;
    const opens = opensInMinutes === undefined ? {} : { opensInMinutes };
    return explain(situation, "maintenance", text, { due, ...opens });
  });
}

/** Pools whose reboots wait for the same closed windows. */
interface WindowWait {
  readonly pools: readonly string[];
  /** Descriptions of the closed windows. */
  readonly closed: string;
  /** Undefined if the windows do not overlap. */
  readonly opensInMinutes: number | undefined;
}

/** Due servers, servers in maintenance and the numbers that explain decisions on a wave. */
interface Wave {
  readonly due: readonly ServerRecord[];
  readonly active: readonly ServerRecord[];
  readonly figures: Figures;
}

/** Drains the next server. While a rack is in maintenance, drains only servers of that rack. */
function startNextDrain(situation: FleetSituation, { due, active, figures }: Wave): RuleOutcome {
  const racks = new Set(active.map(rackOf));
  const candidates = racks.size === 0 ? due : due.filter((server) => racks.has(rackOf(server)));
  const withheld = [];
  for (const server of candidates) {
    if (situation.health.isLive(server.name)) {
      const budget = checkAvailabilityBudget(situation, server);
      if (budget.allowed) {
        const text = `${server.name} of ${server.pool} in rack ${rackOf(server)} is drained for its reboot`;
        const because = { rule: "maintenance", text, figures: { ...figures, ...budget.figures } };
        return { ...decideTransition(situation, server, { state: "draining" }, because), withheld };
      }
      const text = `${server.name} waits for the availability budget of ${server.pool}`;
      withheld.push(explain(situation, "maintenance", text, budget.figures));
    }
  }
  return { withheld };
}

/**
 * Availability zones in maintenance. Between two racks, the zones of the next due server and of the
 * next due live server.
 */
function zonesOfWave(
  { health }: FleetSituation,
  active: readonly ServerRecord[],
  due: readonly ServerRecord[],
): ReadonlySet<string> {
  const next = [due[0], due.find((server) => health.isLive(server.name))];
  const servers = active.length > 0 ? active : next.filter((server) => server !== undefined);
  return new Set(servers.map((server) => server.zone));
}

/** Unplanned failures that pause the wave; undefined if there are none. */
function waveFailures(
  { servers, health, wallTimeMs }: FleetSituation,
  zones: ReadonlySet<string>,
): { readonly text: string; readonly figures: Figures } | undefined {
  const failing = servers.filter(
    (s) =>
      (s.state === "serving" || s.state === "quarantined") &&
      wallTimeMs - s.rebootedAt <= SOAK_MS &&
      (!health.isLive(s.name) || health.isFaulty(s.name)),
  ).length;
  const overdueReboots = servers.filter(
    (s) => s.state === "rebooting" && wallTimeMs - s.since > REBOOT_LIMIT_MS,
  ).length;
  const down = servers.filter(
    (s) => (s.state === "serving" || s.state === "draining") && !health.isLive(s.name),
  );
  const inZone = mostFrequent(down.map((s) => s.zone).filter((zone) => zones.has(zone)));
  const inRack = mostFrequent(down.map(rackOf));
  const rackLost = inRack.count >= DOWN_IN_RACK_LIMIT;
  if (failing === 0 && overdueReboots === 0 && inZone.count < DOWN_IN_ZONE_LIMIT && !rackLost)
    return undefined;
  return {
    text: `the wave is paused because of failures in ${rackLost ? `rack ${inRack.name}` : [...zones].join(", ")}`,
    figures: {
      ...{ failedAfterReboot: failing, stuckRebooting: overdueReboots },
      ...{ downInZone: inZone.count, downInRack: inRack.count },
    },
  };
}

/** The most frequent name and its number of occurrences. */
function mostFrequent(names: readonly string[]): { readonly name: string; readonly count: number } {
  const counts = new Map<string, number>();
  for (const name of names) counts.set(name, (counts.get(name) ?? 0) + 1);
  const [highest] = [...counts].sort(([, a], [, b]) => b - a);
  return { name: highest?.[0] ?? "", count: highest?.[1] ?? 0 };
}
