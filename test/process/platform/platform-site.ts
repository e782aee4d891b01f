/**
 * Real entry processes on loopback, with stand-ins for the platform's store and for its workers,
 * the backend servers.
 */
import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer, type AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { bundle } from "../../../scripts/bundle.ts";
import { SystemClock } from "../../../src/ports/system-clock.ts";
import {
  MemoryRecordStore,
  type MemoryRecordClient,
} from "../../../src/stand-ins/memory-record-store.ts";
import {
  SimulatedJobServer,
  type TaskBehaviour,
} from "../../../src/stand-ins/simulated-job-server.ts";
import { FakeHttpServer } from "../../fakes/jobs/fake-http-server.ts";
import { FaultProxy } from "./fault-proxy.ts";
import { handleWorkerOrder, handleStoreCall } from "./platform-handlers.ts";

/** Interval at which the simulated workers end the runs that are due. */
const UPDATE_INTERVAL_MS = 20;
/** Time after which the registration of a worker that stays down is removed. */
const REGISTRATION_LAPSE_MS = 2000;
const CAPACITY = { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 };
/** Slowest clock rate that is allowed for a worker; every second worker uses it. */
const SLOW_CLOCK_RATE = 0.98;

/** One entry process with its own connection to the store. */
export interface SiteEntry {
  readonly name: string;
  readonly callerAddress: string;
  readonly readinessAddress: string;
  readonly store: MemoryRecordClient;
  readonly storeProxy: FaultProxy;
  readonly settingsFile: string;
  process: ChildProcess;
  /** Shutting down gracefully, so open requests must still get their replies. */
  terminating: boolean;
  frozen: boolean;
}

/** One worker and the proxy in front of it. */
export interface SiteWorker {
  readonly server: SimulatedJobServer;
  readonly proxy: FaultProxy;
}

/** Options of {@link PlatformSite}. */
export interface PlatformSiteOptions {
  readonly entries: number;
  readonly workers: number;
  readonly behaviour: (task: string) => TaskBehaviour;
}

/** The entry processes, the workers and the store of one soak. */
export class PlatformSite {
  readonly clock = new SystemClock();
  readonly store = new MemoryRecordStore(this.clock);
  readonly entries: SiteEntry[] = [];
  readonly workers: SiteWorker[] = [];
  /** Folder with the process logs, the settings and the program; kept if the soak fails. */
  readonly folder = mkdtempSync(join(tmpdir(), "teaselspool-soak-"));
  readonly #options: PlatformSiteOptions;
  readonly #httpServers: FakeHttpServer[] = [];
  readonly #proxies: FaultProxy[] = [];
  readonly #updateTimer = setInterval(() => {
    for (const { server } of this.workers) server.applyElapsedTime();
  }, UPDATE_INTERVAL_MS);

  constructor(options: PlatformSiteOptions) {
    this.#options = options;
  }

  /** Builds the program, then starts the workers and the entry processes. */
  async start(): Promise<void> {
    await bundle({ outfile: join(this.folder, "teaselspool.cjs") });
    this.store.write("op/config", Buffer.from(JSON.stringify(CONFIG)));
    const { entries, workers } = this.#options;
    for (let index = 0; index < workers; index++) await this.#addWorker(index);
    for (let index = 0; index < entries; index++) await this.#addEntry(index);
  }

  /** Restarts the process of an entry that has ended. */
  restart(entry: SiteEntry): void {
    entry.process = this.#spawn(entry.name, entry.settingsFile);
    entry.terminating = false;
    entry.frozen = false;
  }

  /** Crashes a worker: it loses all its state, and its registration lapses if it stays down. */
  crash({ server, proxy }: SiteWorker): void {
    server.crash();
    // Connections end with the process, so orders in transit must not reach the next boot.
    proxy.reset();
    this.clock.schedule(REGISTRATION_LAPSE_MS, () => {
      if (!server.up) this.store.delete(`servers/${server.id}`);
    });
  }

  boot(worker: SiteWorker): void {
    worker.server.boot();
    this.#register(worker);
  }

  /** Ends every process that this site started. */
  async close(keepFolder: boolean): Promise<void> {
    for (const { process } of this.entries) {
      if (process.exitCode !== null || process.signalCode !== null) continue;
      const exit = once(process, "exit");
      process.kill("SIGKILL");
      await exit;
    }
    clearInterval(this.#updateTimer);
    for (const httpServer of this.#httpServers) httpServer.close();
    for (const proxy of this.#proxies) proxy.close();
    if (!keepFolder) rmSync(this.folder, { recursive: true, force: true });
  }

  readonly #addresses = new Map<string, string>();

  async #addWorker(index: number): Promise<void> {
    const { behaviour } = this.#options;
    const server = new SimulatedJobServer({
      ...{ clock: this.clock, id: `w${index}`, capacity: CAPACITY, behaviour },
      clockRate: index % 2 === 0 ? 1 : SLOW_CLOCK_RATE,
    });
    server.faults.rebootDiscardsLateStarts = true;
    const proxy = await this.#startBehindProxy(
      new FakeHttpServer((call) => handleWorkerOrder(server, call)),
    );
    const worker = { server, proxy };
    this.#addresses.set(server.id, await proxy.listen());
    this.workers.push(worker);
    this.#register(worker);
  }

  #register({ server: { id, bootedAt } }: SiteWorker): void {
    const registration = {
      ...{ service: "pool", address: this.#addresses.get(id), zone: "z1", state: "ready" },
      ...{ capacity: { cpu: 8000, memMb: 8000 }, labels: ["kind", "rack"], born: bootedAt },
    };
    this.store.write(`servers/${id}`, Buffer.from(JSON.stringify(registration)));
  }

  async #addEntry(index: number): Promise<void> {
    const store = this.store.client();
    const storeProxy = await this.#startBehindProxy(
      new FakeHttpServer((call) => handleStoreCall(store, call)),
    );
    const storeAddress = await storeProxy.listen();
    const callers = await freePort();
    const readiness = await freePort();
    const peers = await freePortPair();
    const name = `e${index}`;
    const settingsFile = join(this.folder, `${name}.toml`);
    writeFileSync(
      settingsFile,
      `nodeName = "${name}"
zone = "z1"
ip = "127.0.0.1"
portRange = [${peers}, ${peers + 1}]
[listenAddrs]
front = "127.0.0.1:${callers}"
ready = "127.0.0.1:${readiness}"
[bounds]
holdMaxMs = 6000
graceS = 6
[platform]
address = "${storeAddress}"
`,
    );
    this.entries.push({
      ...{ name, store, storeProxy, settingsFile, terminating: false, frozen: false },
      ...{ callerAddress: `127.0.0.1:${callers}`, readinessAddress: `127.0.0.1:${readiness}` },
      process: this.#spawn(name, settingsFile),
    });
  }

  #spawn(name: string, settingsFile: string): ChildProcess {
    const child = spawn(process.execPath, [join(this.folder, "teaselspool.cjs"), "platform"], {
      stdio: ["ignore", "pipe", "pipe"],
      env: { PATH: process.env.PATH, TEASELSPOOL_NODE_FILE: settingsFile },
    });
    const log = createWriteStream(join(this.folder, `${name}.log`), { flags: "a" });
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    return child;
  }

  async #startBehindProxy(httpServer: FakeHttpServer): Promise<FaultProxy> {
    this.#httpServers.push(httpServer);
    const proxy = new FaultProxy(await httpServer.listen());
    this.#proxies.push(proxy);
    return proxy;
  }
}

const CONFIG = {
  version: 1,
  routes: [
    {
      ...{ name: "queue", host: "host", prefix: "/queue/", service: "pool", maxAttempts: 3 },
      ...{ stretch: 1.6, targetLatencyMs: 600, allowAnonymous: true },
    },
  ],
  services: [{ name: "pool" }],
  tenants: [],
};

async function freePort(): Promise<number> {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return port;
}

/** Finds a free port whose successor is free too. */
async function freePortPair(): Promise<number> {
  for (;;) {
    const first = await freePort();
    const next = createServer();
    const free = await new Promise<boolean>((resolve) => {
      next.once("error", () => {
        resolve(false);
      });
      next.listen(first + 1, "127.0.0.1", () => {
        resolve(true);
      });
    });
    next.close();
    if (free) return first;
  }
}
