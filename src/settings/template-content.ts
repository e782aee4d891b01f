import type { ConfigContent } from "../state/config-sections.ts";
import type { TemplateSections } from "./template-checks.ts";

/** Content of a template: the stored configuration without revision and API keys. */
export type TemplateContent = ConfigContent;

/** Converts sections to a configuration. Sections with problems are left out. */
export function toTemplateContent({
  pools,
  queues,
  teams,
  maintenance,
  weights,
}: TemplateSections): TemplateContent {
  return {
    pools: pools.flatMap(({ name, value }) =>
      value === undefined
        ? []
        : {
            name,
            group: value.group,
            minAvailable: value.min_available,
            targetSize: value.target_size,
            urgentReserveSlots: value.urgent_reserve_slots,
            spare: value.spare,
          },
    ),
    queues: queues.flatMap(({ name, value }) =>
      value === undefined
        ? []
        : {
            name,
            pool: value.pool,
            open: value.open,
            idempotent: value.idempotent,
            declaredRunMs: value.declared_run_ms,
          },
    ),
    teams: teams.flatMap(({ name, value }) =>
      value === undefined
        ? []
        : {
            name,
            share: value.share,
            upperLimit: value.upper_limit,
            queues: value.queues,
            keys: [],
            ...(value.maintenance_start === undefined
              ? {}
              : { maintenanceStart: value.maintenance_start }),
            ...(value.maintenance_end === undefined
              ? {}
              : { maintenanceEnd: value.maintenance_end }),
          },
    ),
    maintenance: {
      startMinute: maintenance?.start_time ?? 0,
      endMinute: maintenance?.end_time ?? 1440,
      everyDays: maintenance?.every_days ?? 0,
      maxParallel: maintenance?.max_parallel ?? 2,
    },
    weights: {
      bufferCost: weights?.buffer_cost ?? 1,
      rolloutTime: weights?.rollout_time ?? 1,
      moves: weights?.moves ?? 1,
      closenessToShare: weights?.closeness_to_share ?? 1,
    },
  };
}
