/** `npm run soak:platform -- --seed N --seeds N --seconds N`: soaks platform entries. */
import sade from "sade";
import { runPlatformSoak } from "./platform-soak.ts";

interface CliOptions {
  readonly seed: number;
  readonly seeds: number;
  readonly seconds: number;
  readonly entries: number;
  readonly workers: number;
  readonly rate: number;
}

async function runSoaks({ seed, seeds, ...options }: CliOptions): Promise<void> {
  for (let next = seed; next < seed + seeds; next++) {
    const report = await runPlatformSoak({ ...options, seed: next });
    const { violations, folder, ...figures } = report;
    console.log(JSON.stringify({ seed: next, violations: violations.length, ...figures }));
    if (violations.length === 0) continue;
    process.exitCode = 1;
    for (const violation of violations.slice(0, 20)) console.log(`  ${violation}`);
    console.log(`  logs: ${folder}`);
  }
  // Timers of the stand-ins' leases and watches are still pending.
  process.exit();
}

sade("soak:platform", true)
  .describe("Run soaks with random faults, one after another.")
  .option("--seed", "First seed", 1)
  .option("--seeds", "Number of seeds", 1)
  .option("--seconds", "Duration of load and faults per seed, in seconds", 20)
  .option("--entries", "Entry processes", 4)
  .option("--workers", "Workers, in one process", 5)
  .option("--rate", "Jobs submitted per second", 6)
  .action((options: CliOptions) => runSoaks(options))
  .parse(process.argv);
