/**
 * A small deployment on loopback addresses: entry processes of the project, started with the command
 * of the deploy file, and stand-ins for the platform's store, its machines and its workers.
 */
import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { SystemClock } from "../../src/ports/system-clock.ts";
import {
  MemoryRecordStore,
  type MemoryRecordClient,
} from "../../src/stand-ins/memory-record-store.ts";
import {
  FakeHttpServer,
  type FakeHttpResponse,
  type RecordedCall,
} from "../../test/fakes/jobs/fake-http-server.ts";
import { handleStoreCall } from "../../test/process/platform/platform-handlers.ts";
import { freePort, freePortPair } from "./ports.ts";
import { sleep, type CaseRecord } from "./record.ts";
import { WorkerProxy } from "./worker-proxy.ts";
import { Worker, type WorkerRun } from "./worker.ts";

export const BOUNDS = { holdMaxMs: 10_000, stopTimeoutMs: 200, cancelMs: 3000, graceS: 6 } as const;
const VALUE_BYTES = 1_048_576;
const UPDATE_MS = 10;
const HEARTBEAT_MS = 1500;

/** One entry process. */
export interface Entry {
  readonly name: string;
  readonly zone: string;
  readonly front: string;
  readonly settingsFile: string;
  process: ChildProcess;
}

/** A worker behind a proxy, so that a crash resets its connections as the end of a process does. */
export interface SiteWorker {
  readonly worker: Worker;
  readonly proxy: WorkerProxy;
  readonly address: string;
  readonly zone: string;
  readonly rack: string;
  pool: string;
}

/** Options of {@link Site}. */
export interface SiteOptions {
  readonly record: CaseRecord;
  readonly config: object;
  /** Zones of the entries, one entry each. */
  readonly entryZones: readonly string[];
  readonly cpu: number;
  readonly memMb: number;
  readonly durationMs: (task: string) => number | undefined;
  /** See {@link Worker}. */
  readonly checkpointMs?: number;
  readonly fails?: (task: string, run: number) => boolean;
  /** Bound `status_s` in the settings. @default 120 */
  readonly statusS?: number;
  /** Whether each start and end is recorded; a case with many runs records sums. */
  readonly recordsRuns?: boolean;
  /** Address of the machine calls, if there are any. */
  readonly cloud?: string;
}

/** The deployment of one case. */
export class Site {
  readonly store = new MemoryRecordStore(new SystemClock());
  readonly entries: Entry[] = [];
  readonly workers = new Map<string, SiteWorker>();
  readonly runs: WorkerRun[] = [];
  readonly #options: SiteOptions;
  #mute = false;
  /** Resolves when the waiting watches are cut. */
  #cut: Promise<FakeHttpResponse> = Promise.resolve({ status: undefined });
  #cutNow: () => void = () => undefined;
  readonly #folder = mkdtempSync(join(tmpdir(), "teaselspool-review-"));
  readonly #servers: FakeHttpServer[] = [];
  readonly #timers: NodeJS.Timeout[] = [];

  constructor(options: SiteOptions) {
    this.#options = options;
    this.#renewCut();
  }

  async start(): Promise<void> {
    const { config, entryZones } = this.#options;
    this.store.write("op/config", Buffer.from(JSON.stringify(config)));
    const tick = setInterval(() => {
      for (const { worker } of this.workers.values()) worker.update();
    }, UPDATE_MS);
    this.#timers.push(tick);
    for (const [index, zone] of entryZones.entries()) await this.#addEntry(index, zone);
  }

  /** Starts a worker and registers it. */
  async addWorker(id: string, pool: string, zone: string, rack: string): Promise<SiteWorker> {
    const { durationMs, checkpointMs, fails, recordsRuns = true, record } = this.#options;
    const worker = new Worker({
      ...{ id, durationMs, checkpointMs, fails, ...BOUNDS },
      onChange: (run, what) => {
        if (what === "start") this.runs.push(run);
        if (!recordsRuns) return;
        const end = what === "start" ? "starts" : `ends ${run.how ?? "with its worker"}`;
        record.line(`worker ${id}: ${run.task} run ${run.run} ${end}`);
      },
    });
    worker.boot();
    const server = new FakeHttpServer((call) => worker.handle(call));
    this.#servers.push(server);
    const proxy = new WorkerProxy(await server.listen());
    const address = await proxy.listen();
    const added: SiteWorker = { worker, proxy, address, zone, rack, pool };
    this.workers.set(id, added);
    this.register(added);
    return added;
  }

  /** Writes the worker's entry in the store. */
  register({ worker: { id, born }, address, zone, rack, pool }: SiteWorker): void {
    const { cpu, memMb } = this.#options;
    const entry = {
      ...{ service: pool, address, zone, version: "1", slots: 8, state: "ready", sequence: 1 },
      ...{ capacity: { cpu, memMb }, labels: ["kind", rack], born },
    };
    this.store.write(`servers/${id}`, Buffer.from(JSON.stringify(entry)));
  }

  /** The worker's process crashes: its connections are reset and it loses all that it knew. */
  crash({ worker, proxy }: SiteWorker): void {
    this.#options.record.line(`worker ${worker.id} crashes`);
    worker.crash();
    proxy.reset();
  }

  /** The worker's machine loses power: nobody is told, and it loses all that it knew. */
  powerOff({ worker, proxy }: SiteWorker): void {
    this.#options.record.line(`worker ${worker.id} goes dark`);
    worker.crash();
    proxy.darken();
  }

  /** The worker starts again under its id and writes its entry. */
  reboot(site: SiteWorker): void {
    this.boot(site);
    this.register(site);
  }

  /** The worker starts again under its id; it has not written its entry yet. */
  boot({ worker, proxy }: SiteWorker): void {
    worker.boot();
    proxy.lighten();
    this.#options.record.line(`worker ${worker.id} is up again under its id`);
  }

  /** The worker leaves for good. */
  removeWorker(id: string): void {
    const site = this.workers.get(id);
    if (site === undefined) return;
    site.worker.crash();
    site.proxy.close();
    this.workers.delete(id);
    this.store.delete(`servers/${id}`);
  }

  /**
   * The store's watches hear nothing for the given time; then its history is dropped, and they are
   * cut.
   */
  async compact(muteMs: number): Promise<void> {
    const { record } = this.#options;
    record.line("the watches of the store hear nothing");
    this.#mute = true;
    await sleep(muteMs);
    this.store.compact();
    this.#mute = false;
    const cutNow = this.#cutNow;
    this.#renewCut();
    cutNow();
    record.line("the history of the store is dropped, the watches are cut");
  }

  /** Sends a request of a client. Status 0: no response. */
  async call(
    entry: Entry,
    method: "GET" | "POST" | "DELETE",
    path: string,
    body?: object,
  ): Promise<{ readonly status: number; readonly text: string }> {
    const { record } = this.#options;
    try {
      const res = await fetch(`http://${entry.front}${path}`, {
        method,
        headers: { "content-type": "application/json", "x-deadline-ms": "3000" },
        signal: AbortSignal.timeout(3000),
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      });
      const text = await res.text();
      record.line(`client: ${method} ${path} at ${entry.name}: ${res.status} ${text}`);
      return { status: res.status, text };
    } catch (err) {
      record.line(`client: ${method} ${path} at ${entry.name}: no response (${String(err)})`);
      return { status: 0, text: "" };
    }
  }

  /** Submits a job until it is accepted; false if it is not within 20 attempts. */
  async submit(entries: readonly Entry[], path: string, body: object): Promise<boolean> {
    for (let attempt = 0; attempt < 20; attempt++) {
      const entry = entries[attempt % entries.length];
      if (entry === undefined) return false;
      const { status } = await this.call(entry, "POST", path, body);
      if (status === 200) return true;
      await sleep(250);
    }
    return false;
  }

  /** The entry that has the scheduler's lock, by its session in the store. */
  async scheduler(): Promise<Entry | undefined> {
    for (let wait = 0; wait < 100; wait++) {
      const value = this.store.read("teaselspool/entry/scheduler")?.value;
      if (value !== undefined) {
        const text = Buffer.from(value).toString("latin1");
        const found = this.entries.find(({ name }) => text.includes(name));
        if (found !== undefined) return found;
      }
      await sleep(100);
    }
    return undefined;
  }

  /** Log of an entry process. */
  log({ name }: Entry): string {
    return readFileSync(join(this.#folder, `${name}.log`), "utf8");
  }

  /** Starts an entry's process again, as the platform does after its end. */
  restart(entry: Entry): void {
    entry.process = this.#spawn(entry.name, entry.settingsFile);
  }

  /** Ends every process that this site started. */
  async close(): Promise<void> {
    for (const timer of this.#timers) clearInterval(timer);
    for (const { process } of this.entries) {
      if (process.exitCode !== null || process.signalCode !== null) continue;
      const exit = once(process, "exit");
      process.kill("SIGKILL");
      await exit;
    }
    for (const server of this.#servers) server.close();
    for (const { proxy } of this.workers.values()) proxy.close();
    if (process.env.KEEP !== "1") rmSync(this.#folder, { recursive: true, force: true });
    else console.log(this.#folder);
  }

  async #addEntry(index: number, zone: string): Promise<void> {
    const store = this.store.client();
    const server = new FakeHttpServer((call) => this.#handleStoreCall(call, store));
    this.#servers.push(server);
    const storeAddress = await server.listen();
    const [front, ready, peers] = [await freePort(), await freePort(), await freePortPair()];
    const name = `front-${zone}-${index + 1}`;
    const settingsFile = join(this.#folder, `${name}.toml`);
    const { cloud, statusS = 120 } = this.#options;
    writeFileSync(
      settingsFile,
      `nodeName = "${name}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "${zone}"
region = "region"
portRange = [${peers}, ${peers + 1}]
bootstrap = true
heartbeatMs = ${HEARTBEAT_MS}
orders = "request"
[listenAddrs]
front = "127.0.0.1:${front}"
ready = "127.0.0.1:${ready}"
[limits]
cpuShare = 0.675
cores = 1
memoryMb = 350
linkMbps = 1000.0
[bounds]
configApplyMs = 2000
graceS = ${BOUNDS.graceS}
holdMaxMs = ${BOUNDS.holdMaxMs}
stopTimeoutMs = ${BOUNDS.stopTimeoutMs}
status_s = ${statusS}
leaseMs = 3000
[platform]
address = "${storeAddress}"
form = "kv"
valueBytes = ${VALUE_BYTES}
${cloud === undefined ? "" : `[cloud]\naddress = "${cloud}"\n`}`,
    );
    const child = this.#spawn(name, settingsFile);
    this.entries.push({
      ...{ name, zone, settingsFile },
      front: `127.0.0.1:${front}`,
      process: child,
    });
  }

  #renewCut(): void {
    this.#cut = new Promise((resolve) => {
      this.#cutNow = () => {
        resolve({ status: undefined });
      };
    });
  }

  async #handleStoreCall(call: RecordedCall, store: MemoryRecordClient): Promise<FakeHttpResponse> {
    const response = handleLimited(call, (each) => handleStoreCall(store, each));
    if (call.path !== "/v1/kv-watch") return response;
    const answered = await Promise.race([response, this.#cut]);
    return this.#mute ? this.#cut : answered;
  }

  /** The `run` command of deploy/system.toml. */
  #spawn(name: string, settingsFile: string): ChildProcess {
    const args = ["--max-old-space-size=200", "target/teaselspool.cjs", "platform"];
    const child = spawn(process.execPath, args, {
      stdio: ["ignore", "pipe", "pipe"],
      env: { PATH: process.env.PATH, TEASELSPOOL_NODE_FILE: settingsFile },
    });
    const log = createWriteStream(join(this.#folder, `${name}.log`), { flags: "a" });
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    return child;
  }
}

/** Refuses values above the limit that the settings name, as the store does. */
async function handleLimited(
  call: RecordedCall,
  handle: (call: RecordedCall) => Promise<FakeHttpResponse>,
): Promise<FakeHttpResponse> {
  const { puts = [] } = (call.body ?? {}) as { readonly puts?: readonly { value: string }[] };
  const tooLarge = puts.some(({ value }) => (value.length / 4) * 3 - 2 > VALUE_BYTES);
  return tooLarge ? { status: 400, body: { reason: "value" } } : handle(call);
}
