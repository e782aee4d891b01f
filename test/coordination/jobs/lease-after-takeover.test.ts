import { test } from "uvu";
import * as assert from "uvu/assert";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { JobCluster } from "../../fakes/jobs/job-cluster.ts";
import { repeatedStarts } from "../../fakes/jobs/run-checks.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { advanceUntilSettled } from "../../fakes/virtual-clock.ts";

const MAX_SERVER_LEASE_MS = 10_000;
/** Lease that schedulers grant, on the slowest clock, and the time of a few unanswered polls, in ms. */
const GRANTED_LEASE_BOUND_MS = 8000;
const CONFIRMED_AFTER_MS = 15_000;
const STEP_MS = 20;

function newCluster(durationMs: number | undefined, servers: number): JobCluster {
  return new JobCluster({
    ...{ random: new SeededRandom(1), servers, maxServerLeaseMs: MAX_SERVER_LEASE_MS },
    behaviour: () => ({ durationMs }),
  });
}

// Guards against a long-running task that waits for the longest lease although its run was confirmed.
for (const crashedAfterMs of [0, 300, 1000, 3000])
  test(`a confirmed run waits for the granted lease if its server is lost ${crashedAfterMs} ms after a takeover`, async () => {
    const cluster = newCluster(undefined, 4);
    const { clock } = cluster;
    const scheduler = await cluster.electScheduler();
    const job = jobRequest(step({ tasks: 1, longRunning: true }));
    await advanceUntilSettled(clock, cluster.submit(scheduler, "job", job));
    await clock.advance(CONFIRMED_AFTER_MS);
    cluster.kill(scheduler);
    await clock.advance(50);
    await cluster.electScheduler();
    await clock.advance(crashedAfterMs);
    const [lost] = [...cluster.servers.values()].filter(({ running }) => running.length > 0);
    cluster.crash(lost!.id);
    const lostAt = clock.now();
    await clock.until(() =>
      [...cluster.servers.values()].some(({ running }) => running.length > 0),
    );
    const waitedMs = clock.now() - lostAt;
    assert.ok(waitedMs <= GRANTED_LEASE_BOUND_MS, `restarted after ${waitedMs} ms`);
  });

// Guards against a long-running task that waits for the longest lease (LOST) because no scheduler lasted
// long enough to confirm its run.
test("a run waits for the granted lease although schedulers follow each other every few seconds", async () => {
  const tenureMs = 7000;
  const cluster = newCluster(undefined, 4);
  const { clock } = cluster;
  cluster.addEntry();
  await cluster.electScheduler();
  await clock.advance(CONFIRMED_AFTER_MS);
  const nextTenure = async (): Promise<void> => {
    cluster.kill(cluster.scheduler!);
    await clock.advance(50);
    await cluster.electScheduler();
  };
  await nextTenure();
  const job = jobRequest(step({ tasks: 1, longRunning: true }));
  await advanceUntilSettled(clock, cluster.submit(cluster.scheduler!, "job", job));
  await clock.advance(tenureMs);
  await nextTenure();
  await clock.advance(tenureMs);
  const [lost] = [...cluster.servers.values()].filter(({ running }) => running.length > 0);
  cluster.kill(cluster.scheduler!);
  cluster.crash(lost!.id);
  const lostAt = clock.now();
  await clock.until(() => [...cluster.servers.values()].some(({ running }) => running.length > 0));
  const waitedMs = clock.now() - lostAt;
  assert.ok(waitedMs <= GRANTED_LEASE_BOUND_MS, `restarted after ${waitedMs} ms`);
});

/** Time in ms until some server runs a task. */
async function timeUntilRunning({ clock, servers }: JobCluster): Promise<number> {
  const since = clock.now();
  await clock.until(() => [...servers.values()].some(({ running }) => running.length > 0));
  return clock.now() - since;
}

// Guards against a long-running task that waits for the longest lease (LOST), counted anew from the second
// takeover, because its server had joined within seconds of the first one.
for (const { registered, restarted } of [
  { registered: false, restarted: false },
  { registered: true, restarted: false },
  { registered: false, restarted: true },
])
  test(`a run on a server that joined after a takeover waits for the granted lease at the next one, if its server is lost and ${registered ? "still" : "no longer"} registered${restarted ? " and all entry instances were restarted" : ""}`, async () => {
    const cluster = newCluster(undefined, 0);
    const { clock } = cluster;
    const first = await cluster.electScheduler();
    await clock.advance(CONFIRMED_AFTER_MS);
    cluster.kill(first);
    await clock.advance(3000);
    const servers = ["s0", "s1"].map((id) => cluster.addServer(id));
    await clock.advance(1000);
    const second = await cluster.electScheduler();
    const job = jobRequest(step({ tasks: 1, longRunning: true }));
    await advanceUntilSettled(clock, cluster.submit(second, "job", job));
    await clock.advance(4000);
    const lost = servers.find(({ running }) => running.length > 0)!;
    if (registered) lost.crash();
    else cluster.crash(lost.id);
    // A restarted process has not seen the former tenures.
    if (restarted) for (const entry of cluster.liveEntries) cluster.kill(entry);
    else cluster.kill(second);
    if (restarted) cluster.addEntry();
    const waitedMs = await timeUntilRunning(cluster);
    assert.ok(waitedMs <= GRANTED_LEASE_BOUND_MS, `restarted after ${waitedMs} ms`);
  });

/**
 * A cluster whose server s0 rebooted while an order of the first scheduler was under way, which the later
 * boot has carried out. The second scheduler has started a task on that boot.
 */
async function clusterWithStrayOrder() {
  const orderDelayMs = 4000;
  const cluster = newCluster(20_000, 5);
  const { clock } = cluster;
  const rebooted = cluster.servers.get("s0")!;
  const advance = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      await clock.advance(STEP_MS);
      cluster.updateServers();
    }
  };
  const submit = async (id: string, tasks: number): Promise<void> => {
    const request = jobRequest(step({ tasks, maxPerServer: 1, estimateMs: 20_000 }));
    await advanceUntilSettled(clock, cluster.submit(cluster.liveEntries[0]!, id, request));
  };
  const scheduler = await cluster.electScheduler();
  await clock.advance(12_000);
  await submit("first", 4);
  await advance(1000);
  Object.assign(rebooted.faults, { lateStarts: 1, lateStartDelayMs: orderDelayMs });
  await submit("second", 5);
  await advance(60);
  const sentAt = clock.now();
  cluster.rebootUnnoticed("s0");
  rebooted.faults.unresponsive = true;
  cluster.kill(scheduler);
  await cluster.electScheduler();
  await advance(sentAt + orderDelayMs - clock.now());
  rebooted.faults.unresponsive = false;
  await advance(500);
  cluster.announce("s0");
  await advance(200);
  await submit("third", 4);
  await advance(200);
  assert.ok(rebooted.running.length > 0, "the new boot runs a task");
  cluster.addServer("s5");
  return { cluster, rebooted, advance };
}

// Guards against a bound that counts from the takeover (TWICE): a start of the former scheduler arrives
// later, at a boot that the new scheduler meets only after it has read the registration of the one before.
test("an order of the former scheduler is allowed for until a list of any boot was read", async () => {
  const { cluster, rebooted, advance } = await clusterWithStrayOrder();
  rebooted.faults.unresponsive = true;
  await advance(16_000);
  assert.equal(repeatedStarts(cluster.servers.values()), []);
});

// Guards against a task that is started elsewhere while the longest lease, given by an order of the first
// scheduler, has not lapsed (TWICE): the third one trusts what the second one has granted.
for (const confirmedForMs of [0, 500, 1500])
  test(`an order of a scheduler before the former one is allowed for ${confirmedForMs} ms after a run was listed`, async () => {
    const { cluster, rebooted, advance } = await clusterWithStrayOrder();
    cluster.addEntry();
    await advance(confirmedForMs);
    rebooted.faults.unresponsive = true;
    cluster.kill(cluster.scheduler!);
    await cluster.electScheduler();
    await advance(16_000);
    assert.equal(repeatedStarts(cluster.servers.values()), []);
  });

test.run();
