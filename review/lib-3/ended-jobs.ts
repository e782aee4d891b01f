/** Records of ended jobs, in the project's own encoding, as the system itself leaves them in the store. */
import { parseJob } from "../../platform/job-request.ts";
import { encodeJob, encodeProgress, jobKey, progressKey } from "../../src/protocol/job-records.ts";

/** Steps of a job of usual size: one or two steps, 10.5 tasks on average (the pages say 9.6 and 16). */
function usualSteps(number: number): readonly object[] {
  const first = { count: 6, cpu: 3500, memMb: 13_000, estimateMs: 1000 };
  return number % 2 === 0 ? [first] : [first, { ...first, count: 9, after: [0] }];
}

/** Bytes of the `spec` of a job, about the mean of the site file. */
const SPEC = "x".repeat(300);

/** A record of the store before it is written. */
export type LeftRecord = readonly [string, Uint8Array];

/** Records of one completed job. `endedAtMs` is a Unix time. */
function endedJob(number: number, endedAtMs: number): readonly LeftRecord[] {
  const body = JSON.stringify({ spec: SPEC, steps: usualSteps(number) });
  const request = parseJob(Buffer.from(body));
  if (request === undefined) throw new Error("the job is malformed");
  const id = (0x1000_0000 + number).toString(16).padStart(16, "0");
  const tasks = request.steps.flatMap(({ tasks: count }, step) =>
    Array.from({ length: count }, (_, index) => ({
      ...{ occurrence: 0, step, index, run: 1, done: true, failures: 0, checkpoint: "" },
      ...{ placement: undefined, givenUpRuns: [] },
    })),
  );
  const spec = {
    ...{ ...request, id, queue: "kami", pool: "almacen", organisation: "tenant-1" },
    acceptedAtMs: endedAtMs - 2000,
  };
  return [
    [jobKey(id), Uint8Array.from(encodeJob(spec))],
    [progressKey(id), encodeProgress({ state: "completed", endedAtMs, tasks }).slice()],
  ];
}

/** Records of the jobs that have ended at a rate (a second) in the given span of seconds before now. */
export function endedJobs(span: {
  readonly rate: number;
  readonly fromS: number;
  readonly toS: number;
}): readonly LeftRecord[] {
  const { rate, fromS, toS } = span;
  const now = Date.now();
  return Array.from({ length: Math.floor((fromS - toS) * rate) }, (_, index) =>
    endedJob(Math.floor(toS * 1000) + index, now - (toS + index / rate) * 1000),
  ).flat();
}
