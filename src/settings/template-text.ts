import { stringify } from "ini";
import type { ConfigDocument } from "../protocol/config-document.ts";

/** Writes a stored configuration as a template that `config apply` takes. Keys are left out. */
export function configToIni(document: ConfigDocument): string {
  const sections: Record<string, Record<string, string | number>> = {};
  for (const pool of document.pools) {
    sections[`pool.${pool.name}`] = {
      group: pool.group,
      target_size: pool.targetSize,
      min_available: pool.minAvailable,
      urgent_reserve_slots: pool.urgentReserveSlots,
      spare: pool.spare ? "yes" : "no",
    };
  }
  for (const queue of document.queues) {
    sections[`queue.${queue.name}`] = {
      pool: queue.pool,
      open: queue.open ? "yes" : "no",
      idempotent: queue.idempotent ? "yes" : "no",
      declared_run_ms: queue.declaredRunMs,
    };
  }
  for (const team of document.teams) {
    sections[`team.${team.name}`] = {
      share: team.share,
      upper_limit: team.upperLimit,
      ...(team.queues.length > 0 ? { queues: team.queues.join(", ") } : {}),
    };
  }
  const { maintenance, weights } = document;
  sections.maintenance = {
    start_time: timeText(maintenance.startMinute),
    end_time: timeText(maintenance.endMinute),
    every_days: maintenance.everyDays,
    max_parallel: maintenance.maxParallel,
  };
  sections.weights = {
    buffer_cost: weights.bufferCost,
    rollout_time: weights.rolloutTime,
    moves: weights.moves,
    closeness_to_share: weights.closenessToShare,
  };
  const head = `; revision ${document.revision}; apply an edit of it with --base ${document.revision}`;
  const body = Object.entries(sections).map(([title, values]) =>
    [`[${title}]`, stringify(values, { whitespace: true }).trimEnd()].join("\n"),
  );
  return [head, ...body].join("\n\n");
}

function timeText(minute: number): string {
  const hours = String(Math.floor(minute / 60)).padStart(2, "0");
  return `${hours}:${String(minute % 60).padStart(2, "0")}`;
}
