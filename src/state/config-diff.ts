import { configSections, type ConfigContent, type ConfigSection } from "./config-sections.ts";

export type { ConfigContent } from "./config-sections.ts";

/** One difference between two configurations. */
export interface ConfigChange {
  /** Section name as in a template, such as `pool.shared`. */
  readonly section: string;
  /** Undefined if the whole section was added or removed. */
  readonly key: string | undefined;
  /** Undefined if the key was added; `removed` if the whole section was removed. */
  readonly before: string | undefined;
  /** Undefined if the key was removed; `added` if the whole section was added. */
  readonly after: string | undefined;
}

/** Lists the differences in the section order of a template. */
export function diffConfig(before: ConfigContent, after: ConfigContent): readonly ConfigChange[] {
  const old = toSections(before);
  const next = toSections(after);
  return [...new Set([...old.keys(), ...next.keys()])].flatMap((section) =>
    diffSection(section, old.get(section), next.get(section)),
  );
}

function diffSection(
  section: string,
  before: ConfigSection | undefined,
  after: ConfigSection | undefined,
): readonly ConfigChange[] {
  if (before === undefined) return [{ section, key: undefined, before: undefined, after: "added" }];
  if (after === undefined)
    return [{ section, key: undefined, before: "removed", after: undefined }];
  return [...new Set([...Object.keys(before), ...Object.keys(after)])]
    .filter((key) => before[key] !== after[key])
    .map((key) => ({ section, key, before: before[key], after: after[key] }));
}

/** True for changes of API keys, which are not made by editing a template but by other commands. */
export function isKeyChange(change: ConfigChange): boolean {
  return change.section.startsWith("team.") && change.key === "keys";
}

/** Formats a change as one line of text. */
export function formatChange({ section, key, before, after }: ConfigChange): string {
  if (key === undefined) return `[${section}] ${before ?? after ?? ""}`;
  return `[${section}] ${key}: ${before ?? "(none)"} -> ${after ?? "(none)"}`;
}

/** Sections of a template plus the ids of the API keys, which templates omit. */
function toSections(config: ConfigContent): ReadonlyMap<string, ConfigSection> {
  const sections = new Map(configSections(config));
  for (const { name, keys } of config.teams) {
    const ids = keys.map((key) => key.id).sort();
    const title = `team.${name}`;
    sections.set(title, { ...sections.get(title), keys: ids.join(", ") });
  }
  return sections;
}
