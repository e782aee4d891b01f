/** A machine is due for upkeep while no other machine has room for the tasks that last on it. */
import { Client } from "../lib-2/client.ts";
import { configuration, HOST } from "../lib-2/config.ts";
import { runCase, type CasePlay } from "../lib-2/main.ts";
import { pause, Site } from "../lib-2/site.ts";

const JOB = "21d94b36f85c0e7a";
const FILLING_JOB = "0e7a21d94b36f85c";
const PREFIX = "/tije37/";
const TASKS = 3;
const STARTED_MS = 4000;
const WAVE_S = 20;
const WATCHED_MS = 30_000;
/** From 6 s after the last run of a task that lasts, and for 3 s, it has to run. */
const RESTART_MS = 6000 + 3000;

await runCase(async ({ record, trouble, use }: CasePlay) => {
  const site = use(
    new Site({
      ...{ record, entries: 2, workers: { pool: 2 } },
      ...{ capacity: { cpu: 12_000, memMb: 32_000 }, behaviourOf: () => ({ workMs: undefined }) },
    }),
  );
  await site.start(configuration(1, [{ name: "r-1", prefix: PREFIX, service: "pool" }]));
  const client = new Client({ record, entries: site.entries, host: HOST, prefix: PREFIX });
  const submit = async (id: string, step: object): Promise<void> => {
    const lasting = { ...step, memMb: 256, longRunning: true, mayMiss: 1 };
    if (!(await client.submit(id, { spec: "(text)", steps: [lasting] })))
      throw new Error(`${id} was not accepted`);
    await pause(STARTED_MS);
  };
  await submit(JOB, { count: TASKS, cpu: 4000, image: "ledger" });
  const loads = (): string => site.workers.map(({ worker }) => worker.load).join(" ");
  const due = site.workers.find(({ worker }) => worker.load === 2)?.worker;
  if (due === undefined) throw new Error(`the tasks are not spread over both workers: ${loads()}`);
  // Fills the other worker, so that no task of this one fits there.
  await submit(FILLING_JOB, { count: 1, cpu: 8000, image: "roll" });
  if (loads() !== "2 2") throw new Error(`the filling task does not run: ${loads()}`);
  if (trouble) site.requestWave(1, [`m-${due.id.slice(2)}`], WAVE_S, 1);
  await pause(WATCHED_MS);
  const broken: string[] = [];
  for (let index = 0; index < TASKS; index++) {
    const last = site.runs.findLast(({ task }) => task === `${JOB}.0.0.${index}`);
    if (last === undefined) throw new Error("a task never ran");
    const idleMs = performance.now() - (last.endedAt ?? Infinity);
    if (idleMs > RESTART_MS)
      broken.push(`${last.task} ended ${last.end ?? ""}, not running for ${Math.round(idleMs)} ms`);
  }
  record.say(`tasks on the machine that is due: ${due.load}`);
  return broken;
});
