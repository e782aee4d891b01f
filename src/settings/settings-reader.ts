import * as v from "valibot";
import type { IniEntry, IniSection, ParsedIni } from "./ini-text.ts";
import { suggestion, type SettingsProblem } from "./settings-problem.ts";

/** Schema of a section: keys in snake_case, values parsed from text. */
export type SectionSchema = v.ObjectSchema<v.ObjectEntries, undefined>;

/** Reads the sections of a file and collects its problems, so that all are reported at once. */
export class SettingsReader {
  readonly #ini: ParsedIni;
  readonly #problems: SettingsProblem[];
  readonly #substitute: (entry: IniEntry) => string;

  constructor(ini: ParsedIni, substitute: (entry: IniEntry) => string = (entry) => entry.value) {
    this.#ini = ini;
    this.#problems = [...ini.problems];
    this.#substitute = substitute;
  }

  get problems(): readonly SettingsProblem[] {
    return this.#problems;
  }

  get file(): string {
    return this.#ini.file;
  }

  /** Reports a problem at a key of a section, or at the section itself if no key is given. */
  report(section: IniSection, key: string | undefined, detail: string): void {
    const entry = section.entries.find((candidate) => candidate.key === key);
    this.#problems.push({
      file: this.#ini.file,
      line: entry?.line ?? section.line,
      section: section.title,
      key,
      value: entry === undefined ? undefined : this.#substitute(entry),
      detail,
    });
  }

  /** Reports a problem of the file as a whole. */
  reportFile(detail: string): void {
    this.#problems.push({
      file: this.#ini.file,
      line: undefined,
      section: undefined,
      key: undefined,
      value: undefined,
      detail,
    });
  }

  /**
   * Reads a section; undefined if it has problems. For an absent section, callers pass one without
   * entries, so that defaults apply and missing keys are reported.
   */
  read<S extends SectionSchema>(section: IniSection, schema: S): v.InferOutput<S> | undefined {
    const keys = Object.keys(schema.entries);
    const values: Record<string, string> = {};
    let keysKnown = true;
    for (const entry of section.entries) {
      if (keys.includes(entry.key)) values[entry.key] = this.#substitute(entry);
      else {
        keysKnown = false;
        this.report(section, entry.key, `unknown key; ${suggestion(entry.key, keys)}`);
      }
    }
    const parsed = v.safeParse(schema, values, { abortPipeEarly: true });
    if (parsed.success) return keysKnown ? parsed.output : undefined;
    for (const issue of parsed.issues) {
      const key = String(issue.path?.[0].key);
      const missing = !(key in values);
      this.report(
        section,
        key,
        missing ? `missing; ${describeAllowedValues(schema, key)}` : issue.message,
      );
    }
    return undefined;
  }
}

/** Describes the allowed values of a key, using the message for a value that is always invalid. */
function describeAllowedValues(schema: SectionSchema, key: string): string {
  const entry = schema.entries[key];
  if (entry === undefined) return "";
  const parsed = v.safeParse(entry, "\u0000", { abortPipeEarly: true });
  return parsed.success ? "" : parsed.issues[0].message;
}

/** Converts a snake_case key of a section to the camelCase name of its field. */
export function toCamelCase(key: string): string {
  return key.replace(/_([a-z])/g, (_match, letter: string) => letter.toUpperCase());
}
