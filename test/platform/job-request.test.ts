import { test } from "uvu";
import * as assert from "uvu/assert";
import { parseJob } from "../../platform/job-request.ts";

function parse(job: unknown) {
  return parseJob(Buffer.from(JSON.stringify(job)));
}

test("a job as clients send it is read", () => {
  const job = parse({
    spec: "x",
    steps: [
      { count: 4, cpu: 500 },
      { count: 2, after: [0] },
    ],
  });
  assert.equal(
    job?.steps.map(({ tasks }) => tasks),
    [4, 2],
  );
});

for (const [what, job] of Object.entries({
  "more tasks than a scheduler can keep": { spec: "", steps: [{ count: 1e9 }] },
  "occurrences without end": { spec: "", steps: [{ count: 1 }], repeatCount: 1e9 },
  "a demand below zero, which would raise what is free": { spec: "", steps: [{ cpu: -5 }] },
  "a predecessor that is no position": { spec: "", steps: [{}, { after: [0.5] }] },
  "steps that are none": { spec: "", steps: [null] },
}))
  test(`${what}: refused, so that it ends no process`, () => {
    assert.is(parse(job), undefined);
  });

test.run();
