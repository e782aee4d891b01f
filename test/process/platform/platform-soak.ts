/**
 * Random faults on real entry processes: signals, a loopback proxy and a store that misbehaves.
 * Checks what callers were told against what workers saw.
 */
import { once } from "node:events";
import { parseJob } from "../../../platform/job-request.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { JobOracle } from "../../fuzz/jobs/job-oracle.ts";
import { PlatformSite, type SiteEntry, type SiteWorker } from "./platform-site.ts";
import { SiteCallers, type SiteJob } from "./site-callers.ts";

/** Time for everything accepted to end after the last fault, in milliseconds. */
const RECOVERY_MS = 30_000;
/** A cancelled job may run on for this time after its acknowledgement, in milliseconds. */
const CANCEL_BOUND_MS = 3200;
/** Longest fault, in milliseconds. */
const MAX_FAULT_MS = 4000;
const MAX_PAUSE_MS = 500;
const STATE_INTERVAL_MS = 300;
const STOP_LIMIT_MS = 6500;
const CANCEL_SHARE = 0.1;
const FAILING_SHARE = 0.05;

const SHORT = { count: 2, cpu: 1000, memMb: 100, estimateMs: 300 };
/** Bodies of jobs that callers choose from. */
const BODIES: readonly object[] = [
  { spec: "s", steps: [SHORT] },
  { spec: "s", steps: [SHORT, { ...SHORT, count: 3, after: [0] }] },
  { spec: "s", steps: [{ ...SHORT, count: 6, cpu: 3000 }] },
  { spec: "s", steps: [{ ...SHORT, longRunning: true, antiAffinity: 2 }] },
];
const LONG_BODY = 3;
/** Long-running jobs of a soak; more would leave no room for others. */
const MAX_LONG_JOBS = 6;

/** Options of {@link runPlatformSoak}. */
export interface SoakOptions {
  readonly seed: number;
  /** Time with faults, in seconds. */
  readonly seconds: number;
  readonly entries: number;
  readonly workers: number;
  /** Jobs handed in a second. */
  readonly rate: number;
}

/** What a soak found. */
export interface SoakReport {
  readonly violations: readonly string[];
  readonly jobs: number;
  readonly accepted: number;
  readonly starts: number;
  readonly faults: Readonly<Record<string, number>>;
  /** Logs of the processes, kept if something is wrong. */
  readonly folder: string;
}

/** Plays one soak. Ends only processes that it started. */
export async function runPlatformSoak(options: SoakOptions): Promise<SoakReport> {
  const soak = new PlatformSoak(options);
  return soak.run();
}

class PlatformSoak {
  readonly #options: SoakOptions;
  readonly #random: SeededRandom;
  readonly #site: PlatformSite;
  readonly #oracle: JobOracle;
  readonly #callers: SiteCallers;
  readonly #jobs: SiteJob[] = [];
  readonly #long = new Set<string>();
  readonly #calls: Promise<unknown>[] = [];
  readonly #faults: Record<string, number> = {};
  readonly #healing: Promise<void>[] = [];

  constructor(options: SoakOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    const { entries, workers } = options;
    const tasks = new SeededRandom(options.seed + 1);
    this.#site = new PlatformSite({
      ...{ entries, workers },
      behaviour: (task) => {
        if (this.#long.has(task.split(".")[0] ?? "")) return { durationMs: undefined };
        return { durationMs: 150 + tasks.next() * 500, fails: tasks.next() < FAILING_SHARE };
      },
    });
    const servers = new Map<string, SiteWorker["server"]>();
    this.#oracle = new JobOracle(servers);
    this.#servers = servers;
    this.#callers = new SiteCallers(this.#site, new SeededRandom(options.seed + 2));
  }

  readonly #servers: Map<string, SiteWorker["server"]>;

  async run(): Promise<SoakReport> {
    let violations: readonly string[] = ["the soak did not end"];
    try {
      await this.#site.start();
      for (const { server } of this.#site.workers) this.#servers.set(server.id, server);
      await Promise.all([this.#load(), this.#disturb()]);
      await Promise.all(this.#healing);
      this.#heal();
      await Promise.all(this.#calls);
      violations = await this.#check();
    } finally {
      await this.#callers.close();
      await this.#site.close(violations.length > 0);
    }
    const starts = [...this.#servers.values()].reduce(
      (sum, { history }) => sum + history.length,
      0,
    );
    const accepted = this.#jobs.filter((job) => job.accepted).length;
    const { folder } = this.#site;
    return { violations, jobs: this.#jobs.length, accepted, starts, faults: this.#faults, folder };
  }

  async #load(): Promise<void> {
    const { seconds, rate, seed } = this.#options;
    for (let number = 0; number < seconds * rate; number++) {
      const choices = this.#long.size < MAX_LONG_JOBS ? BODIES.length : LONG_BODY;
      const body = BODIES[this.#pick(choices)] ?? {};
      const text = JSON.stringify(body);
      const request = parseJob(Buffer.from(text));
      if (request === undefined) throw new Error("a body of the soak is malformed");
      const id = (seed * 1_000_000 + number).toString(16).padStart(16, "0");
      if (body === BODIES[LONG_BODY]) this.#long.add(id);
      const job: SiteJob = Object.assign(this.#oracle.submitted(id, request), {
        ...{ body: text, cancelSent: false },
      });
      this.#jobs.push(job);
      this.#calls.push(this.#call(job, this.#random.next() < CANCEL_SHARE));
      await this.#pause(1000 / rate);
    }
  }

  async #call(job: SiteJob, cancels: boolean): Promise<void> {
    await this.#callers.submit(job);
    // A repeat that arrives late remains the same job.
    if (job.accepted && this.#random.next() < CANCEL_SHARE) await this.#callers.submit(job);
    if (!cancels || !job.accepted) return;
    job.cancelSent = true;
    if (await this.#callers.cancel(job)) job.cancelledAt = performance.now();
  }

  async #disturb(): Promise<void> {
    const until = performance.now() + this.#options.seconds * 1000;
    while (performance.now() < until) {
      this.#healing.push(this.#fault());
      await this.#pause(this.#random.next() * MAX_PAUSE_MS);
    }
  }

  /** Applies one fault, and takes it back after its time. Several overlap. */
  async #fault(): Promise<void> {
    const entry = this.#site.entries[this.#pick(this.#site.entries.length)];
    const worker = this.#site.workers[this.#pick(this.#site.workers.length)];
    if (entry === undefined || worker === undefined) return;
    const faults: readonly (readonly [string, () => Promise<void>])[] = [
      ["kill", () => this.#kill(entry)],
      ["terminate", () => this.#terminate(entry)],
      ["freeze", () => this.#freeze(entry)],
      ["store silent", () => this.#storeFault(entry, "silent")],
      ["store refuses", () => this.#storeFault(entry, "refusing")],
      ["watches mute", () => this.#storeFault(entry, "muteWatches")],
      ["answers lost", () => this.#loseAnswers()],
      ["store path", () => this.#proxyFault(entry.storeProxy)],
      ["worker path", () => this.#proxyFault(worker.proxy)],
      ["worker crash", () => this.#crash(worker)],
      ["late starts", () => this.#lateStarts(worker)],
    ];
    const [name, apply] = faults[this.#pick(faults.length)] ?? ["none", () => Promise.resolve()];
    this.#faults[name] = (this.#faults[name] ?? 0) + 1;
    await apply();
  }

  async #kill(entry: SiteEntry): Promise<void> {
    if (!alive(entry)) return;
    // Requests that a kill cuts are not held against a shutdown that was under way.
    entry.terminating = false;
    const exit = once(entry.process, "exit");
    entry.process.kill("SIGKILL");
    await exit;
    await this.#pause(this.#random.next() * 1000);
    this.#site.restart(entry);
  }

  async #terminate(entry: SiteEntry): Promise<void> {
    if (!alive(entry) || entry.terminating || entry.frozen) return;
    entry.terminating = true;
    const { process } = entry;
    const exit = once(process, "exit");
    process.kill("SIGTERM");
    const limit = setTimeout(() => process.kill("SIGKILL"), STOP_LIMIT_MS);
    await exit;
    clearTimeout(limit);
    // Another fault may have replaced the process meanwhile.
    if (entry.process === process) this.#site.restart(entry);
  }

  async #freeze(entry: SiteEntry): Promise<void> {
    if (!alive(entry) || entry.frozen) return;
    const { process } = entry;
    entry.frozen = true;
    process.kill("SIGSTOP");
    await this.#faultTime();
    process.kill("SIGCONT");
    entry.frozen = false;
  }

  async #storeFault(
    { store }: SiteEntry,
    fault: "silent" | "refusing" | "muteWatches",
  ): Promise<void> {
    store.faults[fault] = true;
    await this.#faultTime();
    store.faults[fault] = false;
  }

  #loseAnswers(): Promise<void> {
    const lateMs = this.#random.next() < 0.5 ? 0 : 3000;
    for (const { store } of this.#site.entries)
      Object.assign(store.faults, { lostAnswers: 2, lateMs });
    return Promise.resolve();
  }

  async #proxyFault(proxy: SiteWorker["proxy"]): Promise<void> {
    const modes = ["silent", "one-way", "slow", "open"] as const;
    proxy.mode = modes[this.#pick(modes.length)] ?? "open";
    if (proxy.mode === "open") proxy.reset();
    await this.#faultTime();
    proxy.mode = "open";
  }

  async #crash(worker: SiteWorker): Promise<void> {
    if (!worker.server.up) return;
    this.#site.crash(worker);
    await this.#faultTime();
    this.#site.boot(worker);
  }

  #lateStarts({ server }: SiteWorker): Promise<void> {
    Object.assign(server.faults, { lateStarts: 2, lateMs: 1500 + this.#random.next() * 4000 });
    return Promise.resolve();
  }

  #heal(): void {
    for (const { store, storeProxy } of this.#site.entries) {
      Object.assign(store.faults, { silent: false, refusing: false, muteWatches: false });
      Object.assign(store.faults, { lostAnswers: 0 });
      storeProxy.mode = "open";
    }
    for (const { server, proxy } of this.#site.workers) {
      server.faults.lateStarts = 0;
      proxy.mode = "open";
    }
  }

  /** Everything accepted ends, and nothing was done that must not be. */
  async #check(): Promise<readonly string[]> {
    const until = performance.now() + RECOVERY_MS;
    let open = this.#jobs.filter(({ accepted }) => accepted);
    const found = new Map<string, string>();
    while (open.length > 0 && performance.now() < until) {
      const checked = await Promise.all(open.map((job) => this.#unfinished(job)));
      open = open.filter((job, index) => {
        const problem = checked[index];
        if (problem === undefined) found.delete(job.id);
        else found.set(job.id, problem);
        return problem !== undefined;
      });
      await this.#pause(STATE_INTERVAL_MS);
    }
    return [...this.#oracle.violations(), ...found.values(), ...this.#callers.cutRequests];
  }

  /** What is wrong with an accepted job; undefined if it is as it has to be at the end. */
  async #unfinished(job: SiteJob): Promise<string | undefined> {
    const { id } = job;
    const running = [...this.#servers.values()]
      .flatMap((server) => server.running)
      .filter((task) => task.startsWith(`${id}.`)).length;
    if (job.cancelledAt !== undefined) {
      const late = performance.now() - job.cancelledAt > CANCEL_BOUND_MS && running > 0;
      return late ? `${id} runs on after its cancel` : undefined;
    }
    if (this.#long.has(id) && running === SHORT.count) return undefined;
    const state = await this.#callers.state(job);
    // A cancel without an acknowledgement may have taken effect.
    if (job.cancelSent && state === "canceled") return undefined;
    if (this.#long.has(id)) return `${id} is ${String(state)} with ${running} tasks`;
    return state === "completed" || state === "failed" ? undefined : `${id} is ${String(state)}`;
  }

  #faultTime(): Promise<void> {
    return this.#pause(this.#random.next() * MAX_FAULT_MS);
  }

  #pick(count: number): number {
    return Math.floor(this.#random.next() * count);
  }

  #pause(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }
}

function alive({ process }: SiteEntry): boolean {
  return process.exitCode === null && process.signalCode === null;
}
