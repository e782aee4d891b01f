import { encode } from "cbor-x";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { decodeJob, jobKey } from "../../../src/protocol/job-records.ts";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { JobCluster } from "../../fakes/jobs/job-cluster.ts";
import { jobSpec } from "../../fakes/jobs/run-builders.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { advanceUntilSettled } from "../../fakes/virtual-clock.ts";

/** Values under a job key that decode to something other than a valid job. */
const MALFORMED: readonly unknown[] = [
  { id: "x", steps: [null] },
  { ...jobSpec(jobRequest(step({ tasks: 2 ** 31 }))), id: "x" },
  { ...jobSpec(jobRequest(step())), id: "x", steps: [{ ...step(), demand: null }] },
  { ...jobSpec(jobRequest(step())), id: "x", schedule: { occurrences: "many" } },
  "text",
];

async function electedCluster(): Promise<JobCluster> {
  const started = new JobCluster({ random: new SeededRandom(1) });
  await started.electScheduler();
  return started;
}

async function write(target: JobCluster, key: string, value: Uint8Array): Promise<void> {
  const client = target.store.client();
  await advanceUntilSettled(
    target.clock,
    client.commit({ conditions: [], puts: [{ key, value }] }),
  );
}

// Guards against one invalid record that stops scheduling again after every takeover.
test("a malformed job record stops neither the scheduler nor its successor", async () => {
  const target = await electedCluster();
  for (const [index, value] of MALFORMED.entries())
    await write(target, jobKey(`bad${index}`), encode(value));
  await target.clock.advance(500);
  const first = target.scheduler!;
  await advanceUntilSettled(target.clock, target.submit(first, "good", jobRequest(step())));
  await target.clock.advance(1500);
  assert.is(await target.state("good"), "completed");
  target.kill(first);
  await target.clock.advance(4000);
  const next = target.scheduler!;
  await advanceUntilSettled(target.clock, target.submit(next, "later", jobRequest(step())));
  await target.clock.advance(1500);
  assert.is(await target.state("later"), "completed", "the successor reads the same records");
});

test("a notification with a malformed record does not stop the scheduler", async () => {
  const target = await electedCluster();
  const { entry } = target.scheduler!;
  const value = encode({ id: "x", steps: [undefined] });
  entry.recordsStored([{ key: jobKey("x"), value, revision: 99 }]);
  await advanceUntilSettled(
    target.clock,
    target.submit(target.scheduler!, "good", jobRequest(step())),
  );
  await target.clock.advance(1500);
  assert.is(await target.state("good"), "completed");
});

test("values that are not valid jobs are not decoded", () => {
  for (const value of MALFORMED) assert.is(decodeJob(encode(value)), undefined);
  const job = jobSpec(jobRequest(step({ tasks: 3 })));
  assert.equal(decodeJob(encode(job))?.steps, job.steps);
});

test.run();
