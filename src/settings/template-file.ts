import { Err, Ok, type Result } from "ts-results";
import * as v from "valibot";
import { parseIni, type IniSection, type ParsedIni } from "./ini-text.ts";
import { suggestion, type SettingsProblem } from "./settings-problem.ts";
import { SettingsReader, type SectionSchema } from "./settings-reader.ts";
import { Substitution, type TemplateParameters } from "./substitution.ts";
import { checkTemplate, type TemplateSections } from "./template-checks.ts";
import { toTemplateContent, type TemplateContent } from "./template-content.ts";
import { decimalNumber, nameList, nameValue, timeOfDay, wholeNumber, yesOrNo } from "./values.ts";

/** Section `[pool.NAME]`. */
export const PoolSectionSchema = v.object({
  group: nameValue(),
  min_available: wholeNumber(0, 10_000, "backend servers"),
  target_size: wholeNumber(0, 10_000, "backend servers"),
  urgent_reserve_slots: v.optional(wholeNumber(0, 100_000, "slots"), "0"),
  spare: v.optional(yesOrNo(), "no"),
});

/** Section `[queue.NAME]`. */
export const QueueSectionSchema = v.object({
  pool: nameValue(),
  open: v.optional(yesOrNo(), "no"),
  idempotent: v.optional(yesOrNo(), "no"),
  declared_run_ms: v.optional(wholeNumber(0, 604_800_000, "milliseconds"), "1000"),
});

/** Section `[team.NAME]`. */
export const TeamSectionSchema = v.object({
  share: decimalNumber(0, 1_000_000, "weight among teams"),
  upper_limit: wholeNumber(0, 1_000_000, "running tasks"),
  queues: v.optional(nameList(), ""),
  maintenance_start: v.exactOptional(timeOfDay()),
  maintenance_end: v.exactOptional(timeOfDay()),
});

/** Section `[maintenance]`. */
export const MaintenanceSectionSchema = v.object({
  start_time: v.optional(timeOfDay(), "00:00"),
  end_time: v.optional(timeOfDay(), "24:00"),
  every_days: v.optional(decimalNumber(0, 365, "days, 0 turns waves off"), "0"),
  max_parallel: v.optional(wholeNumber(1, 10_000, "backend servers"), "2"),
});

/** Section `[weights]`. */
export const WeightsSectionSchema = v.object({
  buffer_cost: v.optional(decimalNumber(0, 1000, "weight"), "1"),
  rollout_time: v.optional(decimalNumber(0, 1000, "weight"), "1"),
  moves: v.optional(decimalNumber(0, 1000, "weight"), "1"),
  closeness_to_share: v.optional(decimalNumber(0, 1000, "weight"), "1"),
});

const NAMED_KINDS = ["pool", "queue", "team"];
const UNNAMED_SECTIONS = ["maintenance", "weights", "parameters"];

/** Reads a configuration template. Returns all problems of the file if there are any. */
export function readTemplate(
  file: string,
  text: string,
  overrides: TemplateParameters = new Map(),
): Result<TemplateContent, readonly SettingsProblem[]> {
  const ini = parseIni(file, text);
  const substitution = new Substitution(ini, overrides);
  const reader = new SettingsReader(ini, (entry) => substitution.apply(entry));
  for (const section of ini.sections) {
    checkSectionTitle(reader, section);
    substitution.checkReferences(reader, section);
  }
  substitution.reportUnused(reader);
  const sections = readSections(reader, ini);
  checkTemplate(reader, sections);
  return reader.problems.length > 0 ? Err(reader.problems) : Ok(toTemplateContent(sections));
}

function checkSectionTitle(
  reader: SettingsReader,
  { title, kind, name, ...rest }: IniSection,
): void {
  const section = { title, kind, name, ...rest };
  if (NAMED_KINDS.includes(kind)) {
    const parsed = v.safeParse(nameValue(), name);
    if (name === undefined) reader.report(section, undefined, `allowed: [${kind}.NAME]`);
    else if (!parsed.success)
      reader.report(section, undefined, `name "${name}": ${parsed.issues[0].message}`);
    return;
  }
  if (UNNAMED_SECTIONS.includes(title)) return;
  const candidates = [...NAMED_KINDS.map((namedKind) => `${namedKind}.NAME`), ...UNNAMED_SECTIONS];
  const nearest = suggestion(kind, [...NAMED_KINDS, ...UNNAMED_SECTIONS]);
  const hint = nearest.startsWith("did") ? nearest : `allowed: ${candidates.join(", ")}`;
  reader.report(section, undefined, `unknown section; ${hint}`);
}

function readSections(reader: SettingsReader, ini: ParsedIni): TemplateSections {
  const readNamed = <S extends SectionSchema>(
    kind: string,
    schema: S,
  ): {
    readonly section: IniSection;
    readonly name: string;
    readonly value: v.InferOutput<S> | undefined;
  }[] =>
    ini.sections
      .filter((section) => section.kind === kind && section.name !== undefined)
      .map((section) => ({
        section,
        name: section.name ?? "",
        value: reader.read(section, schema),
      }));
  const readUnnamed = <S extends SectionSchema>(
    title: string,
    schema: S,
  ): v.InferOutput<S> | undefined =>
    reader.read(
      ini.sections.find((section) => section.title === title) ?? {
        title,
        kind: title,
        name: undefined,
        line: undefined,
        entries: [],
      },
      schema,
    );
  return {
    pools: readNamed("pool", PoolSectionSchema),
    queues: readNamed("queue", QueueSectionSchema),
    teams: readNamed("team", TeamSectionSchema),
    maintenanceSection: ini.sections.find((section) => section.title === "maintenance"),
    maintenance: readUnnamed("maintenance", MaintenanceSectionSchema),
    weights: readUnnamed("weights", WeightsSectionSchema),
  };
}
