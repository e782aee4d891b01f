/**
 * Measures how the control overhead grows with the size of a deployment. Entry instances run as
 * processes of the built binary on loopback. They are idle, except in the series `load`, which
 * varies the request rate. Arguments select series; without any, all run. Prints one line of JSON
 * per point.
 */
import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { SystemClock } from "../src/ports/system-clock.ts";
import { ProcessCluster, waitFor } from "../test/process/cluster.ts";
import { runLoad } from "./load-generator.ts";
import { readProcessUsage } from "./process-usage.ts";

const WARM_UP_MS = 12_000;
const MEASURE_MS = 10_000;
const BINARY = "dist/teaselspool";

/** Size of one measured deployment, and the load on it; a rate of 0 means idle. */
interface MeasurementPoint {
  readonly series: string;
  readonly zones: number;
  readonly entries: number;
  readonly servers: number;
  readonly teams: number;
  readonly requestsPerSecond: number;
}

const BASE: Omit<MeasurementPoint, "series"> = {
  zones: 1,
  entries: 1,
  servers: 4,
  teams: 6,
  requestsPerSecond: 0,
};
const POINTS: readonly MeasurementPoint[] = [
  ...[4, 16, 32, 64].map((servers) => ({ ...BASE, series: "servers", servers })),
  ...[6, 50, 100, 150].map((teams) => ({ ...BASE, series: "teams", entries: 2, teams })),
  ...[2, 4, 8, 16].map((entries) => ({ ...BASE, series: "entries", zones: 2, entries })),
  ...[10, 40, 80, 160, 240, 320, 400, 480, 640, 960, 1280].map((requestsPerSecond) => ({
    ...BASE,
    series: "load",
    servers: 16,
    requestsPerSecond,
  })),
  { ...BASE, series: "site", zones: 3, entries: 9, servers: 36 },
];

function configTemplate({ teams }: MeasurementPoint): string {
  const sections = Array.from(
    { length: teams },
    (_, n) => `[team.team-${n}]\nshare = 1\nupper_limit = 20\n`,
  );
  const pool = "[pool.work]\ngroup = g\ntarget_size = 64\nmin_available = 0\n";
  const queue = "[queue.open]\npool = work\nopen = yes\nidempotent = yes\n";
  return [pool, queue, ...sections].join("");
}

async function startFarm(
  cluster: ProcessCluster,
  zone: string,
  servers: number,
): Promise<ChildProcess> {
  const args = [
    "--zone",
    zone,
    "--servers",
    String(servers),
    "--register",
    cluster.instanceListUrl,
  ];
  const child = spawn(process.execPath, ["--import", "tsx", "bench/farm.ts", ...args], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  await once(child.stdout, "data");
  return child;
}

async function countDispatchableServers(cluster: ProcessCluster): Promise<number> {
  const counts = cluster.entries.map(async ({ adminUrl: admin }) => {
    const res = await fetch(`${admin}/status`);
    const status = (await res.json()) as {
      readonly held?: readonly { readonly dispatchable: boolean }[];
    };
    return status.held?.filter((server) => server.dispatchable).length ?? 0;
  });
  return (await Promise.all(counts)).reduce((sum, count) => sum + count, 0);
}

async function countKeyValueCalls(cluster: ProcessCluster): Promise<number> {
  const res = await fetch(`${cluster.keyValueUrl}/stats`);
  const text = JSON.stringify(await res.json());
  return [...text.matchAll(/:(\d+)/g)].reduce((sum, [, count]) => sum + Number(count), 0);
}

async function measure(point: MeasurementPoint): Promise<void> {
  const zones = Array.from({ length: point.zones }, (_, n) => `z${n + 1}`);
  const cluster = new ProcessCluster({
    zones,
    entriesPerZone: 0,
    serversPerZone: 0,
    slots: 8,
    template: configTemplate(point),
    command: [BINARY],
  });
  const farms: ChildProcess[] = [];
  try {
    await cluster.start();
    for (const zone of zones)
      farms.push(await startFarm(cluster, zone, point.servers / point.zones));
    for (let n = 0; n < point.entries; n++)
      await cluster.startEntry(zones[n % zones.length] ?? "z1");
    await waitFor(
      "servers held",
      async () => (await countDispatchableServers(cluster)) >= point.servers,
    );
    await new Promise((done) => setTimeout(done, WARM_UP_MS));
    console.log(JSON.stringify({ ...point, ...(await measureUsage(cluster, point)) }));
  } finally {
    for (const farm of farms) farm.kill("SIGKILL");
    await cluster.stop();
  }
}

/** Measures the use of resources per entry instance while the load of the point is applied. */
async function measureUsage(
  cluster: ProcessCluster,
  point: MeasurementPoint,
): Promise<Record<string, unknown>> {
  const pids = cluster.entries.map(({ child }) => child.pid ?? 0);
  const before = pids.map(readProcessUsage);
  const calls = await countKeyValueCalls(cluster);
  const seconds = MEASURE_MS / 1000;
  const report = await applyLoad(cluster, point, seconds);
  const after = pids.map(readProcessUsage);
  const perEntry = (pick: (index: number) => number): number =>
    pids.reduce((sum, _, index) => sum + pick(index), 0) / pids.length;
  const cpu = perEntry((n) => (after[n]!.cpuSeconds - before[n]!.cpuSeconds) / seconds);
  const bytes = perEntry((n) => (after[n]!.bytes - before[n]!.bytes) / seconds);
  return {
    cpuPercent: round(cpu * 100),
    residentMib: round(perEntry((n) => after[n]!.residentMib)),
    bytesPerSecond: Math.round(bytes),
    keyValueCallsPerSecond: round(
      ((await countKeyValueCalls(cluster)) - calls) / seconds / pids.length,
    ),
    ...report,
  };
}

async function applyLoad(
  cluster: ProcessCluster,
  { requestsPerSecond }: MeasurementPoint,
  seconds: number,
): Promise<Record<string, unknown>> {
  if (requestsPerSecond === 0) {
    await new Promise((done) => setTimeout(done, seconds * 1000));
    return {};
  }
  const load = await runLoad({
    clock: new SystemClock(),
    callers: cluster.entries.map(({ callerUrl: callers }) => callers),
    queue: "open",
    key: undefined,
    requestsPerSecond,
    seconds,
    headers: {},
    body: (n) => JSON.stringify({ n, runMs: 20 }),
    timeoutMs: 10_000,
  });
  return { load };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

const selectedSeries = process.argv.slice(2);
for (const point of POINTS) {
  if (selectedSeries.length === 0 || selectedSeries.includes(point.series)) await measure(point);
}
