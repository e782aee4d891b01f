import { test } from "uvu";
import * as assert from "uvu/assert";
import { hasStronger, electionDelayMs } from "../../../src/state/jobs/election/election-delay.ts";
import { JobCluster } from "../../fakes/jobs/job-cluster.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";

test("an instance yields a free lock only to instances that are much stronger", () => {
  assert.is(electionDelayMs(1, [0.3, 1, 1.2]), 0);
  assert.ok(electionDelayMs(0.3, [0.3, 1.3]) > 0);
  assert.not(hasStronger(1, []));
});

test("a weak scheduler steps down for a strong instance that joins later", async () => {
  const cluster = new JobCluster({ random: new SeededRandom(1) });
  await cluster.electScheduler();
  const strong = cluster.addEntry(4);
  await cluster.clock.advance(7000);
  assert.is(cluster.scheduler, strong);
});

test("a strong instance takes over from a killed scheduler, or a weak one if no strong one is left", async () => {
  const cluster = new JobCluster({ random: new SeededRandom(2), entries: 4 });
  const strong = [cluster.addEntry(4), cluster.addEntry(4)];
  await cluster.clock.advance(8000);
  assert.ok(strong.includes(cluster.scheduler!));
  cluster.kill(cluster.scheduler!);
  await cluster.clock.advance(3000);
  assert.ok(strong.includes(cluster.scheduler!));
  cluster.kill(cluster.scheduler!);
  await cluster.clock.advance(4000);
  assert.ok(cluster.scheduler);
});

test("a scheduler that the store rejects steps down for one that is directly connected", async () => {
  const cluster = new JobCluster({ random: new SeededRandom(3) });
  const first = await cluster.electScheduler();
  first.faults.storeConnectivity = { disconnectedMs: 300, unresponsiveMs: 0 };
  await cluster.clock.advance(500);
  assert.is(cluster.scheduler, first, "a short loss of connectivity has no effect");
  first.faults.storeConnectivity = { disconnectedMs: 5000, unresponsiveMs: 0 };
  await cluster.clock.advance(1000);
  assert.ok(cluster.scheduler);
  assert.is.not(cluster.scheduler, first);
});

test("a scheduler keeps its lock while the store responds to no instance", async () => {
  const cluster = new JobCluster({ random: new SeededRandom(3) });
  const first = await cluster.electScheduler();
  for (const { faults } of cluster.liveEntries)
    faults.storeConnectivity = { disconnectedMs: 5000, unresponsiveMs: 5000 };
  await cluster.clock.advance(3000);
  assert.is(cluster.scheduler, first);
});

// Guards against schedulers without a direct connection that step down for each other in turn.
test("an instance schedules even if none is directly connected to the store", async () => {
  const cluster = new JobCluster({ random: new SeededRandom(4) });
  await cluster.electScheduler();
  for (const { faults } of cluster.liveEntries)
    faults.storeConnectivity = { disconnectedMs: 5000, unresponsiveMs: 0 };
  await cluster.clock.advance(3000);
  let scheduled = 0;
  for (let round = 0; round < 20; round++) {
    await cluster.clock.advance(300);
    if (cluster.scheduler !== undefined) scheduled++;
  }
  assert.ok(scheduled >= 5, `${scheduled} of 20 times`);
});

test.run();
