import { Err, Ok } from "ts-results";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { LockTenure } from "../../../src/coordination/jobs/election/scheduler-lock.ts";
import type { DriverListener } from "../../../src/coordination/jobs/execution/driver-listener.ts";
import { ServerDriver } from "../../../src/coordination/jobs/execution/server-driver.ts";
import type { EvacuationGuard } from "../../../src/coordination/jobs/fleet/evacuation-guard.ts";
import type { JobBackend, PollOrder, StartOrder } from "../../../src/ports/job-backend.ts";
import { advanceWithLock, silentLog } from "../../fakes/jobs/control-fakes.ts";
import { cpu, jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { JobCluster } from "../../fakes/jobs/job-cluster.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { advanceUntilSettled, VirtualClock } from "../../fakes/virtual-clock.ts";

const START_BOUND_MS = 500;
const TTL_MS = 6000;
const RUN = { task: "job.0.0.0", run: 1, spec: "work" };

// Guards against an accepted job that never runs (LOST): the scheduler's reading of an idle server's clock
// grew so old that the server refused every start as late.
for (const idleMs of [60_000, 200_000, 900_000])
  test(`a task starts at once on a server that was idle for ${idleMs / 1000} s`, async () => {
    const cluster = new JobCluster({ random: new SeededRandom(1), entries: 1, servers: 1 });
    const { clock } = cluster;
    const scheduler = await cluster.electScheduler();
    const submit = async (id: string, tasks: number): Promise<void> => {
      const job = jobRequest(step({ tasks }));
      await advanceUntilSettled(clock, cluster.submit(scheduler, id, job));
    };
    await submit("first", 1);
    await clock.advance(idleMs);
    const submittedAt = clock.now();
    await submit("second", 3);
    await clock.advance(START_BOUND_MS);
    const started = cluster.servers
      .get("s0")!
      .history.filter(({ startedAt }) => startedAt >= submittedAt);
    assert.is(started.length, 3);
    assert.is(scheduler.counts.count("start_failed_late"), 0);
  });

/** A driver of an idle server whose clock is `aheadMs` further on than the time that has passed. */
function idleDriver() {
  const clock = new VirtualClock();
  const tenure = new LockTenure(clock, 1, 1, { now: clock.now(), wallTime: clock.wallTime() });
  const server = { aheadMs: 0, polls: 0, reachable: true };
  const clockMs = (): number => Math.floor(clock.now()) + server.aheadMs;
  const unknown = Err({ kind: "unknown" as const, detail: "no reply" });
  const backend = {
    start: ({ deadlineMs }: StartOrder) =>
      Promise.resolve(
        deadlineMs < clockMs() ? Err({ kind: "late" as const }) : Ok({ clockMs: clockMs() }),
      ),
    poll: async ({ waitMs }: PollOrder) => {
      server.polls++;
      await clock.sleep(waitMs + 2);
      if (!server.reachable) return unknown;
      return Ok({ clockMs: clockMs(), bootedAt: 0, running: [], ended: [] });
    },
    close: () => undefined,
  };
  const listener = {
    hasRuns: () => false,
    pollWait: () => 2000,
    listsRead: () => Promise.resolve(true),
    checkLeases: () => undefined,
  };
  const driver = new ServerDriver({
    ...{ clock, tenure, log: silentLog(), takenOverAt: clock.now() },
    ...{ leaseTtlMs: TTL_MS, maxServerLeaseMs: TTL_MS },
    backend: backend as unknown as JobBackend,
    listener: listener as unknown as DriverListener,
    evacuations: { startValidMs: () => Infinity } as unknown as EvacuationGuard,
    registration: {
      ...{ id: "s", pool: "pool", address: "s", zone: "z", labels: [], rack: "r", bootedAt: 0 },
      ...{ capacity: cpu(8000), coldRemainingMs: 0, draining: false },
    },
  });
  void driver.run();
  const advance = (ms: number): Promise<void> => advanceWithLock(clock, tenure, ms);
  return { clock, driver, server, advance };
}

// Guards against a server that refuses every start as late until other work is done on it, because a
// process was paused while the reply with the reading was under way.
test("the clock of a server that refused a start as late is read again", async () => {
  const { clock, driver, server, advance } = idleDriver();
  await advance(1000);
  server.aheadMs = 5000;
  const refused = await advanceUntilSettled(clock, driver.start(RUN));
  assert.equal(refused.val, { kind: "late" });
  await advance(100);
  assert.is(server.polls, 2);
  const accepted = await advanceUntilSettled(clock, driver.start(RUN));
  assert.ok(accepted.ok);
});

test("an idle server whose clock was read recently is not polled before a start", async () => {
  const { clock, driver, server, advance } = idleDriver();
  await advance(10_000);
  assert.is(server.polls, 1);
  const accepted = await advanceUntilSettled(clock, driver.start(RUN));
  assert.ok(accepted.ok);
  assert.is(server.polls, 1);
});

// Guards against a start with a deadline from an old reading, and against one that waits for good.
test("a start on a server that was lost while it was idle is not sent", async () => {
  const { clock, driver, server, advance } = idleDriver();
  await advance(60_000);
  server.reachable = false;
  const result = await advanceUntilSettled(clock, driver.start(RUN));
  assert.ok(result.err && result.val.kind === "not-sent");
  assert.is(driver.reachable, false);
});

test.run();
