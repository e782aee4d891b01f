/** Maintenance windows of the fleet and of teams. Drains for maintenance may start only in them. */
import type { ConfigDocument, TeamConfig } from "../protocol/config-document.ts";

const DAY_MINUTES = 1440;
const MINUTE_MS = 60_000;

/**
 * Times of day in minutes after midnight UTC. The end is exclusive. A range whose end precedes its
 * start crosses midnight.
 */
export interface TimeRange {
  readonly startMinute: number;
  readonly endMinute: number;
}

/** A window that applies to a pool. */
export interface MaintenanceWindow extends TimeRange {
  /** Undefined for the window of the whole fleet. */
  readonly team: string | undefined;
}

/** The parts of a configuration that determine the windows of a pool. */
export type WindowSettings = Pick<ConfigDocument, "maintenance" | "queues" | "teams">;

/** The fleet's window and those of all teams that may use a queue of the pool. */
export function windowsOf(
  { maintenance, queues, teams }: WindowSettings,
  pool: string,
): readonly MaintenanceWindow[] {
  const { startMinute, endMinute } = maintenance;
  // Open queues belong to no team, so they add no window.
  const keyed = queues.filter((queue) => queue.pool === pool && !queue.open);
  const users = teams.filter((team) => keyed.some(({ name }) => mayUse(team, name)));
  return [{ team: undefined, startMinute, endMinute }, ...users.flatMap(windowOfTeam)];
}

function mayUse({ queues }: TeamConfig, queue: string): boolean {
  return queues.length === 0 || queues.includes(queue);
}

function windowOfTeam({ name, maintenanceStart, maintenanceEnd }: TeamConfig): MaintenanceWindow[] {
  if (maintenanceStart === undefined || maintenanceEnd === undefined) return [];
  return [{ team: name, startMinute: maintenanceStart, endMinute: maintenanceEnd }];
}

/** Intersection of the ranges; empty if they have no common minute. */
export function commonRanges(ranges: readonly TimeRange[]): readonly TimeRange[] {
  const common: TimeRange[] = [];
  for (let minute = 0; minute < DAY_MINUTES; minute++) {
    if (!ranges.every((range) => covers(range, minute))) continue;
    const last = common.at(-1);
    if (last?.endMinute === minute) common[common.length - 1] = { ...last, endMinute: minute + 1 };
    else common.push({ startMinute: minute, endMinute: minute + 1 });
  }
  const [first, last] = [common[0], common.at(-1)];
  if (common.length < 2 || first?.startMinute !== 0 || last?.endMinute !== DAY_MINUTES)
    return common;
  // The last range continues after midnight in the first one.
  return [...common.slice(1, -1), { ...last, endMinute: first.endMinute }];
}

/** Minutes until all windows are open: 0 if they are open now, undefined if they do not overlap. */
export function minutesUntilOpen(
  windows: readonly TimeRange[],
  wallTimeMs: number,
): number | undefined {
  const now = Math.floor(wallTimeMs / MINUTE_MS);
  for (let wait = 0; wait < DAY_MINUTES; wait++) {
    if (windows.every((window) => covers(window, (now + wait) % DAY_MINUTES))) return wait;
  }
  return undefined;
}

/** True if the time of day of a wall-clock time is in the range. */
export function inRange(range: TimeRange, wallTimeMs: number): boolean {
  return covers(range, Math.floor(wallTimeMs / MINUTE_MS) % DAY_MINUTES);
}

function covers({ startMinute, endMinute }: TimeRange, minute: number): boolean {
  if (startMinute <= endMinute) return minute >= startMinute && minute < endMinute;
  return minute >= startMinute || minute < endMinute;
}

/** Formats a time of day as `HH:MM`. */
export function formatTime(minute: number): string {
  const hours = String(Math.floor(minute / 60)).padStart(2, "0");
  return `${hours}:${String(minute % 60).padStart(2, "0")}`;
}

/** Formats a range as `HH:MM to HH:MM`. */
export function formatRange({ startMinute, endMinute }: TimeRange): string {
  return `${formatTime(startMinute)} to ${formatTime(endMinute)}`;
}

/** Formats a window with the team it belongs to, or the fleet. */
export function formatWindow({ team, ...range }: MaintenanceWindow): string {
  return `${team === undefined ? "the fleet" : `team ${team}`} (${formatRange(range)} UTC)`;
}
