import { test } from "uvu";
import * as assert from "uvu/assert";
import { FleetConfigView } from "../../../src/coordination/jobs/config-view.ts";
import type { ServerDriver } from "../../../src/coordination/jobs/execution/server-driver.ts";
import { RoundFleet } from "../../../src/coordination/jobs/scheduling/round-fleet.ts";
import { RunRegistry } from "../../../src/state/jobs/execution/run-registry.ts";
import { VirtualClock } from "../../fakes/virtual-clock.ts";

const NO_LOG = { debug: none, info: none, warn: none, error: none };

function none(): void {
  // Log output is discarded.
}

/** Fleet with one pool of one idle server with eight cores. */
function growingFleet(expectedCores: number): RoundFleet {
  const capacity = { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 };
  const driver = { id: "s1", registration: { capacity } } as unknown as ServerDriver;
  return new RoundFleet({
    config: new FleetConfigView(new VirtualClock(), NO_LOG),
    runRegistry: new RunRegistry(),
    ...{ servers: () => [driver], acceptsTasks: () => true, wallTimeMs: 0 },
    expectedCores: () => expectedCores,
  });
}

// Guards against a plan at the beginning of a surge that counts only the few instances that an idle
// pool keeps, and so delays jobs that are on time once further instances have joined.
test("a pool is planned with the instances that its demand brings, and places on those it has", () => {
  const { cores, freeCores } = growingFleet(64).pool("p").capacity();
  assert.is(cores, 64);
  assert.is(freeCores, 8);
});

test("a pool that gives instances away is planned with those that it still has", () => {
  assert.is(growingFleet(4).pool("p").capacity().cores, 8);
});

test.run();
