/** Runs a campaign of job histories: `npm run fuzz:jobs -- --seed N --runs N`. */
import sade from "sade";
import { runJobCampaign } from "./job-campaign.ts";
import type { JobMutant } from "./job-world.ts";

interface CliOptions {
  readonly seed: number;
  readonly runs: number;
  readonly mutant?: JobMutant;
  readonly reboots?: boolean;
}

async function run({ seed, runs, ...options }: CliOptions): Promise<void> {
  const failure = await runJobCampaign(seed, runs, options);
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
  .option("--reboots", "Histories of servers that reboot and are cut off")
  .action((options: CliOptions) => run(options))
  .parse(process.argv);
