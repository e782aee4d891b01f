/** Plays campaigns of job histories from the command line: `npm run fuzz:jobs -- SEED RUNS`. */
import { runJobCampaign } from "./job-campaign.ts";

const seed = Number(process.argv[2] ?? 1);
const runs = Number(process.argv[3] ?? 50);
const failure = await runJobCampaign(seed, runs);
if (failure === undefined) console.log(`seed ${seed}: ${runs} runs passed`);
else {
  console.log(JSON.stringify(failure, undefined, 2));
  process.exitCode = 1;
}
