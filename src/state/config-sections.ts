import type { ConfigDocument, TeamConfig } from "../protocol/config-document.ts";
import { formatTime } from "./maintenance-windows.ts";

/** The parts of a configuration that operators edit, without its revision and write metadata. */
export type ConfigContent = Omit<ConfigDocument, "revision" | "writeId" | "acceptedAt">;

/** Keys and values of one section, formatted as in a template. */
export type ConfigSection = Readonly<Record<string, string>>;

/** Formats a configuration with the sections, keys and order of a template. Omits API keys. */
export function configSections(config: ConfigContent): ReadonlyMap<string, ConfigSection> {
  const { maintenance, weights } = config;
  return new Map<string, ConfigSection>([
    ...config.pools.map(
      (pool) =>
        [
          `pool.${pool.name}`,
          {
            group: pool.group,
            target_size: String(pool.targetSize),
            min_available: String(pool.minAvailable),
            urgent_reserve_slots: String(pool.urgentReserveSlots),
            spare: yesNo(pool.spare),
          },
        ] as const,
    ),
    ...config.queues.map(
      (queue) =>
        [
          `queue.${queue.name}`,
          {
            pool: queue.pool,
            open: yesNo(queue.open),
            idempotent: yesNo(queue.idempotent),
            declared_run_ms: String(queue.declaredRunMs),
          },
        ] as const,
    ),
    ...config.teams.map((team) => [`team.${team.name}`, teamSection(team)] as const),
    [
      "maintenance",
      {
        start_time: formatTime(maintenance.startMinute),
        end_time: formatTime(maintenance.endMinute),
        every_days: String(maintenance.everyDays),
        max_parallel: String(maintenance.maxParallel),
      },
    ],
    [
      "weights",
      {
        buffer_cost: String(weights.bufferCost),
        rollout_time: String(weights.rolloutTime),
        moves: String(weights.moves),
        closeness_to_share: String(weights.closenessToShare),
      },
    ],
  ]);
}

function teamSection(team: TeamConfig): ConfigSection {
  const { maintenanceStart: start, maintenanceEnd: end } = team;
  return {
    share: String(team.share),
    upper_limit: String(team.upperLimit),
    ...(team.queues.length > 0 ? { queues: team.queues.join(", ") } : {}),
    ...(start === undefined ? {} : { maintenance_start: formatTime(start) }),
    ...(end === undefined ? {} : { maintenance_end: formatTime(end) }),
  };
}

function yesNo(value: boolean): string {
  return value ? "yes" : "no";
}
