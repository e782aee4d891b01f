import { Err, Ok, type Result } from "ts-results";
import type { KeyValueService } from "../ports/key-value-service.ts";
import type { ConfigDocument } from "../protocol/config-document.ts";
import type { ShareCloseness, EntryStatus, PlannerStatus } from "../protocol/entry-status.ts";
import type { FleetDocument, ServerState } from "../protocol/fleet-document.ts";
import { FleetHealth } from "../state/fleet-situation.ts";
import type { ConfigStore } from "./config-store.ts";
import type { EntryDirectory, EntryWithStatus } from "./entry-directory.ts";
import { KeyValueFleetStore } from "./fleet-store.ts";

/** One pool with the number of its servers in each state. */
export interface PoolOverview {
  readonly pool: string;
  readonly group: string;
  readonly targetSize: number;
  readonly minAvailable: number;
  readonly available: number;
  readonly states: Readonly<Partial<Record<ServerState, number>>>;
}

/** One team with its usage, summed over all entries whose status could be read. */
export interface TeamOverview {
  readonly team: string;
  readonly share: number;
  readonly upperLimit: number;
  readonly running: number;
  readonly queued: number;
  readonly budget: number;
}

/** State of the whole system for operators. */
export interface Overview {
  readonly config: ConfigDocument;
  readonly entries: readonly EntryWithStatus[];
  /** Fleet documents of the pool groups, without those that could not be read. */
  readonly fleets: readonly FleetDocument[];
  readonly health: FleetHealth;
  readonly pools: readonly PoolOverview[];
  readonly teams: readonly TeamOverview[];
  /** Status of the planners, one per entry that is the planner leader of a group. */
  readonly planners: readonly PlannerStatus[];
  /** How closely usage follows the shares of teams, as measured by each entry. */
  readonly closeness: readonly ShareCloseness[];
}

/** Options of {@link FleetOverview}. */
export interface FleetOverviewOptions {
  readonly keyValue: KeyValueService;
  readonly configStore: ConfigStore;
  readonly directory: EntryDirectory;
}

/** Collects the state of the system from the stored documents and the entries. */
export class FleetOverview {
  readonly #options: FleetOverviewOptions;

  constructor(options: FleetOverviewOptions) {
    this.#options = options;
  }

  async collect(): Promise<Result<Overview, string>> {
    const { keyValue, configStore, directory } = this.#options;
    const stored = await configStore.read();
    if (stored.err) return Err(`configuration could not be read: ${stored.val.kind}`);
    if (stored.val === undefined) return Err("no configuration is stored yet");
    const config = stored.val.document;
    const entries = await directory.entries();
    if (entries.err) return entries;
    const groups = [...new Set(config.pools.map((pool) => pool.group))];
    const read = await Promise.all(
      groups.map((group) => new KeyValueFleetStore({ keyValue, group }).read()),
    );
    const fleets = read.flatMap((fleet) => (fleet.ok && fleet.val ? [fleet.val] : []));
    const statuses = entries.val.flatMap(({ status }) => (status.ok ? [status.val] : []));
    const health = new ReportedHealth(statuses);
    return Ok({
      ...{ config, entries: entries.val, fleets, health },
      pools: poolOverviews(config, fleets, health),
      teams: teamOverviews(config, entries.val),
      planners: statuses.flatMap((status) => (status.planner ? [status.planner] : [])),
      closeness: statuses.flatMap((status) => status.closeness ?? []),
    });
  }
}

/** Server health as reported in the status of the entries. */
class ReportedHealth extends FleetHealth {
  readonly #down: ReadonlySet<string>;
  readonly #bad: ReadonlySet<string>;

  constructor(statuses: readonly EntryStatus[]) {
    super();
    this.#down = new Set(statuses.flatMap((status) => status.downServers ?? []));
    this.#bad = new Set(statuses.flatMap((status) => status.badServers ?? []));
  }

  isLive(server: string): boolean {
    return !this.#down.has(server);
  }

  isFaulty(server: string): boolean {
    return this.#bad.has(server);
  }
}

function poolOverviews(
  config: ConfigDocument,
  fleets: readonly FleetDocument[],
  health: FleetHealth,
): readonly PoolOverview[] {
  return config.pools.map(({ name, group, targetSize, minAvailable }) => {
    const fleet = fleets.find((candidate) => candidate.group === group);
    const members = (fleet?.servers ?? []).filter((server) => server.pool === name);
    const states: Partial<Record<ServerState, number>> = {};
    for (const { state } of members) states[state] = (states[state] ?? 0) + 1;
    const available = members.filter((s) => s.state === "serving" && health.isLive(s.name)).length;
    return { pool: name, group, targetSize, minAvailable, available, states };
  });
}

function teamOverviews(
  config: ConfigDocument,
  entries: readonly EntryWithStatus[],
): readonly TeamOverview[] {
  const loads = entries.flatMap(({ status }) => (status.ok ? (status.val.teams ?? []) : []));
  return config.teams.map(({ name, share, upperLimit }) => {
    const own = loads.filter((load) => load.team === name);
    const sum = (field: "running" | "queued" | "budget"): number =>
      own.reduce((total, load) => total + load[field], 0);
    const [running, queued, budget] = [sum("running"), sum("queued"), sum("budget")];
    return { team: name, share, upperLimit, running, queued, budget };
  });
}
