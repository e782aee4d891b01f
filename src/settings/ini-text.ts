import { parse } from "ini";
import type { SettingsProblem } from "./problem.ts";

/** One key with its value as written. */
export interface IniEntry {
  readonly key: string;
  readonly value: string;
  readonly line: number | undefined;
}

/** One section. Kind and name of `[pool.shared]` are `pool` and `shared`. */
export interface IniSection {
  readonly title: string;
  readonly kind: string;
  /** Undefined for sections without a name part, such as `[entry]`. */
  readonly name: string | undefined;
  readonly line: number | undefined;
  readonly entries: readonly IniEntry[];
}

/** A parsed file with the faults of its form. */
export interface IniText {
  readonly file: string;
  readonly sections: readonly IniSection[];
  readonly problems: readonly SettingsProblem[];
}

/** Lines of section headers and keys, which `ini` does not keep. */
interface Lines {
  readonly sections: Map<string, number>;
  readonly keys: Map<string, number>;
  readonly problems: SettingsProblem[];
}

/** Parses INI text. Lines that `ini` would take silently for something else are reported. */
export function parseIni(file: string, text: string): IniText {
  const lines = scanLines(file, text);
  const sections = flatten(parse(text), "").map(({ title, values }) => ({
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
  const known = new Set(sections.map((section) => section.title));
  // `ini` drops sections without keys when they share a prefix; they still count as given.
  const empty = [...lines.sections.keys()].filter((title) => !known.has(title));
  return {
    file,
    sections: [...sections, ...empty.map(emptySection(lines))],
    problems: lines.problems,
  };
}

function emptySection(lines: Lines): (title: string) => IniSection {
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

function flatten(node: Readonly<Record<string, unknown>>, title: string): readonly FlatSection[] {
  const values: [string, string][] = [];
  const nested: FlatSection[] = [];
  for (const [key, value] of Object.entries(node)) {
    if (isNode(value)) nested.push(...flatten(value, title === "" ? key : `${title}.${key}`));
    else values.push([key, Array.isArray(value) ? value.map(String).join(",") : String(value)]);
  }
  const own = title !== "" && values.length > 0 ? [{ title, values }] : [];
  return [...own, ...nested];
}

function isNode(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function scanLines(file: string, text: string): Lines {
  const lines: Lines = { sections: new Map(), keys: new Map(), problems: [] };
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
      const earlier = lines.sections.get(header);
      if (earlier !== undefined) report(`this section already starts on line ${earlier}`);
      else lines.sections.set(header, line);
      return;
    }
    scanKey(raw, { line, section, lines, report });
  });
  return lines;
}

interface KeyScan {
  readonly line: number;
  readonly section: string | undefined;
  readonly lines: Lines;
  readonly report: (detail: string, key?: string) => void;
}

function scanKey(raw: string, { line, section, lines, report }: KeyScan): void {
  const key = /^([^=]+)=/.exec(raw)?.[1]?.trim();
  if (raw.trimStart().startsWith("[")) {
    report(`"${raw.trim()}" is no section header; allowed: [NAME] alone on its line`);
  } else if (key === undefined) {
    report(`"${raw.trim()}" is neither a section header nor KEY = VALUE`);
  } else if (section === undefined) {
    report("this key stands before the first section header", key);
  } else {
    const place = `${section}\n${key}`;
    const earlier = lines.keys.get(place);
    if (earlier !== undefined) report(`this key was already set on line ${earlier}`, key);
    else lines.keys.set(place, line);
  }
}
