/** A small deployment on loopback: the project's own processes, the store, workers and clients. */
import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { decodeLock, SCHEDULER_KEY } from "../../src/protocol/job-records.ts";
import { callAsClient, freePorts, type ClientCall } from "./http.ts";
import type { CaseRecord } from "./record.ts";
import { Store, VALUE_BYTES } from "./store.ts";
import { Worker, type Capacity, type WorkerEvents } from "./worker.ts";

/** `run` of the role in `deploy/system.toml`. */
const RUN = "node --max-old-space-size=200 target/teaselspool.cjs platform";
const HEARTBEAT_MS = 1500;
/** Delay in ms after which the platform starts a process again that has ended. */
const RESTART_MS = 500;
const PORTS = 4;

/** Host, prefix and key of the clients' queue. */
export const HOST = "volo10.example";
export const PREFIX = "/kami162/";
export const KEY = "key-of-tenant-1";

/** One machine of the system. */
export interface Machine {
  readonly name: string;
  readonly front: string;
  readonly settings: string;
  process: ChildProcess | undefined;
  /** Times that its process has ended by itself. */
  ownEnds: number;
  /** True if the case has killed the process. */
  killed: boolean;
}

/** Options of {@link Site}. */
export interface SiteOptions {
  readonly record: CaseRecord;
  readonly machines: number;
  readonly workers: number;
  readonly capacity: Capacity;
  readonly events: WorkerEvents;
  /** Address of the service for the workers' machines; none if they don't move. */
  readonly cloud?: () => string;
}

/** The deployment of one case. */
export class Site {
  readonly store = new Store();
  readonly workers: Worker[] = [];
  readonly machines: Machine[] = [];
  readonly #options: SiteOptions;
  readonly #folder = mkdtempSync(join(tmpdir(), "review-"));
  #closing = false;

  constructor(options: SiteOptions) {
    this.#options = options;
  }

  /** Starts the store, the workers, those of `addWorkers` too, and the machines of the system. */
  async start(config: object, addWorkers?: () => Promise<void>): Promise<void> {
    const { machines, workers } = this.#options;
    await this.store.server.listen();
    this.store.write("op/config", config);
    for (let index = 0; index < workers; index++) await this.startWorker("almacen");
    await addWorkers?.();
    for (let index = 0; index < machines; index++) await this.#addMachine(index);
  }

  /** Starts a new worker of a service. */
  async startWorker(service: string, kind = "k1"): Promise<Worker> {
    const number = this.workers.length.toString(16).padStart(8, "0");
    const worker = new Worker(`5a10c0de${number}`, this.#options.events);
    await worker.server.listen();
    this.workers.push(worker);
    this.register(worker, service, kind);
    return worker;
  }

  /** Ends a worker for good. */
  endWorker(worker: Worker): void {
    worker.crash();
    worker.close();
    this.store.delete(`servers/${worker.id}`);
  }

  /** Writes a worker's entry. */
  register(worker: Worker, service = "almacen", kind = "k1"): void {
    const { id, born, server } = worker;
    this.store.write(`servers/${id}`, {
      ...{ service, address: server.address, zone: "andina-a", version: "1", slots: 8 },
      ...{ state: "ready", coldRemainingMs: 0, sequence: 1, born },
      ...{ capacity: { ...this.#options.capacity, gpu: 0 }, labels: [kind, "r1-1"] },
    });
  }

  /** Sends a call of a client to a machine. `rest` is a whole path, or what follows the prefix. */
  call(
    machine: Machine,
    method: ClientCall["method"],
    rest: string,
    body?: unknown,
    key = KEY,
  ): ReturnType<typeof callAsClient> {
    const path = rest.startsWith("/") ? rest : `${PREFIX}${rest}`;
    return callAsClient({ address: machine.front, method, path, host: HOST, key, body });
  }

  /** Sends a call to one machine after the other, up to five times, until it has a final answer. */
  async callUntilAnswered(method: ClientCall["method"], rest: string, body?: unknown, key = KEY) {
    let last: Awaited<ReturnType<typeof callAsClient>>;
    for (let attempt = 0; attempt < 5; attempt++) {
      const machine = this.machines[attempt % this.machines.length];
      if (machine === undefined) break;
      last = await this.call(machine, method, rest, body, key);
      const text = `${method} ${rest} at ${machine.name}: ${last?.status ?? "no answer"}`;
      this.#options.record.add(`${text} ${JSON.stringify(last?.body ?? {})}`);
      if (last !== undefined && ![429, 502, 503, 504].includes(last.status)) break;
      await new Promise((resolve) => setTimeout(resolve, 300));
    }
    return last;
  }

  /** Kills the process of a machine; the platform starts it again. */
  kill(machine: Machine): void {
    machine.killed = true;
    machine.process?.kill("SIGKILL");
    this.#options.record.add(`the process on ${machine.name} is killed`);
  }

  /** The machine of the system that schedules now. */
  get scheduler(): Machine | undefined {
    const lock = this.store.value(SCHEDULER_KEY);
    const holder = lock === undefined ? undefined : decodeLock(lock)?.holder;
    return this.machines.find(({ name }) => name === holder);
  }

  /** Stops the process of a machine for a time in ms, as a freeze does. */
  async freeze(machine: Machine, forMs: number): Promise<void> {
    this.#options.record.add(`${machine.name} freezes`);
    machine.process?.kill("SIGSTOP");
    await new Promise((resolve) => setTimeout(resolve, forMs));
    machine.process?.kill("SIGCONT");
    this.#options.record.add(`${machine.name} wakes`);
  }

  /** Sends SIGTERM to a machine; the platform starts it again. */
  terminate(machine: Machine): void {
    machine.killed = true;
    machine.process?.kill("SIGTERM");
    this.#options.record.add(`SIGTERM to ${machine.name}`);
  }

  /** Ends every process that was started. */
  async close(): Promise<void> {
    this.#closing = true;
    for (const { process } of this.machines) {
      if (process?.exitCode !== null || process.signalCode !== null) continue;
      const exit = once(process, "exit");
      process.kill("SIGKILL");
      await exit;
    }
    for (const worker of this.workers) worker.close();
    this.store.close();
    if (process.env.KEEP !== "1") rmSync(this.#folder, { recursive: true, force: true });
    else console.log(this.#folder);
  }

  async #addMachine(index: number): Promise<void> {
    const port = await freePorts(PORTS);
    const name = `front-andina-a-${index + 1}`;
    const settings = join(this.#folder, `${name}.toml`);
    const cloud = this.#options.cloud?.();
    const addresses = { port, store: this.store.server.address, cloud };
    writeFileSync(settings, settingsText(name, addresses));
    const machine: Machine = {
      ...{ name, settings, process: undefined, ownEnds: 0, killed: false },
      front: `127.0.0.1:${port + 2}`,
    };
    this.machines.push(machine);
    this.#run(machine);
  }

  #run(machine: Machine): void {
    const [program = "", ...args] = RUN.split(" ");
    const { record } = this.#options;
    const child = spawn(program === "node" ? process.execPath : program, args, {
      stdio: ["ignore", "pipe", "pipe"],
      env: { PATH: process.env.PATH, TEASELSPOOL_NODE_FILE: machine.settings },
    });
    const log = createWriteStream(join(this.#folder, `${machine.name}.log`), { flags: "a" });
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    machine.process = child;
    child.once("exit", (code, signal) => {
      if (this.#closing) return;
      if (!machine.killed) {
        machine.ownEnds++;
        record.add(`the process on ${machine.name} ended by itself (${code ?? signal ?? "?"})`);
      }
      machine.killed = false;
      setTimeout(() => {
        if (!this.#closing) this.#run(machine);
      }, RESTART_MS);
    });
  }
}

interface Addresses {
  /** First of the machine's ports. */
  readonly port: number;
  readonly store: string;
  readonly cloud: string | undefined;
}

/** A settings file as DEPLOY shows it. */
function settingsText(name: string, at: Addresses): string {
  const cloud =
    at.cloud === undefined
      ? ""
      : `[cloud]\naddress = "${at.cloud}"\nratePerS = 64.0\nduties = []\ndutyPerS = 64.0\n`;
  return `nodeName = "${name}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "andina-a"
region = "andina"
portRange = [${at.port},${at.port + 1}]
seeds = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = ${HEARTBEAT_MS}
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","advice","upkeep","sharing"]
orders = "request"
advice = ""
[zones]
andina-a = "andina"
[listenAddrs]
front = "127.0.0.1:${at.port + 2}"
ready = "127.0.0.1:${at.port + 3}"
[limits]
cpuShare = 0.675
cores = 1
memoryMb = 350
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
holdMaxMs = 10000
stopTimeoutMs = 200
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
checkpointS = 0.5
restoreMs = 250
enforceFencing = true
leaseMs = 3000
[platform]
address = "${at.store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = ${VALUE_BYTES}
ttlMinMs = 1000
${cloud}`;
}

/** A configuration with one queue, `almacen`, and one tenant. */
export function configuration(version: number, queues: number): object {
  const queue = {
    ...{ name: "kami", host: HOST, prefix: PREFIX, service: "almacen", priority: 0 },
    ...{ maxAttempts: 3, stretch: 1.6, targetLatencyMs: 600, allowAnonymous: false },
  };
  const other = { ...queue, name: "idle", prefix: "/idle/" };
  return {
    ...{ version, routes: [other, queue].slice(0, 1 + queues) },
    services: [{ name: "almacen", admissionCheck: false }],
    tenants: [{ name: "tenant-1", apiKeys: [KEY], weight: 1, cap: { cpu: 0, memMb: 0, gpu: 0 } }],
    limits: { maxBodyBytes: 262_144 },
  };
}
