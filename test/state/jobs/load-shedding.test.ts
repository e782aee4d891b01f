import { test } from "uvu";
import * as assert from "uvu/assert";
import type { JobSpec } from "../../../src/protocol/job-spec.ts";
import type { QueueLoad } from "../../../src/protocol/queue-loads.ts";
import {
  decideAdmission,
  type Overload,
} from "../../../src/state/jobs/admission/admission-decision.ts";
import { fullSize } from "../../../src/state/jobs/admission/full-size.ts";
import { outstandingWork } from "../../../src/state/jobs/admission/outstanding-work.ts";
import { measureQueueLoad, objectives } from "../../../src/state/jobs/admission/queue-load.ts";
import { RejectionHysteresis } from "../../../src/state/jobs/admission/rejection-hysteresis.ts";
import { retryAfterS } from "../../../src/state/jobs/admission/retry-after.ts";
import { Job } from "../../../src/state/jobs/records/job.ts";
import { DurationModels } from "../../../src/state/jobs/scheduling/duration-model.ts";
import { cpu, jobRequest, queueConfig, step } from "../../fakes/jobs/job-builders.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";

const NOW = 1_000_000;
const QUEUE = queueConfig({ stretch: 1.5, targetLatencyMs: 400 });
const LIMIT_MS = objectives(QUEUE, 400).limitMs;

function job(id: string, changes: Partial<JobSpec> = {}): Job {
  const spec = { ...jobRequest(step()), id, queue: "queue", pool: "pool", acceptedAtMs: NOW };
  return new Job({ ...spec, organisation: undefined, ...changes });
}

/** Duration models of a queue whose tasks take as long as declared. */
function trained(ratio = 1): DurationModels {
  const durations = new DurationModels();
  for (let n = 0; n < 100; n++) durations.forQueue("queue").observe(400, 400 * ratio);
  return durations;
}

function measure(jobs: readonly Job[], cores: number, durations = trained(), weights = {}) {
  const work = jobs.map((item) => outstandingWork(item, QUEUE, NOW, durations)!);
  const fleet = {
    members: [{ pool: "pool", capacity: cpu(cores * 1000) }],
    ...{ instancesMove: false, workByPool: new Map([["pool", work]]) },
  };
  const weight = (name: string): number => (weights as Record<string, number>)[name] ?? 1;
  return measureQueueLoad({ queue: QUEUE, fleet, durations, weight, wallTimeMs: NOW })!;
}

function jobs(count: number, changes: Partial<JobSpec> = {}): readonly Job[] {
  return Array.from({ length: count }, (_, n) => job(`${changes.organisation ?? ""}${n}`, changes));
}

function decide(load: QueueLoad, organisation?: string, req = jobRequest(step())) {
  return decideAdmission({ req, queue: QUEUE, organisation }, load, 0);
}

// Guards against rejections by declared durations that are ten times the real ones.
test("durations that were never observed count a tenth, so a declaration alone rejects no job", () => {
  const backlog = jobs(Math.ceil((LIMIT_MS / 400) * 4 * 1.3));
  assert.ok(measure(backlog, 4).endMs > LIMIT_MS);
  assert.ok(measure(backlog, 4, new DurationModels()).endMs < 0.7 * LIMIT_MS);
});

// Guards against a late backlog that keeps out jobs which would be placed before it.
test("late work delays a job that arrives now only if the job will be late itself", () => {
  const late = jobs(200, { acceptedAtMs: NOW - 60_000 });
  assert.ok(measure(late, 4).endMs < LIMIT_MS);
  assert.ok(measure([...late, ...jobs(12)], 4).endMs > LIMIT_MS);
});

// Guards against rejections while idle instances of other pools are about to join the pool.
test("the full size of a pool includes instances that other pools do not need", () => {
  const members = ["a", "a", "b"].map((pool) => ({ pool, capacity: cpu(4000) }));
  const other = outstandingWork(job("x"), QUEUE, NOW, trained())!;
  const workByPool = new Map([["b", [{ ...other, work: cpu(2000 * 1000), held: cpu(500) }]]]);
  const size = (instancesMove: boolean) =>
    fullSize("a", { members, instancesMove, workByPool }, 1000).cpuMillis;
  assert.is(size(false), 8000);
  assert.is(size(true), 12_000 - 2500);
});

// Guards against a queue at its limit that changes between accepting and rejecting.
test("rejecting begins above the limit and ends below four fifths of it", () => {
  const hysteresis = new RejectionHysteresis();
  const load = measure(jobs(1), 4);
  const rejecting = (part: number) =>
    hysteresis.update([{ ...load, endMs: part * LIMIT_MS, limitMs: LIMIT_MS }])?.[0]?.rejecting;
  const parts = [0.9, 1.01, 0.95, 0.81, 0.79, 0.95, 1.01];
  assert.equal(parts.map(rejecting), [false, true, true, true, false, false, true]);
});

// Guards against messages in calm operation, and against rejections that outlast the overload.
test("a queue below its limit is reported once more after an overload and then never", () => {
  const hysteresis = new RejectionHysteresis();
  const load = { ...measure(jobs(1), 4), limitMs: 100 };
  const reported = [10, 90, 10, 10].map((endMs) => hysteresis.update([{ ...load, endMs }])?.length);
  assert.equal(reported, [undefined, 1, 0, undefined]);
});

// Guards against 429 for an organisation within its share, and for one whose own backlog is short.
test("only an organisation beyond its share whose own work is hopeless is rejected for it", () => {
  const backlog = [
    ...jobs(400, { organisation: "large" }),
    ...jobs(20, { organisation: "small" }),
    ...jobs(200, { organisation: "heavy" }),
  ];
  const load = { ...measure(backlog, 4, trained(), { heavy: 20 }), rejecting: true };
  assert.is(decide(load, "large")?.reason, "share");
  assert.is(decide(load, "heavy")?.reason, "overload");
  assert.is(decide(load, "new"), undefined);
  assert.is(decide(load)?.reason, "overload");
  const alone = { ...measure(jobs(400, { organisation: "large" }), 4), rejecting: true };
  assert.is(decide(alone, "large")?.reason, "overload");
});

// Guards against rejections of jobs whose end nothing is known about, or which must always run.
test("scheduled jobs, long-running jobs and jobs without durations are never rejected", () => {
  const load = { ...measure(jobs(1000), 4), rejecting: true };
  const schedule = { occurrences: 2, firstAtMs: NOW, intervalMs: 1000 };
  assert.ok(decide(load));
  assert.is(decide(load, undefined, { ...jobRequest(step()), schedule }), undefined);
  assert.is(decide(load, undefined, jobRequest(step(), step({ longRunning: true }))), undefined);
  assert.is(decide(load, undefined, jobRequest(step({ estimateMs: 0 }))), undefined);
});

// Guards against a rejection of long jobs, whose callers wait longer, by the limit of short ones.
test("a longer job is accepted with a backlog at which a shorter one is rejected", () => {
  const load = { ...measure(jobs(70), 4), rejecting: true };
  assert.ok(decide(load));
  assert.is(decide(load, undefined, jobRequest(step({ estimateMs: 4000 }))), undefined);
});

// Guards against callers that return together, and against large jobs that return first.
test("Retry-After is spread over seconds and later for jobs that need more work", () => {
  const random = new SeededRandom(1);
  const waits = (relativeWork: number) => {
    const overload: Overload = { reason: "overload", excessMs: 3000, relativeWork };
    return Array.from({ length: 200 }, () => retryAfterS(overload, random));
  };
  const [typical, large] = [waits(1), waits(3)];
  assert.ok(new Set(typical).size >= 3);
  assert.ok([...typical, ...large].every((wait) => Number.isInteger(wait) && wait >= 1));
  assert.ok(Math.min(...large) > Math.max(...typical));
});

test.run();
