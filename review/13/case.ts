/** A queue is removed and comes back while a task of it fails for the first time. */
import { runCase, trouble, type Verdict } from "../lib-3/case.ts";
import { sleep, type CaseRecord } from "../lib-3/record.ts";
import { configuration, Site } from "../lib-3/site.ts";

const JOB = "5c0e7a21d94b36f8";
const FIRST_RUN_MS = 2000;
const SECOND_RUN_MS = 1000;
const MAX_ATTEMPTS = 3;

/** State in the body of an answer. */
function stateOf(reply: { readonly body: unknown } | undefined): string {
  return String((reply?.body as { readonly state?: string } | undefined)?.state);
}

async function run(record: CaseRecord): Promise<Verdict> {
  let failed = 0;
  const site = new Site({
    ...{ record, machines: 2, workers: 2, capacity: { cpu: 64_000, memMb: 256_000 } },
    events: {
      behaviour: (_task, number) =>
        number === 1 ? { workMs: FIRST_RUN_MS, fails: true } : { workMs: SECOND_RUN_MS },
      started: (worker, task, number) => {
        record.add(`${worker} started ${task} run ${number}`);
      },
      ended: (worker, task, number, end) => {
        if (end === "failed") failed++;
        record.add(`${worker}: ${task} run ${number} ended ${end}`);
      },
    },
  });
  try {
    await site.start(configuration(1, 1));
    await sleep(4000);
    const step = { count: 1, cpu: 1000, memMb: 100, estimateMs: 1500 };
    const accepted = await site.callUntilAnswered("POST", JOB, { spec: "s", steps: [step] });
    if (accepted?.status !== 200) return { kind: "not-run", why: "the job was not accepted" };
    if (trouble) {
      await sleep(500);
      site.store.write("op/config", configuration(2, 0));
      record.add("configuration 2 removes the route");
      await sleep(4500);
      site.store.write("op/config", configuration(3, 1));
      record.add("configuration 3 has the route again");
    }
    // Twice configApplyMs after the configuration, and time enough for a second run.
    await sleep(6000);
    const state = stateOf(await site.callUntilAnswered("GET", JOB));
    record.add(`${failed} of ${MAX_ATTEMPTS} runs have ended failed`);
    if (state === "failed" && failed < MAX_ATTEMPTS)
      return {
        kind: "broken",
        what: `LOST: the job is shown as failed after ${failed} failed run, with maxAttempts = ${MAX_ATTEMPTS}`,
      };
    if (state !== "completed") return { kind: "not-run", why: `the job is ${state}` };
    return { kind: "held" };
  } finally {
    await site.close();
  }
}

void runCase(run);
