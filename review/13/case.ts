/** A worker crashes while a gang with checkpoints is at work on it and on two others. */
import { runCase, trouble, type Verdict } from "../lib-3/case.ts";
import { sleep, until, type CaseRecord } from "../lib-3/record.ts";
import { configuration, Site } from "../lib-3/site.ts";

const JOB = "5c0e7a21d94b36f8";
const MEMBERS = 3;
const WORK_MS = 8000;
const CRASH_AFTER_MS = 3300;
const DOWN_MS = 2000;
/** A machine is in touch, and nothing disrupted is near, this long after the disruption. */
const CONTACT_MS = 3000;
const WATCHED_MS = 25_000;

async function run(record: CaseRecord): Promise<Verdict> {
  const begun: string[] = [];
  const checkpoints = new Map<number, Set<string>>();
  let calmFrom = Infinity;
  let alone = 0;
  let done = 0;
  const site = new Site({
    ...{ record, machines: 2, workers: 4, capacity: { cpu: 64_000, memMb: 256_000 } },
    events: {
      behaviour: () => ({ workMs: WORK_MS, saves: true, gang: MEMBERS }),
      started: (worker, task, number, checkpoint) => {
        begun.push(worker);
        checkpoints.set(number, (checkpoints.get(number) ?? new Set()).add(checkpoint));
        record.add(`${worker} started ${task} run ${number} checkpoint "${checkpoint}"`);
      },
      ended: (worker, task, number, end) => {
        if (end === "done") done++;
        if (end === "alone" && performance.now() > calmFrom) alone++;
        record.add(`${worker}: ${task} run ${number} ended ${end}`);
      },
    },
  });
  try {
    await site.start(configuration(1, 1));
    await sleep(4000);
    // One member a worker, so that the crash of one worker takes one member.
    const step = {
      ...{ count: MEMBERS, cpu: 4000, memMb: 1000, estimateMs: WORK_MS },
      ...{ gang: true, checkpointing: true, antiAffinity: 1 },
    };
    const accepted = await site.callUntilAnswered("POST", JOB, { spec: "s", steps: [step] });
    if (accepted?.status !== 200) return { kind: "not-run", why: "the job was not accepted" };
    if (!(await until(() => begun.length === MEMBERS, 5000)))
      return { kind: "not-run", why: "the gang did not start" };
    await sleep(CRASH_AFTER_MS);
    const worker = site.workers.find(({ id }) => id === begun[MEMBERS - 1]);
    if (trouble && worker !== undefined) {
      worker.crash();
      record.add(`${worker.id} crashed`);
      await sleep(DOWN_MS);
      await worker.boot();
      site.register(worker);
      record.add(`${worker.id} is up again`);
      calmFrom = performance.now() + CONTACT_MS;
    }
    await until(() => done >= MEMBERS, WATCHED_MS);
    await sleep(1000);
    const shown = await site.callUntilAnswered("GET", JOB);
    const state = (shown?.body as { readonly state?: string } | undefined)?.state ?? "no answer";
    const mixed = [...checkpoints]
      .filter(([, values]) => values.size > 1)
      .map(([number]) => number);
    record.add(
      `job ${state}; runs whose members were given different checkpoints: ${mixed.join(", ")}`,
    );
    record.add(`${alone} runs ended alone with nothing disrupted for ${CONTACT_MS} ms`);
    if (alone > 0 && state !== "completed")
      return {
        kind: "broken",
        what: `GANG: ${alone} runs ended alone, the job is ${state}; runs with different checkpoints: ${mixed.join(", ")}`,
      };
    if (state !== "completed") return { kind: "not-run", why: `the job is ${state}` };
    return { kind: "held" };
  } finally {
    await site.close();
  }
}

void runCase(run);
