import { test } from "uvu";
import * as assert from "uvu/assert";
import type {
  ObservedRun,
  SimulatedJobServer,
} from "../../../src/stand-ins/simulated-job-server.ts";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { runJobCampaign } from "./job-campaign.ts";
import { JobOracle } from "./job-oracle.ts";

const RUNS = 12;

/** Seeds of campaigns that have failed before, with the cause. */
const REGRESSIONS: readonly (readonly [number, string])[] = [
  [5, "an unresponsive server without runs was never polled again"],
];

test("random histories of jobs and faults keep every guarantee", async () => {
  assert.is(await runJobCampaign(1, RUNS), undefined);
});

test("a scheduler that ignores evacuations is reported", async () => {
  const failure = await runJobCampaign(1, RUNS, { mutant: "ignores-evacuations" });
  assert.match(failure?.violations.join() ?? "", "in the evacuated zone");
});

// Guards against runs that are given up while a boot holds a lease that was meant for the one before.
test("random histories of servers that reboot and are cut off keep every guarantee", async () => {
  assert.is(await runJobCampaign(3, RUNS, { reboots: true }), undefined);
});

for (const [seed, cause] of REGRESSIONS) {
  test(`seed ${seed} keeps every guarantee; it failed before because ${cause}`, async () => {
    assert.is(await runJobCampaign(seed, RUNS), undefined);
  });
}

function observedRun(
  task: string,
  startedAt: number,
  changes: Partial<ObservedRun> = {},
): ObservedRun {
  return {
    ...{ task, run: 1, server: "s", startedAt, endedAt: startedAt + 100, end: "done" },
    acknowledged: true,
    ...changes,
  };
}

function oracleOf(...history: ObservedRun[]): JobOracle {
  const server = { history, id: "s", capacity: { cpuMillis: 1500, memoryMb: 0, accelerators: 0 } };
  const servers = new Map([["s", server as unknown as SimulatedJobServer]]);
  const subject = new JobOracle(servers);
  const request = jobRequest(step({ tasks: 2 }), step({ after: [0] }));
  subject.submitted("j", request).accepted = true;
  return subject;
}

test("the oracle reports repeated, overlapping, premature and unknown runs and overload", () => {
  const cases: readonly (readonly [string, JobOracle])[] = [
    [
      "ran twice at once",
      oracleOf(observedRun("j.0.0.0", 0), observedRun("j.0.0.0", 50, { run: 2 })),
    ],
    [
      "after it was done",
      oracleOf(observedRun("j.0.0.0", 0), observedRun("j.0.0.0", 200, { run: 2 })),
    ],
    ["overloaded", oracleOf(observedRun("j.0.0.0", 0), observedRun("j.0.0.1", 50))],
    ["before j.0.0.1 was done", oracleOf(observedRun("j.0.0.0", 0), observedRun("j.0.1.0", 200))],
    ["never submitted", oracleOf(observedRun("x.0.0.0", 0))],
    [
      "after three runs had failed",
      oracleOf(...[0, 200, 400, 600].map((at) => observedRun("j.0.0.0", at, { end: "failed" }))),
    ],
  ];
  for (const [text, subject] of cases) assert.match(subject.violations().join(), text);
});

test("a history that keeps every guarantee has no violation", () => {
  const history = [
    observedRun("j.0.0.0", 0),
    observedRun("j.0.0.1", 200),
    observedRun("j.0.1.0", 400),
  ];
  assert.equal(oracleOf(...history).violations(), []);
});

test.run();
