/**
 * Soak test with random faults on real entry processes: signals, a faulty loopback proxy and a
 * faulty store. Compares the replies that callers got with the runs that workers recorded.
 */
import { once } from "node:events";
import { parseJob } from "../../../platform/job-request.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { JobOracle } from "../../fuzz/jobs/job-oracle.ts";
import { PlatformSite, type SiteEntry, type SiteWorker } from "./platform-site.ts";
import { SiteCallers, type SiteJob } from "./site-callers.ts";

/** Time within which every accepted job must end after the last fault, in milliseconds. */
const RECOVERY_MS = 30_000;
/** Longest time a job may keep running after its cancel was acknowledged, in milliseconds. */
const MAX_RUN_AFTER_CANCEL_MS = 3200;
/** Longest duration of a fault, in milliseconds. */
const MAX_FAULT_MS = 4000;
/** Longest time between the starts of two faults, in milliseconds. */
const MAX_FAULT_INTERVAL_MS = 500;
/** Interval between checks of the accepted jobs after the load. */
const CHECK_INTERVAL_MS = 300;
/** Time after which an entry that is still shutting down is killed, in milliseconds. */
const SHUTDOWN_TIMEOUT_MS = 6500;
/** Share of the jobs that are cancelled, and of the accepted jobs that are submitted again. */
const CANCEL_SHARE = 0.1;
/** Share of the runs that fail. */
const FAILING_SHARE = 0.05;

const SHORT_STEP = { count: 2, cpu: 1000, memMb: 100, estimateMs: 300 };
/** Job bodies that callers choose from. */
const JOB_BODIES: readonly object[] = [
  { spec: "s", steps: [SHORT_STEP] },
  { spec: "s", steps: [SHORT_STEP, { ...SHORT_STEP, count: 3, after: [0] }] },
  { spec: "s", steps: [{ ...SHORT_STEP, count: 6, cpu: 3000 }] },
  { spec: "s", steps: [{ ...SHORT_STEP, longRunning: true, antiAffinity: 2 }] },
];
/** Index of the long-running job in {@link JOB_BODIES}. */
const LONG_RUNNING_BODY_INDEX = 3;
/** Maximum number of long-running jobs; more would leave no free capacity for other jobs. */
const MAX_LONG_RUNNING_JOBS = 6;

/** Options of {@link runPlatformSoak}. */
export interface SoakOptions {
  readonly seed: number;
  /** Duration of the load and the faults, in seconds. */
  readonly seconds: number;
  readonly entries: number;
  readonly workers: number;
  /** Jobs submitted per second. */
  readonly rate: number;
}

/** Result of a soak. */
export interface SoakReport {
  readonly violations: readonly string[];
  readonly jobs: number;
  readonly accepted: number;
  readonly starts: number;
  readonly faults: Readonly<Record<string, number>>;
  /** Folder with the logs of the processes, kept if there are violations. */
  readonly folder: string;
}

/** Runs one soak. Ends only processes that it started. */
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
  readonly #longRunningIds = new Set<string>();
  readonly #pendingCalls: Promise<unknown>[] = [];
  readonly #faults: Record<string, number> = {};
  readonly #activeFaults: Promise<void>[] = [];

  constructor(options: SoakOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    const { entries, workers } = options;
    const tasks = new SeededRandom(options.seed + 1);
    this.#site = new PlatformSite({
      ...{ entries, workers },
      behaviour: (task) => {
        if (this.#longRunningIds.has(task.split(".")[0] ?? "")) return { durationMs: undefined };
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
      await Promise.all([this.#generateLoad(), this.#injectFaults()]);
      await Promise.all(this.#activeFaults);
      this.#clearFaults();
      await Promise.all(this.#pendingCalls);
      violations = await this.#findViolations();
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

  async #generateLoad(): Promise<void> {
    const { seconds, rate, seed } = this.#options;
    for (let number = 0; number < seconds * rate; number++) {
      const choices =
        this.#longRunningIds.size < MAX_LONG_RUNNING_JOBS
          ? JOB_BODIES.length
          : LONG_RUNNING_BODY_INDEX;
      const body = JOB_BODIES[this.#randomIndex(choices)] ?? {};
      const text = JSON.stringify(body);
      const request = parseJob(Buffer.from(text));
      if (request === undefined) throw new Error("a body of the soak is malformed");
      const id = (seed * 1_000_000 + number).toString(16).padStart(16, "0");
      if (body === JOB_BODIES[LONG_RUNNING_BODY_INDEX]) this.#longRunningIds.add(id);
      const job: SiteJob = Object.assign(this.#oracle.submitted(id, request), {
        ...{ body: text, cancelSent: false },
      });
      this.#jobs.push(job);
      this.#pendingCalls.push(this.#submitJob(job, this.#random.next() < CANCEL_SHARE));
      await this.#sleep(1000 / rate);
    }
  }

  async #submitJob(job: SiteJob, cancels: boolean): Promise<void> {
    await this.#callers.submit(job);
    // A late repeat of a submission must be treated as the same job.
    if (job.accepted && this.#random.next() < CANCEL_SHARE) await this.#callers.submit(job);
    if (!cancels || !job.accepted) return;
    job.cancelSent = true;
    if (await this.#callers.cancel(job)) job.cancelledAt = performance.now();
  }

  async #injectFaults(): Promise<void> {
    const until = performance.now() + this.#options.seconds * 1000;
    while (performance.now() < until) {
      this.#activeFaults.push(this.#injectFault());
      await this.#sleep(this.#random.next() * MAX_FAULT_INTERVAL_MS);
    }
  }

  /** Injects one random fault and reverts it after a random time. Faults may overlap. */
  async #injectFault(): Promise<void> {
    const entry = this.#site.entries[this.#randomIndex(this.#site.entries.length)];
    const worker = this.#site.workers[this.#randomIndex(this.#site.workers.length)];
    if (entry === undefined || worker === undefined) return;
    const faults: readonly (readonly [string, () => Promise<void>])[] = [
      ["kill", () => this.#kill(entry)],
      ["terminate", () => this.#terminate(entry)],
      ["freeze", () => this.#freeze(entry)],
      ["store unresponsive", () => this.#storeFault(entry, "unresponsive")],
      ["store refuses", () => this.#storeFault(entry, "refusing")],
      ["watch events dropped", () => this.#storeFault(entry, "dropWatchEvents")],
      ["replies lost", () => this.#loseReplies()],
      ["store proxy", () => this.#proxyFault(entry.storeProxy)],
      ["worker proxy", () => this.#proxyFault(worker.proxy)],
      ["worker crash", () => this.#crash(worker)],
      ["late starts", () => this.#lateStarts(worker)],
    ];
    const [name, apply] = faults[this.#randomIndex(faults.length)] ?? [
      "none",
      () => Promise.resolve(),
    ];
    this.#faults[name] = (this.#faults[name] ?? 0) + 1;
    await apply();
  }

  async #kill(entry: SiteEntry): Promise<void> {
    if (!isAlive(entry)) return;
    // Requests cut by this kill must not count as cut by a graceful shutdown in progress.
    entry.terminating = false;
    const exit = once(entry.process, "exit");
    entry.process.kill("SIGKILL");
    await exit;
    await this.#sleep(this.#random.next() * 1000);
    this.#site.restart(entry);
  }

  async #terminate(entry: SiteEntry): Promise<void> {
    if (!isAlive(entry) || entry.terminating || entry.frozen) return;
    entry.terminating = true;
    const { process } = entry;
    const exit = once(process, "exit");
    process.kill("SIGTERM");
    const limit = setTimeout(() => process.kill("SIGKILL"), SHUTDOWN_TIMEOUT_MS);
    await exit;
    clearTimeout(limit);
    // Another fault may have replaced the process in the meantime.
    if (entry.process === process) this.#site.restart(entry);
  }

  async #freeze(entry: SiteEntry): Promise<void> {
    if (!isAlive(entry) || entry.frozen) return;
    const { process } = entry;
    entry.frozen = true;
    process.kill("SIGSTOP");
    await this.#waitFaultDuration();
    process.kill("SIGCONT");
    entry.frozen = false;
  }

  async #storeFault(
    { store }: SiteEntry,
    fault: "unresponsive" | "refusing" | "dropWatchEvents",
  ): Promise<void> {
    store.faults[fault] = true;
    await this.#waitFaultDuration();
    store.faults[fault] = false;
  }

  #loseReplies(): Promise<void> {
    const lostCommitDelayMs = this.#random.next() < 0.5 ? 0 : 3000;
    for (const { store } of this.#site.entries)
      Object.assign(store.faults, { lostReplies: 2, lostCommitDelayMs });
    return Promise.resolve();
  }

  async #proxyFault(proxy: SiteWorker["proxy"]): Promise<void> {
    const modes = ["silent", "one-way", "slow", "open"] as const;
    proxy.mode = modes[this.#randomIndex(modes.length)] ?? "open";
    if (proxy.mode === "open") proxy.reset();
    await this.#waitFaultDuration();
    proxy.mode = "open";
  }

  async #crash(worker: SiteWorker): Promise<void> {
    if (!worker.server.up) return;
    this.#site.crash(worker);
    await this.#waitFaultDuration();
    this.#site.boot(worker);
  }

  #lateStarts({ server }: SiteWorker): Promise<void> {
    Object.assign(server.faults, {
      lateStarts: 2,
      lateStartDelayMs: 1500 + this.#random.next() * 4000,
    });
    return Promise.resolve();
  }

  #clearFaults(): void {
    for (const { store, storeProxy } of this.#site.entries) {
      Object.assign(store.faults, { unresponsive: false, refusing: false, dropWatchEvents: false });
      Object.assign(store.faults, { lostReplies: 0 });
      storeProxy.mode = "open";
    }
    for (const { server, proxy } of this.#site.workers) {
      server.faults.lateStarts = 0;
      proxy.mode = "open";
    }
  }

  /** Waits for every accepted job to end and returns all violations. */
  async #findViolations(): Promise<readonly string[]> {
    const until = performance.now() + RECOVERY_MS;
    let open = this.#jobs.filter(({ accepted }) => accepted);
    const found = new Map<string, string>();
    while (open.length > 0 && performance.now() < until) {
      const checked = await Promise.all(open.map((job) => this.#findProblem(job)));
      open = open.filter((job, index) => {
        const problem = checked[index];
        if (problem === undefined) found.delete(job.id);
        else found.set(job.id, problem);
        return problem !== undefined;
      });
      await this.#sleep(CHECK_INTERVAL_MS);
    }
    return [...this.#oracle.violations(), ...found.values(), ...this.#callers.cutRequests];
  }

  /** Problem of an accepted job; undefined if its final state is correct. */
  async #findProblem(job: SiteJob): Promise<string | undefined> {
    const { id } = job;
    const running = [...this.#servers.values()]
      .flatMap((server) => server.running)
      .filter((task) => task.startsWith(`${id}.`)).length;
    if (job.cancelledAt !== undefined) {
      const late = performance.now() - job.cancelledAt > MAX_RUN_AFTER_CANCEL_MS && running > 0;
      return late ? `${id} still runs after its cancel was acknowledged` : undefined;
    }
    if (this.#longRunningIds.has(id) && running === SHORT_STEP.count) return undefined;
    const state = await this.#callers.state(job);
    // A cancel that was not acknowledged may still have taken effect.
    if (job.cancelSent && state === "canceled") return undefined;
    if (this.#longRunningIds.has(id)) return `${id} is ${String(state)} with ${running} tasks`;
    return state === "completed" || state === "failed" ? undefined : `${id} is ${String(state)}`;
  }

  #waitFaultDuration(): Promise<void> {
    return this.#sleep(this.#random.next() * MAX_FAULT_MS);
  }

  #randomIndex(count: number): number {
    return Math.floor(this.#random.next() * count);
  }

  #sleep(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }
}

function isAlive({ process }: SiteEntry): boolean {
  return process.exitCode === null && process.signalCode === null;
}
