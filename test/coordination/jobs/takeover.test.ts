import { test } from "uvu";
import * as assert from "uvu/assert";
import { JobWorld } from "../../fuzz/jobs/job-world.ts";

function world(seed: number): JobWorld {
  return new JobWorld(seed);
}

test("two killed schedulers and a frozen one neither double a task nor lose a job", async () => {
  const subject = world(11);
  await subject.cluster.elect();
  for (let number = 0; number < 8; number++) subject.submit(number, number, number);
  await subject.advance(300);
  subject.killScheduler();
  await subject.advance(4000);
  subject.submit(8, 0, 0);
  subject.disturbScheduler("freeze", 6000);
  await subject.advance(5000);
  subject.killScheduler();
  assert.equal(await subject.finish(), []);
  assert.ok(subject.oracle.jobs.filter(({ accepted }) => accepted).length >= 8);
});

test("all processes are killed at once and every accepted job is finished", async () => {
  const subject = world(12);
  await subject.cluster.elect();
  for (let number = 0; number < 6; number++) subject.submit(number, number, number);
  await subject.advance(150);
  subject.killAll();
  assert.equal(await subject.finish(), []);
});

test("a cancelled job that still ran at a takeover is stopped by the new scheduler", async () => {
  const subject = world(13);
  await subject.cluster.elect();
  subject.submit(3, 3, 0);
  await subject.advance(1500);
  subject.killScheduler();
  subject.cancel(3, 0);
  assert.equal(await subject.finish(), []);
});

test("jobs that are not read yet are not taken for unknown runs at a takeover", async () => {
  const subject = world(14);
  const { cluster } = subject;
  await cluster.elect();
  for (let number = 0; number < 4; number++) subject.submit(number, 3, 0);
  await subject.advance(2000);
  const before = startsOf(subject);
  subject.killScheduler();
  await subject.advance(6000);
  assert.equal(startsOf(subject), before, "nothing was stopped and started again");
});

test("a lease that the former scheduler gave is waited for when its server falls silent", async () => {
  const subject = world(15);
  const { cluster } = subject;
  await cluster.elect();
  subject.submit(3, 3, 0);
  await subject.advance(2000);
  subject.killScheduler();
  await cluster.clock.until(() => cluster.scheduler !== undefined);
  await subject.advance(60);
  for (const server of cluster.servers.values()) server.faults.silent = true;
  await subject.advance(3000);
  for (const server of cluster.servers.values()) server.faults.silent = false;
  await subject.advance(3000);
  assert.equal(subject.oracle.violations(), []);
});

function startsOf({ cluster }: JobWorld): number {
  return [...cluster.servers.values()].reduce((sum, { history }) => sum + history.length, 0);
}

test.run();
