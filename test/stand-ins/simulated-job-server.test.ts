import { test } from "uvu";
import * as assert from "uvu/assert";
import { SimulatedJobServer } from "../../src/stand-ins/simulated-job-server.ts";
import { VirtualClock } from "../fakes/virtual-clock.ts";

const LEASE_MS = 6000;
const TASK_MS = 500;

/** Whether the end of a run counts as acknowledged if it is acknowledged after the given time. */
async function acknowledgedAfter(ms: number): Promise<boolean | undefined> {
  const clock = new VirtualClock();
  const server = new SimulatedJobServer({
    ...{ clock, id: "s0", behaviour: () => ({ durationMs: TASK_MS }) },
    capacity: { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 },
  });
  server.start({ task: "j.0.0.0", run: 1, spec: "", deadlineMs: LEASE_MS, token: 1 });
  await clock.advance(TASK_MS);
  server.applyElapsedTime();
  await clock.advance(ms - TASK_MS);
  server.poll({ token: 1, deadlineMs: 2 * LEASE_MS, acknowledged: 0, waitMs: 0 });
  server.poll({ token: 1, deadlineMs: undefined, acknowledged: 1, waitMs: 0 });
  return server.history[0]?.acknowledged;
}

// Guards against a check of repeated starts that misses one, or reports one that nobody could avoid.
test("an end counts as acknowledged only if the lease has not lapsed in between", async () => {
  assert.is(await acknowledgedAfter(LEASE_MS - 100), true);
  assert.is(await acknowledgedAfter(LEASE_MS + 100), false);
});

test.run();
