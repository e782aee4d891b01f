/** A small deployment on loopback: entry processes, workers, the store and the operator. */
import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Cloud } from "./cloud.ts";
import type { CaseRecord } from "./record.ts";
import { BOUNDS, freePorts, HEARTBEAT_MS, settingsText, ZONE, type Addresses } from "./settings.ts";
import { Store } from "./store.ts";
import { Gangs, type BehaviourOf } from "./tasks.ts";
import type { ObservedRun } from "./runs.ts";
import { Worker } from "./worker.ts";

/** Silent heartbeat intervals after which the entry of a worker is removed. */
const MISSED_HEARTBEATS = 3;
const READY_TIMEOUT_MS = 15_000;
/** Time after which the platform starts a process again that has ended. */
const RESTART_DELAY_MS = 500;

/** An entry process, one machine of the system. */
export interface Entry {
  readonly name: string;
  readonly front: string;
  readonly ready: string;
  process: ChildProcess;
  readonly settings: string;
  /** Number of times that its process has ended by itself. */
  ownEnds: number;
}

/** A worker and its place. */
export interface SiteWorker {
  /** Replaced when the machine moves to another pool. */
  worker: Worker;
  service: string;
  readonly kind: string;
  readonly rack: string;
  readonly capacity: { readonly cpu: number; readonly memMb: number };
}

/** Options of {@link Site}. */
export interface SiteOptions {
  readonly record: CaseRecord;
  readonly behaviourOf: BehaviourOf;
  /** Number of entry processes. */
  readonly entries: number;
  /** Number of workers of each service. */
  readonly workers: Readonly<Record<string, number>>;
  readonly capacity: { readonly cpu: number; readonly memMb: number };
  /** Kind of a worker, its first label. @default "a" for all */
  readonly kindOf?: (service: string, index: number) => string;
  /** Service whose machines are off. */
  readonly spare?: string;
}

/** Starts and ends all processes and stand-ins of a case. */
export class Site {
  readonly store = new Store({ valueBytes: 1_048_576, ttlMinMs: 1000 });
  readonly runs: ObservedRun[] = [];
  readonly workers: SiteWorker[] = [];
  readonly entries: Entry[] = [];
  /** Folder for settings and logs. */
  readonly folder = mkdtempSync(join(tmpdir(), "teaselspool-review-"));
  readonly #options: SiteOptions;
  readonly #cloud: Cloud;
  readonly #gangs = new Gangs();
  readonly #timers: NodeJS.Timeout[] = [];
  #beats = 0;
  #closing = false;

  constructor(options: SiteOptions) {
    this.#options = options;
    this.#cloud = new Cloud(options.record);
  }

  /** Starts everything and resolves once all entries are ready. */
  async start(config: object): Promise<void> {
    const { entries, workers, capacity, record, kindOf = () => "a", spare } = this.#options;
    this.configure(config);
    const addresses = { store: await this.store.listen(), cloud: await this.#cloud.listen() };
    for (const [service, count] of Object.entries(workers)) {
      for (let index = 0; index < count; index++) {
        const worker = this.#newWorker(`i-${service}-${index}`);
        if (service !== spare) await worker.boot();
        const kind = kindOf(service, index);
        this.#addWorker({ worker, service, kind, rack: `r1-${index % 2}`, capacity });
      }
    }
    for (const each of this.workers) if (each.worker.up) this.#register(each);
    this.#timers.push(
      setInterval(() => {
        for (const each of this.workers) if (each.worker.up) this.#register(each);
      }, HEARTBEAT_MS),
    );
    for (let index = 0; index < entries; index++) await this.#startEntry(index, addresses);
    await this.#waitUntilReady();
    record.say("all entries are ready");
  }

  #newWorker(id: string): Worker {
    const { record, behaviourOf } = this.#options;
    return new Worker({
      ...{ id, record, bounds: BOUNDS, behaviourOf, gangs: this.#gangs, runs: this.runs },
    });
  }

  #addWorker(each: SiteWorker): void {
    this.workers.push(each);
    const { kind, rack, capacity } = each;
    const name = `m-${each.worker.id.slice(2)}`;
    this.#cloud.machines.set(name, {
      ...{ name, zone: ZONE, labels: [kind, rack], capacity, pool: () => each.service },
      workerId: () => (each.worker.up ? each.worker.id : undefined),
      restart: (downMs) => this.crashAndBoot(each, downMs),
      move: (pool, downMs) => this.#move(each, pool, downMs),
    });
  }

  /** Ends the worker of a machine; a new one joins the other pool, unless that is the spare one. */
  async #move(each: SiteWorker, pool: string, downMs: number): Promise<void> {
    const { record, spare } = this.#options;
    const { id } = each.worker;
    record.say(`the machine of ${id}, kind ${each.kind}, moves from ${each.service} to ${pool}`);
    if (each.worker.up) each.worker.crash();
    this.store.remove(`servers/${id}`);
    each.service = pool;
    each.worker = this.#newWorker(`${id}+`);
    await pause(downMs);
    if (pool === spare || this.#closing) return;
    await each.worker.boot();
    this.#register(each);
  }

  /** Asks for the upkeep of machines as the operator does. */
  requestWave(wave: number, machines: readonly string[], durationS: number, cap: number): void {
    this.#options.record.say(`the operator asks for wave ${wave}: ${machines.join(" ")}`);
    this.store.write(`op/wave/${wave}`, { wave, machines, durationS, cap });
  }

  /** Writes a configuration as the operator does. */
  configure(config: object): void {
    this.#options.record.add(`the operator writes op/config: ${JSON.stringify(config)}`);
    this.store.write("op/config", config);
  }

  /** Crashes a worker and boots it again, under the same id, after a time. */
  async crashAndBoot(each: SiteWorker, downMs: number): Promise<void> {
    const { record } = this.#options;
    record.say(`${each.worker.id} crashes`);
    each.worker.crash();
    const removal = setTimeout(() => {
      this.store.remove(`servers/${each.worker.id}`);
    }, MISSED_HEARTBEATS * HEARTBEAT_MS);
    await pause(downMs);
    clearTimeout(removal);
    await each.worker.boot();
    this.#register(each);
    record.say(`${each.worker.id} is back after ${downMs} ms`);
  }

  /** Ends all processes and stand-ins that this site started. */
  async close(): Promise<void> {
    this.#closing = true;
    for (const timer of this.#timers) clearInterval(timer);
    for (const { process: child } of this.entries) {
      if (child.exitCode !== null || child.signalCode !== null) continue;
      const exit = once(child, "exit");
      child.kill("SIGKILL");
      await exit;
    }
    for (const { worker } of this.workers) if (worker.up) worker.crash();
    this.store.close();
    this.#cloud.close();
    if (process.env.KEEP_LOGS === undefined) rmSync(this.folder, { recursive: true, force: true });
    else process.stdout.write(`logs in ${this.folder}\n`);
  }

  #register({ worker, service, kind, rack, capacity }: SiteWorker): void {
    this.store.write(`servers/${worker.id}`, {
      ...{ service, address: worker.address, zone: ZONE, version: "v1", slots: 8 },
      ...{ state: "ready", coldRemainingMs: 0, capacity: { ...capacity, gpu: 0 } },
      ...{ labels: [kind, rack], born: worker.born, sequence: ++this.#beats },
    });
  }

  async #startEntry(index: number, addresses: Addresses): Promise<void> {
    const name = `front-zone-a-${index + 1}`;
    const [front = 0, ready = 0, first = 0] = await freePorts();
    const file = join(this.folder, `${name}.toml`);
    writeFileSync(file, settingsText(name, { front, ready, first }, addresses));
    this.entries.push({
      ...{ name, settings: file, ownEnds: 0, process: this.#spawn(name, file) },
      ...{ front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}` },
    });
  }

  /** Starts a process with the command of the deploy file. */
  #spawn(name: string, settings: string): ChildProcess {
    const child = spawn(
      process.execPath,
      ["--max-old-space-size=200", "target/teaselspool.cjs", "platform"],
      {
        stdio: ["ignore", "pipe", "pipe"],
        env: { PATH: process.env.PATH, HOME: process.env.HOME, TEASELSPOOL_NODE_FILE: settings },
      },
    );
    const log = createWriteStream(join(this.folder, `${name}.log`), { flags: "a" });
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    child.on("exit", (code, signal) => {
      if (!this.#closing) this.#ended(name, `code ${code ?? "none"}, signal ${signal ?? "none"}`);
    });
    return child;
  }

  /** Starts a process that has ended by itself again, as the platform does. */
  #ended(name: string, how: string): void {
    this.#options.record.add(`${name} has ended by itself: ${how}`);
    const entry = this.entries.find((each) => each.name === name);
    if (entry === undefined) return;
    entry.ownEnds++;
    setTimeout(() => {
      if (!this.#closing) entry.process = this.#spawn(name, entry.settings);
    }, RESTART_DELAY_MS);
  }

  async #waitUntilReady(): Promise<void> {
    const until = performance.now() + READY_TIMEOUT_MS;
    for (const { ready, name } of this.entries) {
      for (;;) {
        const ok = await fetch(`http://${ready}/v1/ready`).then(
          ({ status }) => status === 200,
          () => false,
        );
        if (ok) break;
        if (performance.now() > until) throw new Error(`${name} does not become ready`);
        await pause(100);
      }
    }
  }
}

/** Waits for a time in ms. */
export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
