import type { IniEntry, IniSection, ParsedIni } from "./ini-text.ts";
import { suggestion } from "./settings-problem.ts";
import type { SettingsReader } from "./settings-reader.ts";

/** Values for `${name}` that override the template's own `[parameters]`. */
export type TemplateParameters = ReadonlyMap<string, string>;

const REFERENCE = /\$\{([^}]*)\}/g;

/** Replaces `${name}` in values with the parameter of that name. */
export class Substitution {
  readonly #section: IniSection | undefined;
  readonly #parameters: Map<string, string>;
  readonly #overrides: TemplateParameters;
  readonly #used = new Set<string>();

  constructor(ini: ParsedIni, overrides: TemplateParameters) {
    this.#section = ini.sections.find((section) => section.title === "parameters");
    this.#overrides = overrides;
    this.#parameters = new Map(this.#section?.entries.map((entry) => [entry.key, entry.value]));
    for (const [key, value] of overrides) this.#parameters.set(key, value);
  }

  apply(entry: IniEntry): string {
    return entry.value.replace(
      REFERENCE,
      (reference, key: string) => this.#parameters.get(key) ?? reference,
    );
  }

  /** Reports references to undefined parameters, and any references within `[parameters]`. */
  checkReferences(reader: SettingsReader, section: IniSection): void {
    for (const entry of section.entries) {
      for (const [, key = ""] of entry.value.matchAll(REFERENCE)) {
        this.#used.add(key);
        if (section.title === "parameters") {
          reader.report(section, entry.key, "allowed: a value without ${...}");
        } else if (!this.#parameters.has(key)) {
          const hint = suggestion(key, [...this.#parameters.keys()]);
          reader.report(section, entry.key, `parameter "${key}" has no value; ${hint}`);
        }
      }
    }
  }

  /** Reports parameters to which no value refers, since their names are usually misspelt. */
  reportUnused(reader: SettingsReader): void {
    const unused = [...this.#parameters.keys()].filter((key) => !this.#used.has(key));
    for (const key of unused) {
      const detail = `no value refers to this parameter; ${suggestion(key, [...this.#used])}`;
      if (this.#section !== undefined && !this.#overrides.has(key))
        reader.report(this.#section, key, detail);
      else reader.reportFile(`parameter "${key}": ${detail}`);
    }
  }
}
