import { parse } from "ini";
import type { SettingsProblem } from "./settings-problem.ts";

/** One key with its unparsed value. */
export interface IniEntry {
  readonly key: string;
  readonly value: string;
  readonly line: number | undefined;
}

/** One section. `[pool.shared]` has the kind `pool` and the name `shared`. */
export interface IniSection {
  readonly title: string;
  readonly kind: string;
  /** Undefined for sections without a name part, such as `[entry]`. */
  readonly name: string | undefined;
  readonly line: number | undefined;
  readonly entries: readonly IniEntry[];
}

/** A parsed file with its syntax problems. */
export interface ParsedIni {
  readonly file: string;
  readonly sections: readonly IniSection[];
  readonly problems: readonly SettingsProblem[];
}

/** Line numbers of section headers and keys, which `ini` does not return. */
interface LineIndex {
  readonly sections: Map<string, number>;
  readonly keys: Map<string, number>;
  readonly problems: SettingsProblem[];
}

/** Parses INI text. Reports lines that `ini` would silently misinterpret. */
export function parseIni(file: string, text: string): ParsedIni {
  const lines = indexLines(file, text);
  const sections = flattenSections(parse(text), "").map(({ title, values }) => ({
    title,
    kind: title.split(".")[0] ?? title,
    name: title.includes(".") ? title.slice(title.indexOf(".") + 1) : undefined,
    line: lines.sections.get(title),
    entries: values.map(([key, value]) => ({
      key,
      value,
      line: lines.keys.get(`${title}\n${key}`),
    })),
  }));
  const parsedTitles = new Set(sections.map((section) => section.title));
  // `flattenSections` leaves out sections without keys. Add them back.
  const empty = [...lines.sections.keys()].filter((title) => !parsedTitles.has(title));
  return {
    file,
    sections: [...sections, ...empty.map(emptySection(lines))],
    problems: lines.problems,
  };
}

function emptySection(lines: LineIndex): (title: string) => IniSection {
  return (title) => ({
    title,
    kind: title.split(".")[0] ?? title,
    name: title.includes(".") ? title.slice(title.indexOf(".") + 1) : undefined,
    line: lines.sections.get(title),
    entries: [],
  });
}

interface FlatSection {
  readonly title: string;
  readonly values: readonly (readonly [string, string])[];
}

function flattenSections(
  node: Readonly<Record<string, unknown>>,
  title: string,
): readonly FlatSection[] {
  const values: [string, string][] = [];
  const nested: FlatSection[] = [];
  for (const [key, value] of Object.entries(node)) {
    if (isNode(value))
      nested.push(...flattenSections(value, title === "" ? key : `${title}.${key}`));
    else values.push([key, Array.isArray(value) ? value.map(String).join(",") : String(value)]);
  }
  const own = title !== "" && values.length > 0 ? [{ title, values }] : [];
  return [...own, ...nested];
}

function isNode(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function indexLines(file: string, text: string): LineIndex {
  const lines: LineIndex = { sections: new Map(), keys: new Map(), problems: [] };
  let section: string | undefined;
  text.split(/\r?\n/).forEach((raw, index) => {
    const line = index + 1;
    if (/^\s*([;#].*)?$/.test(raw)) return;
    const report = (detail: string, key?: string): void => {
      lines.problems.push({ file, line, section, key, value: undefined, detail });
    };
    const header = /^\[([^\]]*)\]\s*$/.exec(raw)?.[1]?.trim();
    if (header !== undefined) {
      section = header;
      const firstLine = lines.sections.get(header);
      if (firstLine !== undefined) report(`this section already starts on line ${firstLine}`);
      else lines.sections.set(header, line);
      return;
    }
    indexKey(raw, { line, section, lines, report });
  });
  return lines;
}

interface KeyContext {
  readonly line: number;
  readonly section: string | undefined;
  readonly lines: LineIndex;
  readonly report: (detail: string, key?: string) => void;
}

function indexKey(raw: string, { line, section, lines, report }: KeyContext): void {
  const key = /^([^=]+)=/.exec(raw)?.[1]?.trim();
  if (raw.trimStart().startsWith("[")) {
    report(`"${raw.trim()}" is not a section header; allowed: [NAME] alone on its line`);
  } else if (key === undefined) {
    report(`"${raw.trim()}" is neither a section header nor KEY = VALUE`);
  } else if (section === undefined) {
    report("this key appears before the first section header", key);
  } else {
    const id = `${section}\n${key}`;
    const firstLine = lines.keys.get(id);
    if (firstLine !== undefined) report(`this key was already set on line ${firstLine}`, key);
    else lines.keys.set(id, line);
  }
}
