/** Real entry processes on loopback, with stand-ins for the platform's store and workers. */
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

const SETTLE_MS = 20;
/** A registration is removed after this silence of its worker. */
const REGISTRATION_LAPSE_MS = 2000;
const CAPACITY = { cpuMillis: 8000, memoryMb: 8000, accelerators: 0 };
/** Some workers' clocks are as slow as they may be. */
const SLOW_CLOCK_RATE = 0.98;

/** One entry process with its own way to the store. */
export interface SiteEntry {
  readonly name: string;
  readonly callers: string;
  readonly readinessAddress: string;
  readonly store: MemoryRecordClient;
  readonly storeProxy: FaultProxy;
  readonly settingsFile: string;
  process: ChildProcess;
  /** Ends on request, so its open requests must be answered. */
  terminating: boolean;
  frozen: boolean;
}

/** One worker and the way to it. */
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

/** Entry processes, workers and the store of one soak. */
export class PlatformSite {
  readonly clock = new SystemClock();
  readonly store = new MemoryRecordStore(this.clock);
  readonly entries: SiteEntry[] = [];
  readonly workers: SiteWorker[] = [];
  /** Logs of the processes, settings and the program; kept if the soak fails. */
  readonly folder = mkdtempSync(join(tmpdir(), "teaselspool-soak-"));
  readonly #options: PlatformSiteOptions;
  readonly #fronts: FakeHttpServer[] = [];
  readonly #proxies: FaultProxy[] = [];
  readonly #settling = setInterval(() => {
    for (const { server } of this.workers) server.applyElapsedTime();
  }, SETTLE_MS);

  constructor(options: PlatformSiteOptions) {
    this.#options = options;
  }

  /** Starts everything. */
  async start(): Promise<void> {
    await bundle({ outfile: join(this.folder, "teaselspool.cjs") });
    this.store.write("op/config", Buffer.from(JSON.stringify(CONFIG)));
    const { entries, workers } = this.#options;
    for (let index = 0; index < workers; index++) await this.#addWorker(index);
    for (let index = 0; index < entries; index++) await this.#addEntry(index);
  }

  /** Starts the process of an entry again after its end. */
  restart(entry: SiteEntry): void {
    entry.process = this.#spawn(entry.name, entry.settingsFile);
    entry.terminating = false;
    entry.frozen = false;
  }

  /** A worker loses everything; its registration lapses if it stays away. */
  crash({ server, proxy }: SiteWorker): void {
    server.crash();
    // Connections end with the process, so what is on its way never reaches the next boot.
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
    clearInterval(this.#settling);
    for (const front of this.#fronts) front.close();
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
    server.faults.lateStartsEndWithBoot = true;
    const proxy = await this.#behindProxy(
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
    const storeProxy = await this.#behindProxy(
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
      ...{ callers: `127.0.0.1:${callers}`, readinessAddress: `127.0.0.1:${readiness}` },
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

  async #behindProxy(front: FakeHttpServer): Promise<FaultProxy> {
    this.#fronts.push(front);
    const proxy = new FaultProxy(await front.listen());
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

/** A free port whose successor is free as well. */
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
