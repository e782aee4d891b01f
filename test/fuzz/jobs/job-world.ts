import type { Log } from "../../../src/ports/log.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import {
  JobCluster,
  type ClusterEntry,
  type JobClusterOptions,
} from "../../fakes/jobs/job-cluster.ts";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { advanceUntilSettled } from "../../fakes/virtual-clock.ts";
import type { JobRequest } from "../../../src/protocol/job-spec.ts";
import { JobOracle, type KnownJob } from "./job-oracle.ts";

/** Time after the last fault in which every accepted job must end, in milliseconds. */
const RECOVERY_MS = 40_000;
/** Time after the acknowledgement of a cancel in which all runs must end, in milliseconds. */
const CANCEL_BOUND_MS = 3200;
const MAX_ENTRIES = 5;

/** Job requests that commands choose from. */
export const JOB_SHAPES: readonly JobRequest[] = [
  jobRequest(step({ tasks: 3 })),
  jobRequest(step({ tasks: 2 }), step({ tasks: 2, after: [0] })),
  jobRequest(step({ tasks: 6, demand: { cpuMillis: 3000, memoryMb: 500, accelerators: 0 } })),
  jobRequest(step({ tasks: 3, longRunning: true, maxPerServer: 1 })),
];

/** A deviation of the product that a campaign must report. */
export type JobMutant = "ignores-evacuations";

/** Longest lease in ms in a world of reboots, much longer than the leases that schedulers grant. */
const LONG_SERVER_LEASE_MS = 10_000;
/** Range in ms of the readings at which the clocks of later boots begin in a world of reboots. */
const CLOCK_START_RANGE_MS = 120_000;

/** Times of a reboot in ms. The cut and the announcement of the new boot count from the boot. */
export interface RebootTimes {
  readonly downMs: number;
  readonly announcedAfterMs: number;
  readonly cutAfterMs: number;
  readonly cutMs: number;
}

/** Options of {@link JobWorld}. */
export interface JobWorldOptions {
  readonly log?: Log;
  readonly mutant?: JobMutant | undefined;
  /** Servers accept long leases, and their clocks begin anywhere at each boot. @default false */
  readonly reboots?: boolean;
}

/** A simulated cluster with fault injection and the oracle that checks it. */
export class JobWorld {
  readonly cluster: JobCluster;
  readonly oracle: JobOracle;
  readonly #pending: Promise<unknown>[] = [];

  constructor(seed: number, { log, mutant, reboots = false }: JobWorldOptions = {}) {
    const random = new SeededRandom(seed);
    const longRunningIds = new Set<string>();
    this.cluster = new JobCluster({
      random,
      ...(log === undefined ? {} : { log }),
      ignoreEvacuations: mutant === "ignores-evacuations",
      ...(reboots ? rebootOptions(seed) : {}),
      behaviour: (task) => {
        const id = task.split(".")[0] ?? "";
        if (longRunningIds.has(id)) return { durationMs: undefined };
        return { durationMs: 200 + random.next() * 600, fails: random.next() < 0.05 };
      },
    });
    this.oracle = new JobOracle(this.cluster.servers);
    this.#longRunningIds = longRunningIds;
  }

  readonly #longRunningIds: Set<string>;
  readonly #evacuated = new Set<string>();

  /** Submits a job; the same number always means the same job. */
  submit(number: number, shape: number, at: number): void {
    const request = JOB_SHAPES[shape % JOB_SHAPES.length]!;
    const id = `job${number}`;
    const job = this.oracle.submitted(id, request);
    if (job.request.steps.some(({ longRunning }) => longRunning)) this.#longRunningIds.add(id);
    const target = this.#entry(at);
    if (target === undefined) return;
    this.#track(
      this.cluster.submit(target, id, job.request).then((outcome) => {
        if (outcome === "accepted") job.accepted = true;
        if (outcome === "refused") job.refused = true;
      }),
    );
  }

  /** Cancels a job that its caller knows to be accepted. */
  cancel(number: number, at: number): void {
    const job = this.oracle.jobs.find(({ id }) => id === `job${number}`);
    const target = this.#entry(at);
    if (job?.accepted !== true || target === undefined) return;
    const { clock } = this.cluster;
    const call = { id: job.id, organisation: undefined, deadline: clock.now() + 3000 };
    this.#track(
      target.faults
        .runInProcess(() => target.entry.service.cancel(call))
        .then(({ kind }) => {
          if (kind === "state") job.cancelledAt ??= clock.now();
        }),
    );
  }

  /** Kills the scheduler and starts a new entry instance, up to `MAX_ENTRIES`. */
  killScheduler(): void {
    const { scheduler } = this.cluster;
    if (scheduler !== undefined) this.cluster.kill(scheduler);
    if (this.cluster.liveEntries.length < MAX_ENTRIES) this.cluster.addEntry();
  }

  /** Kills every entry instance and starts three new ones. */
  killAll(): void {
    for (const target of this.cluster.liveEntries) this.cluster.kill(target);
    for (let count = 0; count < 3; count++) this.cluster.addEntry();
  }

  /** Injects a fault into the entry instance that is the scheduler, for the given time. */
  injectSchedulerFault(fault: "freeze" | "no-store" | "no-servers", ms: number): void {
    const target = this.cluster.scheduler;
    if (target === undefined) return;
    const { faults, store } = target;
    if (fault === "freeze") faults.freeze();
    if (fault === "no-store") store.faults.unresponsive = true;
    if (fault === "no-servers") faults.cutFromServers = true;
    this.cluster.clock.schedule(ms, () => {
      if (fault === "freeze") faults.thaw();
      if (!target.alive) return;
      if (fault === "no-store") store.faults.unresponsive = false;
      if (fault === "no-servers") faults.cutFromServers = false;
    });
  }

  /** The next `count` commits of each entry take effect after `lateMs` and get no reply. */
  loseAnswers(count: number, lateMs: number): void {
    for (const { store } of this.cluster.liveEntries) {
      store.faults.lostReplies = count;
      store.faults.lostCommitDelayMs = lateMs;
    }
  }

  /** Cuts every entry instance off from the store for the given time. */
  storeDown(ms: number): void {
    const targets = this.cluster.liveEntries;
    for (const { store } of targets) store.faults.unresponsive = true;
    this.cluster.clock.schedule(ms, () => {
      for (const { store, alive } of targets) if (alive) store.faults.unresponsive = false;
    });
  }

  /** Crashes a server and boots it after the given time. */
  crashServer(number: number, ms: number): void {
    const id = this.#server(number);
    if (this.cluster.servers.get(id)?.up !== true) return;
    this.cluster.crash(id);
    this.cluster.clock.schedule(ms, () => {
      this.cluster.boot(id);
    });
  }

  /** Reboots a server under its id, announces the new boot late, and cuts it off in the meantime or after. */
  rebootAndCutServer(number: number, times: RebootTimes): void {
    const { clock } = this.cluster;
    const id = this.#server(number);
    const server = this.cluster.servers.get(id);
    if (server?.up !== true || server.faults.unresponsive) return;
    server.crash();
    clock.schedule(times.downMs, () => {
      server.boot();
      clock.schedule(times.cutAfterMs, () => {
        this.cutServer(number, times.cutMs);
      });
      clock.schedule(times.announcedAfterMs, () => {
        this.cluster.announce(id);
      });
    });
  }

  /** Cuts a server off from every entry instance for the given time. */
  cutServer(number: number, ms: number): void {
    const server = this.cluster.servers.get(this.#server(number));
    if (server === undefined) return;
    server.faults.unresponsive = true;
    this.cluster.clock.schedule(ms, () => {
      server.faults.unresponsive = false;
    });
  }

  /** The next two starts on a server take effect after `lateMs` and get no reply. */
  delayStarts(number: number, lateMs: number): void {
    const server = this.cluster.servers.get(this.#server(number));
    if (server !== undefined)
      Object.assign(server.faults, { lateStarts: 2, lateStartDelayMs: lateMs });
  }

  /** Evacuates a zone for the given time, unless it is already evacuated. */
  evacuate(zone: string, ms: number): void {
    const { clock } = this.cluster;
    if (this.#evacuated.has(zone)) return;
    this.#evacuated.add(zone);
    this.cluster.evacuate(zone);
    const evacuation = this.oracle.zoneEvacuated(zone, clock.now());
    clock.schedule(ms, () => {
      this.cluster.restore(zone);
      evacuation.endedAt = clock.now();
      this.#evacuated.delete(zone);
    });
  }

  async advance(ms: number): Promise<void> {
    const { clock } = this.cluster;
    for (let passed = 0; passed < ms; passed += 10) {
      await clock.advance(Math.min(10, ms - passed));
      this.cluster.updateServers();
    }
  }

  /** Waits for the end of timed faults, ends the others, awaits recovery and returns all violations. */
  async finish(): Promise<readonly string[]> {
    await this.advance(15_000);
    for (const { store } of this.cluster.liveEntries) store.faults.lostReplies = 0;
    for (const server of this.cluster.servers.values()) server.faults.lateStarts = 0;
    await this.advance(RECOVERY_MS);
    await advanceUntilSettled(this.cluster.clock, Promise.all(this.#pending));
    const endViolations: string[] = [];
    for (const job of this.oracle.jobs) endViolations.push(...(await this.#checkEnd(job)));
    return [...this.oracle.violations(), ...endViolations];
  }

  async #checkEnd(job: KnownJob): Promise<readonly string[]> {
    if (!job.accepted) return [];
    const state = await this.cluster.state(job.id);
    const running = [...this.cluster.servers.values()].flatMap((server) => server.running);
    const own = running.filter((task) => task.startsWith(`${job.id}.`));
    if (job.cancelledAt !== undefined) {
      const late = this.cluster.clock.now() - job.cancelledAt > CANCEL_BOUND_MS && own.length > 0;
      if (late) return [`${job.id} still runs after its cancel`];
      return ["cancelled", "completed", "failed"].includes(state) ? [] : [`${job.id} is ${state}`];
    }
    if (this.#longRunningIds.has(job.id)) {
      const expected = job.request.steps[0]?.tasks ?? 0;
      return own.length === expected ? [] : [`${job.id} has ${own.length} of ${expected} tasks`];
    }
    return state === "completed" || state === "failed" ? [] : [`${job.id} is ${state} at the end`];
  }

  #track(promise: Promise<unknown>): void {
    this.#pending.push(promise);
  }

  #entry(at: number): ClusterEntry | undefined {
    const { liveEntries: alive } = this.cluster;
    return alive[at % Math.max(1, alive.length)];
  }

  #server(number: number): string {
    return `s${number % this.cluster.servers.size}`;
  }
}

function rebootOptions(seed: number): Partial<JobClusterOptions> {
  const random = new SeededRandom(seed + 1);
  const starts: number[] = [];
  return {
    maxServerLeaseMs: LONG_SERVER_LEASE_MS,
    clockStartMs: (boot) => (starts[boot] ??= Math.floor(random.next() * CLOCK_START_RANGE_MS)),
  };
}
