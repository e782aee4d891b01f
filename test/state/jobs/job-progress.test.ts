import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { decodeProgress, encodeProgress } from "../../../src/protocol/job-records.ts";
import { Job, type StepRun } from "../../../src/state/jobs/records/job.ts";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";

/** One change of a task: its number, what changes and a value. */
const changes = fc.array(fc.tuple(fc.nat({ max: 299 }), fc.nat({ max: 5 }), fc.nat({ max: 2 })), {
  maxLength: 40,
});

function newJob(wide: boolean): Job {
  const tasks = wide ? 280 : 4;
  const steps = [step({ tasks }), step({ tasks: 3, after: [0] }), step({ tasks: 2 })];
  return new Job({
    ...jobRequest(...steps),
    ...{ id: "j", queue: "queue", pool: "pool", organisation: undefined, acceptedAtMs: 5 },
  });
}

function apply(job: Job, [number, kind, value]: readonly [number, number, number]): void {
  const tasks = [...job.tasks()];
  const task = tasks[number % tasks.length];
  if (task === undefined) return;
  if (kind === 0) task.run = value;
  if (kind === 1) task.done = value > 0;
  if (kind === 2) task.failures = value;
  if (kind === 3) task.checkpoint = "c".repeat(value);
  if (kind === 4) {
    const leaseDoubt = value % 3 === 0 ? { token: value, endsMs: 10 * value } : undefined;
    const lease = { leaseAsGranted: value % 2 === 0, leaseDoubt };
    const placement = { server: `s${value}`, bootedAt: 1e12, ...lease };
    task.placement = value > 0 ? placement : undefined;
  }
  if (kind === 5 && !task.givenUpRuns.delete(value)) task.givenUpRuns.add(value);
}

/** Ready steps of the only occurrence, derived from all tasks. */
function plainReadySteps({ occurrences }: Job): readonly StepRun[] {
  const steps = occurrences[0]?.steps ?? [];
  const isDone = (run: StepRun | undefined) => run?.tasks.every(({ done }) => done) === true;
  return steps.filter(
    (run) =>
      run.spec.after.every((position) => isDone(steps[position])) &&
      run.tasks.some(({ done, placement }) => !done && placement === undefined),
  );
}

test("kept rows, counts and ready steps agree with those derived from all tasks", () => {
  const property = fc.property(fc.boolean(), changes, (wide, list) => {
    const job = newJob(wide);
    for (const change of list) {
      apply(job, change);
      assert.equal(
        decodeProgress(job.encodeProgress()),
        decodeProgress(encodeProgress(job.toRecord())),
      );
      assert.ok(job.readySteps().every((run, index) => run === plainReadySteps(job)[index]));
      assert.is(job.readySteps().length, plainReadySteps(job).length);
      assert.is(
        job.neverStarted,
        [...job.tasks()].every(({ run }) => run === 0),
      );
    }
  });
  fc.assert(property, { seed: 1, numRuns: 200 });
});

test("progress of more than 255 started tasks is read back", () => {
  const job = newJob(true);
  for (const task of job.tasks()) task.run = 1;
  assert.equal(decodeProgress(job.encodeProgress()), job.toRecord());
});

test.run();
