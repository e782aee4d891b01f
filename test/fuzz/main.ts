/**
 * Runs a fuzz campaign: `npm run fuzz -- --seed N --runs N [--property NAME] [--shrink SECONDS]`.
 * `--mutants` and `--served` run the other two modes instead.
 */
import sade from "sade";
import { NOOP_LOG } from "../fakes/observability-fakes.ts";
import { fuzz, type CampaignFailure } from "./campaign.ts";
import { MUTANTS } from "./mutants.ts";
import { productFactory } from "./product.ts";
import { compareWithBaseline } from "./served.ts";
import { PROPERTIES, type Property } from "./violations.ts";

interface Options {
  readonly seed: number;
  readonly runs: number;
  readonly property?: Property;
  readonly mutants?: boolean;
  readonly served?: boolean;
  readonly shrink: number;
}

function printFailure(failure: CampaignFailure): void {
  console.log(`world seed ${failure.worldSeed}, zones ${failure.zones.join(" ")}`);
  console.log(`commands (${failure.shrinks} shrinks): ${failure.commands}`);
  for (const { property, at, detail } of failure.violations.slice(0, 8)) {
    console.log(`  ${property} at ${at} ms: ${detail}`);
  }
}

async function runProduct({ seed, runs, property, shrink }: Options): Promise<boolean> {
  const shrinkMs = shrink * 1000;
  const options = { seed, runs, property, shrinkMs, factory: productFactory, log: NOOP_LOG };
  const started = performance.now();
  const result = await fuzz(options);
  const seconds = ((performance.now() - started) / 1000).toFixed(1);
  const verdict = result.failure === undefined ? "passed" : "FAILED";
  console.log(
    `${property ?? "all properties"}: ${verdict}, seed ${seed}, ${result.runs} runs, ${seconds} s`,
  );
  if (result.failure !== undefined) printFailure(result.failure);
  return result.failure === undefined;
}

async function runMutants({ seed, runs, property }: Options): Promise<boolean> {
  let survivors = 0;
  console.log("property | mutant | runs until caught");
  for (const mutant of MUTANTS) {
    if (property !== undefined && mutant.property !== property) continue;
    const options = { seed, runs, property: mutant.property, mutant };
    const result = await fuzz({ ...options, factory: productFactory, log: NOOP_LOG });
    const caught = result.failure === undefined ? `SURVIVED ${result.runs}` : `${result.runs}`;
    if (result.failure === undefined) survivors++;
    console.log(`${mutant.property} | ${mutant.name} | ${caught}`);
  }
  return survivors === 0;
}

function run(options: Options): Promise<boolean> {
  if (options.served === true) return compareWithBaseline(options);
  return options.mutants === true ? runMutants(options) : runProduct(options);
}

async function main(options: Options): Promise<void> {
  const { property } = options;
  if (property !== undefined && !PROPERTIES.includes(property)) {
    console.error(`--property: ${property as string} is not one of ${PROPERTIES.join(", ")}`);
    process.exitCode = 2;
    return;
  }
  process.exitCode = (await run(options)) ? 0 : 1;
}

sade("fuzz", true)
  .describe("Runs random command sequences against entry instances and checks the guarantees.")
  .option("--seed", "Seed of the campaign", 1)
  .option("--runs", "Number of command sequences", 20)
  .option("--property", `One of ${PROPERTIES.join(", ")}`)
  .option("--mutants", "Checks that each mutant is caught")
  .option("--served", "Prints the share of requests answered during each fault")
  .option("--shrink", "Seconds spent on shrinking a failing sequence", 60)
  .action((options: Options) => main(options))
  .parse(process.argv);
