import type * as v from "valibot";
import type { IniSection } from "./ini-text.ts";
import { suggestion } from "./settings-problem.ts";
import type { SettingsReader } from "./settings-reader.ts";
import type {
  MaintenanceSectionSchema,
  PoolSectionSchema,
  QueueSectionSchema,
  TeamSectionSchema,
  WeightsSectionSchema,
} from "./template-file.ts";
import { checkMaintenanceWindows } from "./window-checks.ts";

/** A named section. Its value is undefined if the section has problems, which were reported. */
export interface NamedSection<T> {
  readonly section: IniSection;
  readonly name: string;
  readonly value: T | undefined;
}

/** All sections of a template. */
export interface TemplateSections {
  readonly pools: readonly NamedSection<v.InferOutput<typeof PoolSectionSchema>>[];
  readonly queues: readonly NamedSection<v.InferOutput<typeof QueueSectionSchema>>[];
  readonly teams: readonly NamedSection<v.InferOutput<typeof TeamSectionSchema>>[];
  readonly maintenanceSection: IniSection | undefined;
  readonly maintenance: v.InferOutput<typeof MaintenanceSectionSchema> | undefined;
  readonly weights: v.InferOutput<typeof WeightsSectionSchema> | undefined;
}

/** Runs the checks that involve the whole file or more than one section. */
export function checkTemplate(reader: SettingsReader, sections: TemplateSections): void {
  if (sections.pools.length === 0) reader.reportFile("no pool; allowed: at least one [pool.NAME]");
  if (sections.queues.length === 0)
    reader.reportFile("no queue; allowed: at least one [queue.NAME]");
  checkPools(reader, sections);
  checkReferences(reader, sections);
  checkShares(reader, sections);
  checkMaintenanceWindows(reader, sections);
}

function checkPools(reader: SettingsReader, { pools }: TemplateSections): void {
  const groups = new Map<string, NamedSection<v.InferOutput<typeof PoolSectionSchema>>[]>();
  for (const pool of pools) {
    if (pool.value === undefined) continue;
    groups.set(pool.value.group, [...(groups.get(pool.value.group) ?? []), pool]);
    if (pool.value.min_available > pool.value.target_size) {
      reader.report(
        pool.section,
        "min_available",
        `more than target_size ${pool.value.target_size}; allowed: 0 to ${pool.value.target_size}`,
      );
    }
  }
  // A pool with problems could be the spare pool of its group, so spare pools are checked only once
  // all pools are valid.
  if (pools.some((pool) => pool.value === undefined)) return;
  for (const [group, members] of groups) {
    const spares = members.filter((pool) => pool.value?.spare === true);
    const last = members[members.length - 1];
    if (spares.length === 0 && members.length > 1 && last !== undefined) {
      const names = members.map((pool) => pool.name).join(", ");
      reader.report(
        last.section,
        "spare",
        `group "${group}" has no spare pool; set spare = yes in one of ${names}`,
      );
    }
    for (const extra of spares.slice(1)) {
      reader.report(
        extra.section,
        "spare",
        `group "${group}" already has the spare pool "${spares[0]?.name ?? ""}"; allowed: one per group`,
      );
    }
  }
}

function checkReferences(reader: SettingsReader, { pools, queues, teams }: TemplateSections): void {
  const poolNames = pools.map((pool) => pool.name);
  const queueNames = queues.map((queue) => queue.name);
  for (const { section, value } of queues) {
    if (value !== undefined && !poolNames.includes(value.pool)) {
      reader.report(
        section,
        "pool",
        `no [pool.${value.pool}] in this file; ${suggestion(value.pool, poolNames)}`,
      );
    }
  }
  for (const { section, value } of teams) {
    for (const queue of value?.queues ?? []) {
      if (!queueNames.includes(queue)) {
        reader.report(
          section,
          "queues",
          `no [queue.${queue}] in this file; ${suggestion(queue, queueNames)}`,
        );
      }
    }
  }
  const queuesWithKey = queues.filter((queue) => queue.value?.open !== true);
  if (queuesWithKey.length > 0 && teams.length === 0) {
    reader.reportFile("queues that need a key but no team; allowed: at least one [team.NAME]");
  }
}

function checkShares(reader: SettingsReader, { teams }: TemplateSections): void {
  const validTeams = teams.flatMap((team) => (team.value === undefined ? [] : [team.value]));
  const first = teams[0];
  if (first === undefined || validTeams.length < teams.length) return;
  if (validTeams.every((team) => team.share === 0)) {
    reader.report(
      first.section,
      "share",
      "every team has share 0; allowed: at least one share above 0",
    );
  }
}
