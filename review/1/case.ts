/**
 * A pool shrinks while the platform's machine calls give no response for three seconds. Afterwards a
 * job is handed in. With TROUBLE=0 the machine calls respond all the time.
 */
import { Cloud, type Machine } from "../lib/cloud.ts";
import { CaseRecord, sleep, waitUntil } from "../lib/record.ts";
import { Site, type Entry } from "../lib/site.ts";

const TROUBLE = process.env.TROUBLE !== "0";
const CPU = 8000;
const MEM_MB = 8000;
const MOVE_MS = 1500;
const OUTAGE_MS = 3000;
/** Rule LOST: 3 s. The move of a machine into the pool is added, and as much again. */
const BOUND_MS = 20_000;
const record = new CaseRecord("review/1/record.txt");

const config = {
  version: 1,
  routes: [
    {
      ...{ name: "quick", host: "127.0.0.1", prefix: "/quick/", service: "alpha", priority: 0 },
      ...{ maxAttempts: 3, stretch: 1.6, targetLatencyMs: 600, allowAnonymous: true },
    },
  ],
  services: [{ name: "alpha" }, { name: "rest", spare: true }],
  tenants: [],
};

async function main(): Promise<number> {
  const zones = ["z1", "z2", "z3"];
  const machines: Machine[] = Array.from({ length: 6 }, (_, index) => ({
    ...{ name: `m${index}`, zone: zones[index % 3] ?? "z1", rack: `r${index % 3}` },
    ...{ pool: "alpha", state: "up" as const, worker: `w${index}` },
  }));
  let next = machines.length;
  const cloud = new Cloud({
    ...{ machines, cpu: CPU, memMb: MEM_MB, spare: "rest", moveMs: MOVE_MS },
    workerEnds: ({ worker }) => {
      if (worker !== undefined) site.removeWorker(worker);
    },
    workerStarts: (machine) => {
      const id = `w${next++}`;
      machine.worker = id;
      void site.addWorker(id, machine.pool, machine.zone, machine.rack);
    },
    note: (text) => {
      record.line(text);
    },
  });
  const site: Site = new Site({
    ...{ record, config, entryZones: zones, cpu: CPU, memMb: MEM_MB },
    durationMs: () => 800,
    cloud: await cloud.listen(),
  });
  try {
    for (const { worker, pool, zone, rack } of machines)
      await site.addWorker(worker ?? "", pool, zone, rack);
    await site.start();
    return await play(site, cloud, machines);
  } finally {
    await site.close();
    cloud.close();
  }
}

async function play(site: Site, cloud: Cloud, machines: readonly Machine[]): Promise<number> {
  if ((await site.scheduler()) === undefined) return 2;
  await sleep(1500);
  // Work for the whole pool, then none: the pool gives its machines back.
  for (let job = 0; job < 5; job++) {
    const body = { spec: "s", steps: [{ count: 20, cpu: 2000, memMb: 100, estimateMs: 800 }] };
    if (!(await site.submit(site.entries, `/quick/00000000000000a${job}`, body))) return 2;
  }
  if (TROUBLE) {
    let silent = false;
    cloud.onMove = (machine, pool) => {
      if (silent || pool !== "rest" || site.runs.length < 100) return;
      if (site.runs.some(({ endedAt }) => endedAt === undefined)) return;
      silent = true;
      record.line(`machine calls give no response for ${OUTAGE_MS} ms, from ${machine} on`);
      cloud.silence(OUTAGE_MS);
    };
  }
  const done = await waitUntil(
    () => site.runs.filter(({ how }) => how === "done").length >= 100,
    30_000,
  );
  if (!done) return 2;
  record.line("all jobs are done");
  // Long after the outage, every machine that the pool does not need could be back in the spare pool.
  await sleep(15_000);
  record.line(
    `machines: ${machines.map(({ name, pool, state }) => `${name} ${pool} ${state}`).join(", ")}`,
  );
  const [entry] = site.entries;
  if (entry === undefined) return 2;
  return judge(site, entry, machines);
}

async function judge(site: Site, entry: Entry, machines: readonly Machine[]): Promise<number> {
  const path = "/quick/00000000000000b1";
  const body = { spec: "s", steps: [{ count: 1, cpu: 1000, memMb: 100, estimateMs: 800 }] };
  const before = site.runs.length;
  if (!(await site.submit([entry], path, body))) return 2;
  const started = await waitUntil(() => site.runs.length > before, BOUND_MS);
  await site.call(entry, "GET", path);
  const inPool = machines.filter(({ pool, state }) => pool === "alpha" && state === "up");
  const room = `${inPool.length} workers of the pool are up and idle: ${inPool.map(({ worker }) => worker).join(" ")}`;
  record.line(started ? "the job was started" : `LOST: nothing of the job runs; ${room}`);
  return started ? 0 : 1;
}

process.exitCode = await main().catch((err: unknown) => {
  record.line(String(err));
  return 2;
});
process.exit();
