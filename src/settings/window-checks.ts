import {
  commonRanges,
  formatRange,
  windowsOf,
  formatWindow,
  type MaintenanceWindow,
} from "../state/maintenance-windows.ts";
import type { SettingsReader } from "./settings-reader.ts";
import type { TemplateSections } from "./template-checks.ts";
import { toTemplateContent } from "./template-content.ts";

/** Checks the maintenance windows of the fleet and of teams, and their overlap for each pool. */
export function checkMaintenanceWindows(reader: SettingsReader, sections: TemplateSections): void {
  const { maintenance, maintenanceSection } = sections;
  // If the fleet's window is invalid, its overlap with other windows is unknown.
  if (maintenance === undefined) return;
  const { start_time: startMinute, end_time: endMinute } = maintenance;
  const fleetWindowValid = commonRanges([{ startMinute, endMinute }]).length > 0;
  if (!fleetWindowValid && maintenanceSection !== undefined) {
    const detail = "the window is empty; allowed: a time other than start_time";
    reader.report(maintenanceSection, "end_time", detail);
  }
  const teamWindowsValid = sections.teams
    .map((team) => checkTeamWindow(reader, team))
    .every(Boolean);
  if (fleetWindowValid && teamWindowsValid) checkWindowOverlap(reader, sections);
}

/** Requires both times or neither, and a window that is not empty. True if no problem was found. */
function checkTeamWindow(
  reader: SettingsReader,
  { section, value }: TemplateSections["teams"][number],
): boolean {
  const { maintenance_start: startMinute, maintenance_end: endMinute } = value ?? {};
  if (startMinute === undefined && endMinute === undefined) return true;
  if (startMinute === undefined || endMinute === undefined) {
    const [given, missing] =
      startMinute === undefined
        ? ["maintenance_end", "maintenance_start"]
        : ["maintenance_start", "maintenance_end"];
    const allowed = "allowed: both maintenance_start and maintenance_end, or neither";
    reader.report(section, given, `${missing} is missing; ${allowed}`);
    return false;
  }
  if (commonRanges([{ startMinute, endMinute }]).length > 0) return true;
  const detail = "the window is empty; allowed: a time other than maintenance_start";
  reader.report(section, "maintenance_end", detail);
  return false;
}

/**
 * For each pool, reports the first team whose window leaves no minute in which its servers may
 * drain.
 */
function checkWindowOverlap(reader: SettingsReader, sections: TemplateSections): void {
  const content = toTemplateContent(sections);
  for (const { name } of content.pools) {
    const applied: MaintenanceWindow[] = [];
    for (const window of windowsOf(content, name)) {
      const remaining = commonRanges(applied);
      applied.push(window);
      if (commonRanges(applied).length > 0) continue;
      const section = sections.teams.find((team) => team.name === window.team)?.section;
      if (section === undefined) break;
      const windows = applied.map(formatWindow).join(", ");
      const detail =
        `no minute in common for maintenance of pool "${name}" in the windows of ${windows}; ` +
        `allowed: a window that overlaps ${remaining.map(formatRange).join(" or ")}`;
      reader.report(section, "maintenance_start", detail);
      break;
    }
  }
}
