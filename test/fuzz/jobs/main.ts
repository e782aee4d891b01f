/** Runs a campaign of job histories: `npm run fuzz:jobs -- --seed N --runs N`. */
import sade from "sade";
import { runJobCampaign } from "./job-campaign.ts";
import type { JobMutant } from "./job-world.ts";

interface CliOptions {
  readonly seed: number;
  readonly runs: number;
  readonly mutant?: JobMutant;
}

async function run({ seed, runs, mutant }: CliOptions): Promise<void> {
  const failure = await runJobCampaign(seed, runs, mutant);
  if (failure === undefined) console.log(`seed ${seed}: ${runs} runs passed`);
  else {
    console.log(JSON.stringify(failure, undefined, 2));
    process.exitCode = 1;
  }
}

sade("fuzz:jobs", true)
  .describe("Runs random histories of jobs and faults on virtual time.")
  .option("--seed", "Seed of the campaign", 1)
  .option("--runs", "Number of histories", 50)
  .option("--mutant", "Deviation that the campaign must report: ignores-evacuations")
  .action((options: CliOptions) => run(options))
  .parse(process.argv);
