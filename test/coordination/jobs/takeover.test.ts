import { test } from "uvu";
import * as assert from "uvu/assert";
import { JobWorld } from "../../fuzz/jobs/job-world.ts";

function createJobWorld(seed: number): JobWorld {
  return new JobWorld(seed);
}

test("no task runs twice and no job is lost when two schedulers are killed and one freezes", async () => {
  const subject = createJobWorld(11);
  await subject.cluster.electScheduler();
  for (let number = 0; number < 8; number++) subject.submit(number, number, number);
  await subject.advance(300);
  subject.killScheduler();
  await subject.advance(4000);
  subject.submit(8, 0, 0);
  subject.injectSchedulerFault("freeze", 6000);
  await subject.advance(5000);
  subject.killScheduler();
  assert.equal(await subject.finish(), []);
  assert.ok(subject.oracle.jobs.filter(({ accepted }) => accepted).length >= 8);
});

test("every accepted job finishes after all processes were killed at the same time", async () => {
  const subject = createJobWorld(12);
  await subject.cluster.electScheduler();
  for (let number = 0; number < 6; number++) subject.submit(number, number, number);
  await subject.advance(150);
  subject.killAll();
  assert.equal(await subject.finish(), []);
});

test("the new scheduler stops a cancelled job that was still running at the takeover", async () => {
  const subject = createJobWorld(13);
  await subject.cluster.electScheduler();
  subject.submit(3, 3, 0);
  await subject.advance(1500);
  subject.killScheduler();
  subject.cancel(3, 0);
  assert.equal(await subject.finish(), []);
});

test("runs of jobs that are not loaded yet are not stopped as unknown at a takeover", async () => {
  const subject = createJobWorld(14);
  const { cluster } = subject;
  await cluster.electScheduler();
  for (let number = 0; number < 4; number++) subject.submit(number, 3, 0);
  await subject.advance(2000);
  const before = countStarts(subject);
  subject.killScheduler();
  await subject.advance(6000);
  assert.equal(countStarts(subject), before, "no run was stopped and restarted");
});

test("a new scheduler waits for a lease granted by its predecessor when the server stops responding", async () => {
  const subject = createJobWorld(15);
  const { cluster } = subject;
  await cluster.electScheduler();
  subject.submit(3, 3, 0);
  await subject.advance(2000);
  subject.killScheduler();
  await cluster.clock.until(() => cluster.scheduler !== undefined);
  await subject.advance(60);
  for (const server of cluster.servers.values()) server.faults.unresponsive = true;
  await subject.advance(3000);
  for (const server of cluster.servers.values()) server.faults.unresponsive = false;
  await subject.advance(3000);
  assert.equal(subject.oracle.violations(), []);
});

function countStarts({ cluster }: JobWorld): number {
  return [...cluster.servers.values()].reduce((sum, { history }) => sum + history.length, 0);
}

test.run();
