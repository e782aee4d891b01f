/**
 * `npm run bench -- NAME [--site S] [--seed N] [--rounds N] [--json]` and
 * `npm run bench -- report [--input FILE,FILE] [--out FILE]` and
 * `npm run bench -- scheduler-cost [--seed N]` and
 * `npm run bench -- decisions [--seed N] [--rounds N]`
 */
import { readFileSync, writeFileSync } from "node:fs";
import sade from "sade";
import * as v from "valibot";
import { printDecisions } from "./decisions/decisions.ts";
import { measure } from "./measure.ts";
import { MeasurementSchema, type Measurement } from "./measurement-schema.ts";
import { printMeasurement } from "./print.ts";
import { reportPage } from "./report.ts";
import { runSchedulerCost } from "./scheduler-cost.ts";
import { SCENARIOS } from "./scenarios.ts";
import { SITES } from "./site.ts";

const MAX_ROUNDS = 100;
const NAMES = Object.keys(SCENARIOS);
/** Names that run no scenario. */
const OTHER_NAMES: readonly string[] = ["report", "scheduler-cost", "decisions"];
const OptionsSchema = v.object({
  site: v.picklist([...SITES.keys()]),
  seed: v.pipe(v.number(), v.integer(), v.minValue(0)),
  rounds: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(MAX_ROUNDS)),
  json: v.optional(v.boolean(), false),
  input: v.optional(v.string()),
  out: v.string(),
});
type Options = v.InferOutput<typeof OptionsSchema>;

function run(name: string, { site, seed, rounds }: Options): Promise<Measurement> {
  return measure({ name, scenario: SCENARIOS[name]!, site: SITES.get(site)!, seed, rounds });
}

async function writeReport(options: Options): Promise<void> {
  const measurements: Measurement[] = [];
  if (options.input === undefined) {
    for (const name of NAMES) measurements.push(await run(name, options));
  } else {
    for (const file of options.input.split(","))
      measurements.push(v.parse(MeasurementSchema, JSON.parse(readFileSync(file, "utf8"))));
  }
  writeFileSync(options.out, reportPage(measurements));
  console.log(`wrote ${options.out} with ${measurements.length} measurements`);
}

async function main(name: string, raw: unknown): Promise<void> {
  const known = OTHER_NAMES.includes(name) || Object.hasOwn(SCENARIOS, name);
  const parsed = v.safeParse(OptionsSchema, raw);
  if (!known || !parsed.success) {
    if (!known)
      console.error(
        `unknown name "${name}"; expected one of ${[...NAMES, ...OTHER_NAMES].join(", ")}`,
      );
    if (!parsed.success) console.error(v.summarize(parsed.issues));
    process.exitCode = 2;
    return;
  }
  if (name === "decisions") {
    printDecisions(parsed.output.seed, parsed.output.rounds);
    return;
  }
  if (name === "report") return writeReport(parsed.output);
  if (name === "scheduler-cost") return runSchedulerCost(parsed.output.seed);
  const measurement = await run(name, parsed.output);
  if (parsed.output.json) console.log(JSON.stringify(measurement));
  else printMeasurement(measurement);
}

sade("bench <name>", true)
  .describe(
    `Measures entry instances on virtual time. Names: ${[...NAMES, ...OTHER_NAMES].join(", ")}`,
  )
  .option("--site", `One of ${[...SITES.keys()].join(", ")}`, "piedra-viva")
  .option("--seed", "Seed of the first round", 1)
  .option("--rounds", "Number of seeds", 1)
  .option("--json", "Print the figures as JSON", false)
  .option("--input", "Files with JSON figures for the report, separated by commas")
  .option("--out", "File of the report", "report.html")
  .action((name: string, options: unknown) => main(name, options))
  .parse(process.argv);
