import type { Sade } from "sade";
import { ConfigStore } from "../coordination/config-store.ts";
import { EntryDirectory } from "../coordination/entry-directory.ts";
import { FleetOverview, type Overview } from "../coordination/fleet-overview.ts";
import type { Explanation } from "../protocol/entry-status.ts";
import type { FleetDocument } from "../protocol/fleet-document.ts";
import { ENTRY_DEFAULTS } from "../settings/entry-settings.ts";
import type { ListedInstance } from "../ports/instance-list.ts";
import { dryRun, type DryRun } from "../state/fleet-rules.ts";
import { bufferCoverage, type FleetSituation } from "../state/fleet-situation.ts";
import { explainBorrowWait } from "../state/planner-weights.ts";
import {
  numberOption,
  runCommand,
  urlOption,
  type CliContext,
  type CliOptions,
  type ExitCode,
} from "./context.ts";

const DEFAULT_LIMIT = 50;

/** Adds the commands `status` and `plan`. */
export function addStatusCommands(program: Sade, ctx: CliContext): void {
  program
    .command("status")
    .describe("Print entry instances, pools, teams and the planner's metrics.")
    .option("--key-value", "Base URL of the key-value service")
    .option("--json", "Print JSON")
    .action((options: CliOptions) =>
      runCommand(ctx, options, ["key-value", "json"], () => status(ctx, options)),
    );
  program
    .command("plan")
    .describe("Print the planner's next decisions and their reasons. Nothing is changed.")
    .option("--key-value", "Base URL of the key-value service")
    .option("--instance-list", "Base URL of the instance list")
    .option("--limit", `Maximum number of decisions to print (default ${DEFAULT_LIMIT})`)
    .option("--json", "Print JSON")
    .action((options: CliOptions) =>
      runCommand(ctx, options, ["key-value", "instance-list", "limit", "json"], () =>
        plan(ctx, options),
      ),
    );
}

async function collectOverview(
  ctx: CliContext,
  options: CliOptions,
): Promise<Overview | undefined> {
  const keyValue = ctx.keyValue(urlOption(options, "key-value"));
  const overview = await new FleetOverview({
    keyValue,
    configStore: new ConfigStore({ clock: ctx.clock, keyValue }),
    directory: new EntryDirectory({ clock: ctx.clock, keyValue, reader: ctx.statusReader }),
  }).collect();
  if (overview.ok) return overview.val;
  ctx.printError(overview.val);
  return undefined;
}

async function status(ctx: CliContext, options: CliOptions): Promise<ExitCode> {
  const overview = await collectOverview(ctx, options);
  if (overview === undefined) return 1;
  if (options.json === true) ctx.print(JSON.stringify(toJson(ctx, overview)));
  else for (const line of statusLines(ctx, overview)) ctx.print(line);
  return 0;
}

function toJson(ctx: CliContext, overview: Overview): object {
  const { config, entries, pools, teams, planners, closeness } = overview;
  return {
    configRevision: config.revision,
    entries: entries.map(({ session, status: read }) => ({
      incarnation: session.incarnation,
      zone: session.zone,
      ...(read.ok ? { status: read.val } : { problem: read.val }),
    })),
    ...{ pools, teams, planners, closeness },
    coverage: overview.fleets.map((fleet) => ({
      group: fleet.group,
      ...bufferCoverage(situationOf(ctx, overview, fleet, undefined)),
    })),
  };
}

function statusLines(ctx: CliContext, overview: Overview): readonly string[] {
  const { config, entries, pools, teams, planners, closeness, fleets } = overview;
  const accepted = new Date(config.acceptedAt).toISOString();
  return [
    `configuration revision ${config.revision}, accepted ${accepted}`,
    `entries: ${entries.length}`,
    ...entries.map(({ session, status: read }) => {
      const name = `  ${session.incarnation} in ${session.zone}:`;
      if (read.err) return `${name} no status: ${read.val}`;
      const keyedWork = read.val.keyedWorkAllowed === false ? ", keyed work stopped" : "";
      const reachability = read.val.platformReachable === false ? ", platform unreachable" : "";
      return `${name} revision ${read.val.configRevision}${reachability}${keyedWork}`;
    }),
    "pools (available of target, budget; servers by state):",
    ...pools.map(({ pool, group, available, targetSize, minAvailable, states }) => {
      const counts = Object.entries(states).map(([state, count]) => `${state} ${count}`);
      const short = available < minAvailable ? " SHORT OF BUDGET" : "";
      return `  ${group}/${pool}: ${available} of ${targetSize}, at least ${minAvailable}; ${counts.join(", ") || "no servers"}${short}`;
    }),
    ...fleets.map((fleet) => {
      const { need, have, domain } = bufferCoverage(situationOf(ctx, overview, fleet, undefined));
      const coverage = have >= need ? "covered" : "NOT COVERED";
      return `loss of ${domain} in ${fleet.group}: needs ${need} spare servers, has ${have}: ${coverage}`;
    }),
    "teams (running of limit; budget, queued, share):",
    ...teams.map(
      (t) =>
        `  ${t.team}: ${t.running} of ${t.upperLimit}; budget ${t.budget}, queued ${t.queued}, share ${t.share}`,
    ),
    ...(planners.length === 0 ? ["no entry reports a planner"] : []),
    ...planners.flatMap((planner) => [
      `buffer: ${planner.bufferServers} servers, ${planner.bufferInstanceHours.toFixed(2)} instance-hours`,
      `roll-out time of the last wave: ${planner.rolloutMs === undefined ? "none finished" : `${Math.round(planner.rolloutMs / 1000)} s`}`,
      `moves: ${planner.moves}`,
      ...planner.decisions.slice(-5).map((decision) => `  ${formatExplanation(decision)}`),
      ...planner.withheld.map((withheld) => `  withheld: ${formatExplanation(withheld)}`),
    ]),
    ...closeness.map(
      (c) =>
        `closeness to share over ${c.windowMs / 1000} s: mean ${c.mean.toFixed(3)}, lowest ${c.lowest.toFixed(3)} of ${c.windows} windows`,
    ),
  ];
}

function formatExplanation({ rule, text, figures }: Explanation): string {
  const values = Object.entries(figures).map(([name, value]) => `${name} ${value}`);
  return `${rule}: ${text}${values.length > 0 ? ` (${values.join(", ")})` : ""}`;
}

async function plan(ctx: CliContext, options: CliOptions): Promise<ExitCode> {
  const limit = numberOption(options, "limit", 1) ?? DEFAULT_LIMIT;
  const list = ctx.instanceList(urlOption(options, "instance-list"));
  const overview = await collectOverview(ctx, options);
  if (overview === undefined) return 1;
  const listed = await list.list();
  if (listed.err) ctx.printError(`instance list not read: ${listed.val.detail}`);
  const { config } = overview;
  const groups = [...new Set(config.pools.map((pool) => pool.group))];
  const weights = explainBorrowWait(config, ENTRY_DEFAULTS, ctx.clock.wallTime());
  const runs = groups.map((group) => {
    const fleet = overview.fleets.find((candidate) => candidate.group === group);
    const base = fleet ?? { revision: 0, writeId: "", group, servers: [], retired: [] };
    const groupInstances = listed.ok ? instancesOfGroup(overview, base, listed.val) : undefined;
    return { group, ...dryRun(situationOf(ctx, overview, base, groupInstances), limit), weights };
  });
  if (options.json === true) ctx.print(JSON.stringify(runs));
  else {
    for (const run of runs) for (const text of planLines(run)) ctx.print(text);
    for (const weight of weights) ctx.print(formatExplanation(weight));
  }
  return 0;
}

function planLines(run: DryRun & { readonly group: string }): readonly string[] {
  if (run.decisions.length === 0 && run.withheld.length === 0) {
    return [`${run.group}: nothing to do`];
  }
  return [
    `${run.group}: ${run.decisions.length} decisions${run.more ? " and more" : ""}`,
    ...run.decisions.map((decision) => `  ${formatExplanation(decision)}`),
    ...run.withheld.map((withheld) => `  withheld: ${formatExplanation(withheld)}`),
  ];
}

function situationOf(
  ctx: CliContext,
  { config, health }: Overview,
  { group, servers }: FleetDocument,
  listed: readonly ListedInstance[] | undefined,
): FleetSituation {
  return {
    ...{ group, servers, config, health, listed },
    wallTimeMs: ctx.clock.wallTime(),
    confirmedGone: new Set(),
    rebooted: new Set(),
  };
}

/**
 * Instances in availability zones with servers or entry instances of the group; all if there is no
 * other group.
 */
function instancesOfGroup(
  { config, entries }: Overview,
  fleet: FleetDocument,
  listed: readonly ListedInstance[],
): readonly ListedInstance[] {
  if (config.pools.every((pool) => pool.group === fleet.group)) return listed;
  const zones = new Set([
    ...fleet.servers.map((server) => server.zone),
    ...entries.filter((e) => e.session.group === fleet.group).map((e) => e.session.zone),
  ]);
  return listed.filter((instance) => zones.has(instance.zone));
}
