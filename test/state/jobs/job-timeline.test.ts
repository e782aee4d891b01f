import { test } from "uvu";
import * as assert from "uvu/assert";
import { parseLogLine, jobTimeline } from "../../../src/state/jobs/records/job-timeline.ts";

function line(time: number, msg: string, fields: object): string {
  return JSON.stringify({ level: 30, time, instance: "e1", msg, ...fields });
}

const LOG = [
  line(30, "run ended", { task: "abc.0.0.1", end: "failed" }),
  line(10, "job submitted", { job: "abc" }),
  line(20, "scheduler lock lost", { token: 4 }),
  line(5, "scheduler lock acquired", { token: 4 }),
  line(25, "job submitted", { job: "other" }),
  "12.5 e2 " + line(12, "call refused", { path: "/queue/abc", status: 503 }),
  "no json",
];

test("a timeline has a job's lines of all processes in time order and scheduling events meanwhile", () => {
  const lines = LOG.flatMap((text) => parseLogLine(text) ?? []);
  assert.equal(
    jobTimeline(lines, "abc").map(({ msg }) => msg),
    ["job submitted", "call refused", "scheduler lock lost", "run ended"],
  );
});

test("a job that no line mentions has an empty timeline", () => {
  assert.equal(jobTimeline([], "abc"), []);
});

test.run();
