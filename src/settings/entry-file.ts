import { Err, Ok, type Result } from "ts-results";
import * as v from "valibot";
import { ENTRY_DEFAULTS, type EntrySettings } from "./entry-settings.ts";
import { parseIni, type IniSection } from "./ini-text.ts";
import { suggestion, type SettingsProblem } from "./settings-problem.ts";
import { SettingsReader } from "./settings-reader.ts";
import { baseUrl, nameValue, socketAddress, wholeNumber } from "./values.ts";

/** Section `[entry]`: location and addresses of this entry instance, and the services it uses. */
export const EntrySectionSchema = v.object({
  zone: nameValue(),
  group: nameValue(),
  caller_address: socketAddress(),
  admin_address: socketAddress(),
  peer_address: socketAddress(),
  key_value_url: baseUrl(),
  instance_list_url: baseUrl(),
});

function withDefault(
  key: keyof typeof ENTRY_DEFAULTS,
  min: number,
  max: number,
  unit = "milliseconds",
): v.GenericSchema<string | undefined, number> {
  return v.optional(wholeNumber(min, max, unit), String(ENTRY_DEFAULTS[key]));
}

/** Section `[timing]`: durations in milliseconds. */
export const TimingSectionSchema = v.object({
  lease_ttl_ms: withDefault("leaseTtlMs", 200, 60_000),
  session_ttl_ms: withDefault("sessionTtlMs", 300, 120_000),
  gossip_interval_ms: withDefault("gossipIntervalMs", 20, 1000),
  config_watch_ms: withDefault("configWatchMs", 50, 10_000),
  key_freshness_ms: withDefault("keyFreshnessMs", 200, 30_000),
  budget_idle_ms: withDefault("budgetIdleMs", 100, 60_000),
  idempotency_window_ms: withDefault("idempotencyWindowMs", 60_000, 86_400_000),
  result_retention_ms: withDefault("resultRetentionMs", 1000, 86_400_000),
  lend_wait_ms: withDefault("lendWaitMs", 10, 60_000),
  lend_after_ms: withDefault("lendAfterMs", 10, 60_000),
  planner_interval_ms: withDefault("plannerIntervalMs", 50, 60_000),
  shutdown_timeout_ms: withDefault("shutdownTimeoutMs", 100, 600_000),
});

/** Section `[limits]`: counts. */
export const LimitsSectionSchema = v.object({
  ledger_shards: withDefault("ledgerShards", 1, 64, "shards, the same on every instance"),
  id_memory_entries: withDefault("idMemoryEntries", 100, 1_000_000, "request ids"),
  max_attempts: withDefault("maxAttempts", 1, 10, "attempts"),
  bad_job_servers: withDefault("badJobServers", 2, 20, "backend servers"),
});

const SECTIONS = {
  entry: EntrySectionSchema,
  timing: TimingSectionSchema,
  limits: LimitsSectionSchema,
};
type SectionName = keyof typeof SECTIONS;
const SECTION_NAMES = Object.keys(SECTIONS) as readonly SectionName[];

/** Maximum latency of a watch and its reply, allowed for in the minimum of `key_freshness_ms`. */
const WATCH_LATENCY_MS = 1000;

/** Reads an entry settings file. Returns all problems of the file if there are any. */
export function readEntrySettings(
  file: string,
  text: string,
): Result<EntrySettings, readonly SettingsProblem[]> {
  const ini = parseIni(file, text);
  const reader = new SettingsReader(ini);
  for (const section of ini.sections) {
    if (!(SECTION_NAMES as readonly string[]).includes(section.title)) {
      reader.report(
        section,
        undefined,
        `unknown section; ${suggestion(section.title, SECTION_NAMES)}`,
      );
    }
  }
  const findSection = (title: SectionName): IniSection =>
    ini.sections.find((section) => section.title === title) ?? emptySection(title);
  const entry = reader.read(findSection("entry"), EntrySectionSchema);
  const timing = reader.read(findSection("timing"), TimingSectionSchema);
  const limits = reader.read(findSection("limits"), LimitsSectionSchema);
  if (entry !== undefined) checkAddresses(reader, findSection("entry"), entry);
  if (timing !== undefined) checkTiming(reader, findSection("timing"), timing);
  if (entry === undefined || timing === undefined || limits === undefined)
    return Err(reader.problems);
  if (reader.problems.length > 0) return Err(reader.problems);
  return Ok(toEntrySettings(entry, timing, limits));
}

function emptySection(title: string): IniSection {
  return { title, kind: title, name: undefined, line: undefined, entries: [] };
}

function checkAddresses(
  reader: SettingsReader,
  section: IniSection,
  entry: v.InferOutput<typeof EntrySectionSchema>,
): void {
  const keysByAddress = new Map<string, string>();
  for (const key of ["caller_address", "admin_address", "peer_address"] as const) {
    const other = keysByAddress.get(entry[key]);
    if (other !== undefined)
      reader.report(
        section,
        key,
        `the same address as ${other}; allowed: an address that no other key uses`,
      );
    keysByAddress.set(entry[key], key);
  }
}

function checkTiming(
  reader: SettingsReader,
  section: IniSection,
  timing: v.InferOutput<typeof TimingSectionSchema>,
): void {
  // When the next confirmation arrives, the last one can be as old as two watches.
  const minFreshnessMs =
    2 * timing.config_watch_ms + Math.min(WATCH_LATENCY_MS, timing.config_watch_ms);
  if (timing.key_freshness_ms < minFreshnessMs) {
    reader.report(
      section,
      "key_freshness_ms",
      `${timing.key_freshness_ms} is too short for config_watch_ms ${timing.config_watch_ms}; allowed: at least ${minFreshnessMs}`,
    );
  }
  if (timing.session_ttl_ms < timing.lease_ttl_ms) {
    reader.report(
      section,
      "session_ttl_ms",
      `${timing.session_ttl_ms} is shorter than lease_ttl_ms; allowed: at least ${timing.lease_ttl_ms}`,
    );
  }
}

function toEntrySettings(
  entry: v.InferOutput<typeof EntrySectionSchema>,
  timing: v.InferOutput<typeof TimingSectionSchema>,
  limits: v.InferOutput<typeof LimitsSectionSchema>,
): EntrySettings {
  return {
    zone: entry.zone,
    group: entry.group,
    callerAddress: entry.caller_address,
    adminAddress: entry.admin_address,
    peerAddress: entry.peer_address,
    keyValueUrl: entry.key_value_url,
    instanceListUrl: entry.instance_list_url,
    leaseTtlMs: timing.lease_ttl_ms,
    sessionTtlMs: timing.session_ttl_ms,
    gossipIntervalMs: timing.gossip_interval_ms,
    configWatchMs: timing.config_watch_ms,
    keyFreshnessMs: timing.key_freshness_ms,
    budgetIdleMs: timing.budget_idle_ms,
    ledgerShards: limits.ledger_shards,
    idempotencyWindowMs: timing.idempotency_window_ms,
    idMemoryEntries: limits.id_memory_entries,
    resultRetentionMs: timing.result_retention_ms,
    maxAttempts: limits.max_attempts,
    badJobServers: limits.bad_job_servers,
    lendWaitMs: timing.lend_wait_ms,
    lendAfterMs: timing.lend_after_ms,
    plannerIntervalMs: timing.planner_interval_ms,
    shutdownTimeoutMs: timing.shutdown_timeout_ms,
  };
}
