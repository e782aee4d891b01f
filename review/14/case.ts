/** A worker is lost for good and the scheduling machine is killed, soon after another was killed. */
import { runCase, trouble, type Verdict } from "../lib-3/case.ts";
import { sleep, until, type CaseRecord } from "../lib-3/record.ts";
import { configuration, Site } from "../lib-3/site.ts";

const JOB = "5c0e7a21d94b36f8";
const KIND = "k2";
/** An entry goes after three heartbeat intervals of silence. */
const ENTRY_GOES_MS = 4500;
/** The platform starts the killed process again after 0.5 s; all is calm from then on. */
const RESTART_MS = 500;
/** The rule: 3 s without a run, if these and the 4 s before are calm. */
const CALM_MS = 7000;
/** For tasks that last, these 3 s begin 6 s after their last run. */
const SINCE_RUN_MS = 9000;
const WATCHED_MS = 25_000;

async function run(record: CaseRecord): Promise<Verdict> {
  let on = "";
  let upSince = 0;
  const site: Site = new Site({
    ...{ record, machines: 3, workers: 2, capacity: { cpu: 64_000, memMb: 256_000 } },
    events: {
      behaviour: () => ({ workMs: undefined }),
      started: (worker, task, number) => {
        on = worker;
        upSince = performance.now();
        record.add(`${worker} started ${task} run ${number}`);
      },
      ended: (worker, task, number, end) => {
        on = "";
        record.add(`${worker}: ${task} run ${number} ended ${end}`);
      },
    },
  });
  try {
    await site.start(configuration(1, 1));
    await sleep(13_000);
    const first = site.scheduler;
    if (first === undefined) return { kind: "not-run", why: "no machine schedules" };
    if (trouble) site.kill(first);
    await sleep(3000);
    for (let index = 0; index < 2; index++) await site.startWorker("almacen", KIND);
    await sleep(1000);
    const step = { count: 1, cpu: 4000, memMb: 1000, estimateMs: 900, longRunning: true };
    const steps = [{ ...step, requires: KIND }];
    const reply = await site.callUntilAnswered("POST", JOB, { spec: "s", steps });
    if (reply?.status !== 200 || !(await until(() => on !== "", 3000)))
      return { kind: "not-run", why: "the task was not started" };
    await sleep(4000);
    const lostAt = performance.now();
    const second = site.scheduler;
    const worker = site.workers.find(({ id }) => id === on);
    if (second === undefined || worker === undefined) return { kind: "not-run", why: "not ready" };
    if (trouble) {
      record.add(`${worker.id} is lost for good`);
      worker.crash();
      site.kill(second);
      setTimeout(() => {
        site.store.delete(`servers/${worker.id}`);
      }, ENTRY_GOES_MS);
    }
    await until(() => on !== "", WATCHED_MS);
    await sleep(1000);
    if (on === "") upSince = Infinity;
    const withoutMs = Math.round(upSince - lostAt);
    const calmMs = withoutMs - RESTART_MS;
    record.add(`the task was without a run for ${calmMs} ms of calm`);
    if (calmMs > CALM_MS && withoutMs > SINCE_RUN_MS)
      return { kind: "broken", what: `LOST: the lasting task has no run for ${calmMs} ms of calm` };
    return { kind: "held" };
  } finally {
    await site.close();
  }
}

void runCase(run);
