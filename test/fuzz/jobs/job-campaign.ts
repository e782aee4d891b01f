import fc from "fast-check";
import { jobHistories, rebootHistories } from "./job-commands.ts";
import { JobWorld, type JobMutant } from "./job-world.ts";

/** The first history that violated a guarantee. */
export interface JobCampaignFailure {
  readonly seed: number;
  readonly history: readonly string[];
  readonly violations: readonly string[];
}

/** Options of {@link runJobCampaign}. */
export interface JobCampaignOptions {
  readonly mutant?: JobMutant | undefined;
  /** Runs histories of reboots and cuts of servers. @default false */
  readonly reboots?: boolean;
}

/** Runs random histories until one fails; undefined if all pass. Equal seeds give equal histories. */
export async function runJobCampaign(
  seed: number,
  runs: number,
  { mutant, reboots = false }: JobCampaignOptions = {},
): Promise<JobCampaignFailure | undefined> {
  let violations: readonly string[] = [];
  const histories = reboots ? rebootHistories() : jobHistories();
  const property = fc.asyncProperty(histories, async (history) => {
    violations = [];
    const world = new JobWorld(seed, { mutant, reboots });
    await world.cluster.electScheduler();
    for (const command of history) await command.run(world);
    violations = await world.finish();
    return violations.length === 0;
  });
  const result = await fc.check(property, { seed, numRuns: runs, endOnFailure: true });
  if (!result.failed) return undefined;
  // An error without a violation comes from the harness.
  if (violations.length === 0 && result.errorInstance instanceof Error) throw result.errorInstance;
  const history = result.counterexample?.[0].map(({ name }) => name) ?? [];
  return { seed, history, violations };
}
