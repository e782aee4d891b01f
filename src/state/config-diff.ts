import type { ConfigDocument, TeamConfig } from "../protocol/config-document.ts";

/** The parts of a configuration that operators edit, with or without revision. */
export type ConfigContent = Omit<ConfigDocument, "revision" | "writeId" | "acceptedAt">;

/** One difference between two configurations. */
export interface ConfigChange {
  /** Section as in a template, such as `pool.shared`. */
  readonly section: string;
  /** Undefined if the whole section was added or removed. */
  readonly key: string | undefined;
  readonly before: string | undefined;
  readonly after: string | undefined;
}

type Section = Readonly<Record<string, string>>;

/** Lists the differences in the order of a template's sections. */
export function diffConfig(before: ConfigContent, after: ConfigContent): readonly ConfigChange[] {
  const old = toSections(before);
  const next = toSections(after);
  return [...new Set([...old.keys(), ...next.keys()])].flatMap((section) =>
    diffSection(section, old.get(section), next.get(section)),
  );
}

function diffSection(
  section: string,
  before: Section | undefined,
  after: Section | undefined,
): readonly ConfigChange[] {
  if (before === undefined) return [{ section, key: undefined, before: undefined, after: "added" }];
  if (after === undefined)
    return [{ section, key: undefined, before: "removed", after: undefined }];
  return [...new Set([...Object.keys(before), ...Object.keys(after)])]
    .filter((key) => before[key] !== after[key])
    .map((key) => ({ section, key, before: before[key], after: after[key] }));
}

/** True for changes of API keys alone, which are made by other commands than template edits. */
export function isKeyChange(change: ConfigChange): boolean {
  return change.section.startsWith("team.") && change.key === "keys";
}

/** Writes a change as one line of text. */
export function formatChange({ section, key, before, after }: ConfigChange): string {
  if (key === undefined) return `[${section}] ${before ?? after ?? ""}`;
  return `[${section}] ${key}: ${before ?? "(none)"} -> ${after ?? "(none)"}`;
}

function toSections(config: ConfigContent): ReadonlyMap<string, Section> {
  const sections = new Map<string, Section>();
  for (const pool of config.pools) sections.set(`pool.${pool.name}`, toSection(pool));
  for (const queue of config.queues) sections.set(`queue.${queue.name}`, toSection(queue));
  for (const team of config.teams) sections.set(`team.${team.name}`, toTeamSection(team));
  sections.set("maintenance", toSection(config.maintenance));
  sections.set("weights", toSection(config.weights));
  return sections;
}

function toTeamSection({ keys, ...team }: TeamConfig): Section {
  const ids = keys.map((key) => key.id).sort();
  return { ...toSection(team), keys: ids.join(", ") };
}

function toSection(values: object): Section {
  return Object.fromEntries(
    Object.entries(values)
      .filter(([key]) => key !== "name")
      .map(([key, value]: [string, unknown]) => [toSnakeCase(key), toText(value)]),
  );
}

function toText(value: unknown): string {
  if (Array.isArray(value)) return value.join(", ");
  if (typeof value === "boolean") return value ? "yes" : "no";
  return String(value);
}

function toSnakeCase(field: string): string {
  return field.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}
