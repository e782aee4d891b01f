import { test } from "uvu";
import * as assert from "uvu/assert";
import { runPlatformSoak } from "./platform-soak.ts";

/** Seeds of short soaks; those that ever failed stay, with a line on the cause. */
const SEEDS: readonly number[] = [
  // A request that came late in a graceful shutdown was cut at its end.
  10,
];

for (const seed of SEEDS) {
  test(`soak of real processes with random faults, seed ${seed}`, async () => {
    const report = await runPlatformSoak({ seed, seconds: 6, entries: 3, workers: 4, rate: 5 });
    assert.equal(report.violations, [], `logs: ${report.folder}`);
    assert.ok(report.accepted > 0, "something was accepted");
  });
}

test.after(() => {
  // Timers of the stand-ins' leases and watches are still pending.
  setImmediate(() => process.exit());
});

test.run();
