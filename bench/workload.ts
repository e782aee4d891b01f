import type { Random } from "../src/ports/random.ts";
import { teamsOf } from "./fleet.ts";
import type { Arrival, Scenario } from "./scenario.ts";
import { entryCount, SLOTS_PER_SERVER, type PoolPlan, type Site, type TeamPlan } from "./site.ts";

const URGENT_SHARE = 0.1;
/** Largest deviation of a run time from the mean, as a share of the mean. */
const RUN_TIME_SPREAD = 0.5;
/** Interval at which the rate of a queue is sampled to find its maximum, in milliseconds. */
const RATE_STEP_MS = 1000;

/** Requests of one run in chronological order, with Poisson arrivals at each queue. */
export function generateArrivals(
  site: Site,
  scenario: Scenario,
  random: Random,
): readonly Arrival[] {
  return site.pools
    .flatMap((pool, queue) => queueArrivals({ site, scenario, random, pool, queue }))
    .sort((a, b) => a.at - b.at);
}

interface QueueLoad {
  readonly site: Site;
  readonly scenario: Scenario;
  readonly random: Random;
  readonly pool: PoolPlan;
  readonly queue: number;
}

function queueArrivals(load: QueueLoad): readonly Arrival[] {
  const { scenario, random, pool, queue } = load;
  const { loadMs, runMs, rate } = scenario;
  const capacity = (pool.servers * SLOTS_PER_SERVER * 1000) / runMs;
  const steps = Array.from({ length: Math.ceil(loadMs / RATE_STEP_MS) }, (_, n) => n);
  // Thinning of a Poisson process at the highest rate: an arrival is kept with a probability
  // proportional to the rate at its time.
  const highest = Math.max(...steps.map((n) => rate(queue, n * RATE_STEP_MS, capacity)));
  const found: Arrival[] = [];
  for (let at = 0; ;) {
    at += (-Math.log(1 - random.next()) * 1000) / highest;
    if (at >= loadMs) return found;
    if (random.next() * highest < rate(queue, at, capacity)) found.push(arrival(load, at));
  }
}

/** Draws the other attributes of a request that arrives at the given time. */
function arrival({ site, scenario, random, pool }: QueueLoad, at: number): Arrival {
  const { runMs, timeoutMs, neverSucceedShare = 0 } = scenario;
  const entry = random.next();
  const teams = teamsOf(site, scenario);
  const team = drawTeam(random, teams, scenario.demand);
  return {
    at,
    entry: entryIndexOf(site, entry, scenario.zoneIndexOf?.(site, teams.indexOf(team), at)),
    queue: pool.name,
    team: team.name,
    priority: random.next() < URGENT_SHARE ? "urgent" : "normal",
    runMs: runMs * (1 + RUN_TIME_SPREAD * (2 * random.next() - 1)),
    timeoutMs,
    neverSucceeds: neverSucceedShare > 0 && random.next() < neverSucceedShare,
    cancelAt: scenario.cancelAt?.(at, random.next()),
  };
}

function entryIndexOf(site: Site, drawn: number, zone: number | undefined): number {
  if (zone === undefined) return Math.floor(drawn * entryCount(site));
  return zone * site.entriesPerZone + Math.floor(drawn * site.entriesPerZone);
}

function drawTeam(
  random: Random,
  teams: readonly TeamPlan[],
  demand: Scenario["demand"],
): TeamPlan {
  let left = random.next() * teams.reduce((sum, team) => sum + demand(team), 0);
  return teams.find((team) => (left -= demand(team)) < 0) ?? teams[0]!;
}
