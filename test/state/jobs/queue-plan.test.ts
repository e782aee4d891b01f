import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  compareByDeadline,
  isShort,
  PlannedJob,
  PlanOrganisations,
  planJobs,
} from "../../../src/state/jobs/scheduling/queue-plan.ts";
import { divideCores, RecentUsage } from "../../../src/state/jobs/scheduling/fair-share.ts";
import { RetryBudgets, retryPauseMs } from "../../../src/state/jobs/scheduling/retry-policy.ts";
import { WaitReasons } from "../../../src/state/jobs/scheduling/wait-reasons.ts";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { stepRun } from "../../fakes/jobs/run-builders.ts";

class EqualOrganisations extends PlanOrganisations {
  readonly #recent: ReadonlyMap<string, number>;

  constructor(recent: Readonly<Record<string, number>> = {}) {
    super();
    this.#recent = new Map(Object.entries(recent));
  }

  weight(): number {
    return 1;
  }

  recentCores(organisation: string): number {
    return this.#recent.get(organisation) ?? 0;
  }
}

/** A job of one task of one core for a second that has to end within 2 s. */
function planned(changes: Partial<Omit<PlannedJob, "work">> = {}): PlannedJob {
  return Object.assign(new PlannedJob(), {
    ...{ organisation: "a", readyWork: 1000, taskWork: 1000, readyCores: 1, remainingMs: 1000 },
    ...{ latestStartMs: 1000, giveUpAtMs: 6000 },
    ...changes,
  });
}

const FULL = { cores: 1, freeCores: 0, wallTimeMs: 0 };

function plan(jobs: PlannedJob[], capacity = FULL, organisations = new EqualOrganisations()) {
  jobs.sort(compareByDeadline);
  planJobs(jobs, capacity, organisations);
}

test("jobs that fit one by one but not together are short of capacity", () => {
  assert.is(isShort([planned(), planned()], { ...FULL, cores: 10 }), false);
  assert.is(isShort([planned(), planned(), planned()], FULL), true);
  assert.is(isShort([planned(), planned(), planned()], { ...FULL, freeCores: 3 }), false);
});

test("the job of least value for its work becomes late instead of all jobs just late", () => {
  const cheap = planned({ latestStartMs: 400, readyWork: 3000, value: 0.5 });
  const others = [600, 700].map((latestStartMs) =>
    planned({ latestStartMs, readyWork: 300, taskWork: 300 }),
  );
  plan([cheap, ...others]);
  assert.is(cheap.planClass, "late");
  assert.equal(
    others.map(({ planClass }) => planClass),
    ["on-time", "on-time"],
  );
});

test("work of later steps counts against the jobs behind it", () => {
  const classOfSecond = (first: Parameters<typeof planned>[0]) => {
    const second = planned({ latestStartMs: 1500 });
    plan([planned({ latestStartMs: 900, ...first }), second]);
    return second.planClass;
  };
  assert.is(classOfSecond({}), "on-time");
  assert.is.not(classOfSecond({ laterWork: 5000, value: 4 }), "on-time");
  // A job that is worth less than the second one gives way instead.
  assert.is(classOfSecond({ laterWork: 5000, value: 0.5 }), "on-time");
});

test("a job whose tasks run is not demoted for one of higher value", () => {
  const started = planned({ latestStartMs: 500, started: true, planClass: "on-time" });
  plan([started, planned({ latestStartMs: 600, value: 4 })]);
  assert.is(started.planClass, "on-time");
});

test("a job keeps its class against one that is only slightly more valuable", () => {
  const former = planned({ latestStartMs: 500, planClass: "on-time" });
  const rival = planned({ latestStartMs: 600, value: 1.2 });
  plan([former, rival]);
  assert.equal([former.planClass, rival.planClass], ["on-time", "late"]);
});

test("a job that can't end before its caller gives up is hopeless", () => {
  const job = planned({ canBeOnTime: false, giveUpAtMs: 900 });
  plan([job, planned(), planned()]);
  assert.is(job.planClass, "hopeless");
});

test("what an organisation has waiting beyond its share does not delay another one", () => {
  const flood = Array.from({ length: 20 }, () => planned({ latestStartMs: 500, value: 4 }));
  const other = planned({ organisation: "b", latestStartMs: 1200 });
  plan(
    [...flood, other],
    { cores: 4, freeCores: 0, wallTimeMs: 0 },
    new EqualOrganisations({ a: 4 }),
  );
  assert.is(other.planClass, "on-time");
  assert.is(other.withinShare, true);
  assert.is(
    flood.some(({ withinShare }) => withinShare),
    false,
  );
});

test("cores are divided by weight, and what a share leaves goes to the others", () => {
  const claims = [
    { weight: 1, demand: 100 },
    { weight: 2, demand: 100 },
    { weight: 1, demand: 4 },
  ];
  assert.equal(divideCores(claims, 40), [12, 24, 4]);
});

test("recent use fades within seconds and includes tasks that have ended", () => {
  const usage = new RecentUsage();
  usage.update(new Map([["a", 10]]), 0);
  usage.update(new Map(), 500);
  assert.ok(usage.of("a") > 5);
  usage.update(new Map(), 20_000);
  assert.is(usage.of("a"), 0);
});

test("pauses of retries double from 100 ms up to 2 s", () => {
  assert.equal([1, 2, 3, 5, 6, 60].map(retryPauseMs), [100, 200, 400, 1600, 2000, 2000]);
});

test("at most a fifth of a queue's starts are retries while first attempts wait", () => {
  const budgets = new RetryBudgets();
  let retries = 0;
  for (let start = 0; start < 1000; start++) {
    if (budgets.mayRetry("q")) {
      budgets.retryStarted("q");
      retries++;
    } else budgets.firstAttemptStarted("q");
  }
  assert.ok(retries > 190 && retries <= 210, String(retries));
});

test("a reason of waiting is counted once for each step until it changes", () => {
  const counted: string[] = [];
  const reasons = new WaitReasons((reason) => counted.push(reason));
  const waiting = stepRun(jobRequest(step()));
  for (const reason of ["no-room", "no-room", "share"] as const) reasons.waits(waiting, reason);
  assert.equal(counted, ["no-room", "share"]);
  reasons.placed(waiting);
  assert.is(reasons.reason(waiting), undefined);
});

test.run();
