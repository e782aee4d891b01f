import { test } from "uvu";
import * as assert from "uvu/assert";
import { parseJob } from "../../platform/job-request.ts";

function parse(job: unknown) {
  return parseJob(Buffer.from(JSON.stringify(job)));
}

// Guards against a parser that refuses every job, which the tests of malformed jobs would not show.
test("a job with several steps is parsed", () => {
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

// Guards against malformed jobs that exhaust the scheduler's memory or end the process with an error.
for (const [what, job] of Object.entries({
  "more tasks than a scheduler can keep": { spec: "", steps: [{ count: 1e9 }] },
  "too many occurrences": { spec: "", steps: [{ count: 1 }], repeatCount: 1e9 },
  "a negative demand, which would increase the free capacity": { spec: "", steps: [{ cpu: -5 }] },
  "a predecessor that is not a step index": { spec: "", steps: [{}, { after: [0.5] }] },
  "a step that is not an object": { spec: "", steps: [null] },
}))
  test(`a job is refused if it has ${what}`, () => {
    assert.is(parse(job), undefined);
  });

test.run();
