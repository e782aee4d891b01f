/**
 * `npm run bench -- scheduler-cost`: processor time of the scheduler for each task, from ready to done,
 * on virtual time with test doubles of the store and the backend servers.
 */
import { createHash } from "node:crypto";
import pino from "pino";
import { Err } from "ts-results";
import { MetricCounters } from "../src/coordination/counters.ts";
import { PeerConnections } from "../src/coordination/jobs/peer-connections.ts";
import { JobEntry } from "../src/coordination/jobs/job-entry.ts";
import {
  OperatorFeed,
  ServerRegistry,
  type OperatorListener,
  type ServerListener,
} from "../src/coordination/jobs/job-feeds.ts";
import { LoadNotifier } from "../src/coordination/jobs/admission/load-notifier.ts";
import { PlacementQuestions } from "../src/coordination/jobs/scheduling/placement-questions.ts";
import { RecordNotifier } from "../src/coordination/jobs/records/record-notifier.ts";
import { JobBackendConnector, type JobBackend } from "../src/ports/job-backend.ts";
import { PlacementAdvisor } from "../src/ports/placement-advisor.ts";
import type { FleetConfig } from "../src/protocol/fleet-config.ts";
import { encodeJob, jobKey } from "../src/protocol/job-records.ts";
import type { JobSpec, StepSpec } from "../src/protocol/job-spec.ts";
import { MemoryRecordStore } from "../src/stand-ins/memory-record-store.ts";
import { SimulatedJobServer } from "../src/stand-ins/simulated-job-server.ts";
import { PEER_PROTOCOL_VERSION } from "../src/protocol/peer-messages.ts";
import { TcpPeerTransport } from "../src/transport/peer-tcp.ts";
import { NO_RESOURCES } from "../src/state/jobs/scheduling/resources.ts";
import { SeededRandom } from "../test/fakes/seeded-random.ts";
import { PARTS, profileParts, type CpuParts } from "./cpu-parts.ts";
import { HeapClock } from "./heap-clock.ts";

const SERVERS = 250;
const POOLS = 5;
const SERVER_CAPACITY = { cpuMillis: 32_000, memoryMb: 128_000, accelerators: 0 } as const;
const TASKS_PER_SECOND = 2500;
const LOAD_MS = 5000;
/** Jobs have one or two steps of 8 tasks, so 1.6 steps and 12.8 tasks on average. */
const TASKS_PER_STEP = 8;
const TWO_STEPS_SHARE = 0.6;
const TASKS_PER_JOB = TASKS_PER_STEP * (1 + TWO_STEPS_SHARE);
const MEAN_TASK_MS = 800;
const SPEC_BYTES = 2000;
/** Time in ms for the election and the first polls before the load. */
const START_UP_MS = 2000;
/** Time in ms after the load in which every job must end. */
const DRAIN_MS = 8000;
const STEP_MS = 100;
const LISTED_FUNCTIONS = 25;

/** Figures of one run. */
interface CostFigures {
  readonly tasks: number;
  readonly unfinished: number;
  /** Hash of all starts with server and time, to show that a change keeps the placements. */
  readonly placements: string;
  readonly cpuUs: number;
  readonly profile: CpuParts;
}

/** Runs the benchmark and prints its figures. */
export async function runSchedulerCost(seed: number): Promise<void> {
  const { tasks, unfinished, placements, cpuUs, profile } = await measure(seed);
  const perTask = (us: number): string => (us / tasks).toFixed(1).padStart(8);
  console.log(`${tasks} tasks, ${unfinished} not done, placements ${placements}`);
  console.log("microseconds of processor time for each task");
  let total = 0;
  for (const part of PARTS) {
    const us = profile.parts.get(part)!;
    total += us;
    console.log(`${part.padEnd(10)}${perTask(us)}`);
  }
  console.log(`${"total".padEnd(10)}${perTask(total)}`);
  console.log(`garbage collection of the process${perTask(profile.garbageCollectionUs)}`);
  console.log(
    `process${perTask(cpuUs)}, of its JavaScript ${(profile.schedulerShare * 100).toFixed(0)}% product`,
  );
  console.log("largest functions");
  for (const [name, us] of profile.functions.slice(0, LISTED_FUNCTIONS))
    console.log(`${perTask(us)}  ${name}`);
}

async function measure(seed: number): Promise<CostFigures> {
  const clock = new HeapClock();
  const random = new SeededRandom(seed);
  const store = new MemoryRecordStore(clock);
  const servers = createServers(clock, random);
  const entry = createEntry(clock, random, store, servers);
  entry.start();
  await clock.advanceTo(START_UP_MS);
  if (!entry.scheduling) throw new Error("no scheduler was elected");
  const jobs = createJobs(random, clock.wallTime());
  const cpuBefore = process.cpuUsage();
  const profile = await profileParts(async () => {
    for (const [index, job] of jobs.entries())
      clock.schedule((index * LOAD_MS) / jobs.length, () => {
        const key = jobKey(job.id);
        const value = encodeJob(job);
        store.write(key, value);
        entry.recordsStored([{ key, value, revision: store.revision }]);
      });
    for (let at = 0; at < LOAD_MS + DRAIN_MS; at += STEP_MS)
      await clock.advanceTo(START_UP_MS + at + STEP_MS);
  });
  const { user, system } = process.cpuUsage(cpuBefore);
  const tasks = jobs.reduce((sum, { steps }) => sum + steps.length * TASKS_PER_STEP, 0);
  const done = servers.reduce(
    (sum, { history }) => sum + history.filter(({ end }) => end === "done").length,
    0,
  );
  // The step-down waits for the store, whose replies need the virtual clock.
  void entry.stepDown();
  await clock.advanceTo(clock.now() + STEP_MS);
  const placements = hashOfStarts(servers);
  return { tasks, unfinished: tasks - done, placements, cpuUs: user + system, profile };
}

function hashOfStarts(servers: readonly SimulatedJobServer[]): string {
  const hash = createHash("sha256");
  for (const { history } of servers)
    for (const { task, run, server, startedAt } of history)
      hash.update(`${task} ${run} ${server} ${startedAt}\n`);
  return hash.digest("hex").slice(0, 12);
}

function createServers(clock: HeapClock, random: SeededRandom): readonly SimulatedJobServer[] {
  const behaviour = () => ({ durationMs: MEAN_TASK_MS * (0.5 + random.next()) });
  return Array.from(
    { length: SERVERS },
    (_, index) =>
      new SimulatedJobServer({ clock, id: `s${index}`, capacity: SERVER_CAPACITY, behaviour }),
  );
}

function createJobs(random: SeededRandom, wallTimeMs: number): readonly JobSpec[] {
  const count = Math.round((TASKS_PER_SECOND * LOAD_MS) / 1000 / TASKS_PER_JOB);
  const spec = "x".repeat(SPEC_BYTES);
  return Array.from({ length: count }, (_, index) => {
    const steps = random.next() < TWO_STEPS_SHARE ? 2 : 1;
    const pool = Math.floor(random.next() * POOLS);
    return {
      ...{ id: `job${index}`, queue: `q${pool}`, pool: `p${pool}`, spec, schedule: undefined },
      organisation: `org${index % 20}`,
      acceptedAtMs: wallTimeMs + (index * LOAD_MS) / count,
      steps: Array.from({ length: steps }, (_step, position) => stepSpec(random, position)),
    };
  });
}

function stepSpec(random: SeededRandom, position: number): StepSpec {
  const cores = 1 + Math.floor(random.next() * 3);
  return {
    ...{ tasks: TASKS_PER_STEP, estimateMs: MEAN_TASK_MS, checkpointing: false, gang: false },
    ...{ after: position === 0 ? [] : [position - 1], sameRack: random.next() < 0.1 },
    ...{ requiredLabel: random.next() < 0.1 ? "big" : "", dataRack: "", speculative: false },
    ...{ maxPerServer: random.next() < 0.1 ? 2 : 0, longRunning: false, image: "" },
    ...{ targetLatencyMs: 0, filler: false, availabilityBudget: 0 },
    demand: { cpuMillis: cores * 1000, memoryMb: cores * 2000, accelerators: 0 },
  };
}

function createEntry(
  clock: HeapClock,
  random: SeededRandom,
  store: MemoryRecordStore,
  servers: readonly SimulatedJobServer[],
): JobEntry {
  return new JobEntry({
    ...{ clock, random, counters: new MetricCounters(), store: store.client() },
    log: pino({ level: "info", base: { instance: "e0" } }, { write: () => undefined }),
    registry: new StaticRegistry(servers),
    operators: new StaticOperators(clock),
    connector: new SimulatedConnector(servers),
    ...{ instances: undefined, advisor: new NoAdvisor(), name: "e0" },
    session: { name: "e0", peerAddress: "e0", zone: "z", strength: 1 },
    ...{ notifier: new NoNotifier(), storeConnectivity: connected, evacuateMs: 5000 },
    executorConnections: noPeers(clock),
    ...{
      leaseTtlMs: 6000,
      maxServerLeaseMs: 6250,
      linkBytesPerMs: 125_000,
      takeoverPauseMs: 0,
      maxConfigAgeMs: 2000,
    },
    ...{ keepEndedMs: 120_000, evacuateMs: 5000 },
    ...{ loadNotifier: new NoLoadNotifier(), placementQuestions: new NoPlacementQuestions() },
  });
}

/** No entry instance but the scheduler has a session, so no connection is opened. */
function noPeers(clock: HeapClock): PeerConnections {
  const log = pino({ level: "silent" });
  const transport = new TcpPeerTransport({ clock, counter: new MetricCounters(), log });
  const self = {
    version: PEER_PROTOCOL_VERSION,
    incarnation: "e0",
    address: "e0",
    zone: "z",
    group: "",
  };
  return new PeerConnections({ transport, log, self });
}

function connected() {
  return { disconnectedMs: 0, unresponsiveMs: 0 };
}

function fleetConfig(): FleetConfig {
  const numbers = Array.from({ length: POOLS }, (_, index) => index);
  return {
    version: 1,
    queues: numbers.map((index) => ({
      ...{ name: `q${index}`, host: "host", prefix: `/q${index}/`, pool: `p${index}` },
      ...{ priority: index % 3, maxAttempts: 3, stretch: 1.6, targetLatencyMs: 600 },
      ...{ openToAll: true, advice: undefined },
    })),
    pools: numbers.map((index) => ({ name: `p${index}`, admissionCheck: false, spare: false })),
    organisations: Array.from({ length: 20 }, (_, index) => ({
      ...{ name: `org${index}`, keys: [`key${index}`], weight: 1, cap: NO_RESOURCES },
    })),
    maxBodyBytes: 100_000,
  };
}

class StaticRegistry extends ServerRegistry {
  readonly #servers: readonly SimulatedJobServer[];

  constructor(servers: readonly SimulatedJobServer[]) {
    super();
    this.#servers = servers;
  }

  follow(listener: ServerListener, signal: AbortSignal): Promise<void> {
    listener.reset(
      this.#servers.map(({ id, capacity, bootedAt }, index) => ({
        ...{ id, capacity, bootedAt, pool: `p${index % POOLS}`, address: id, zone: "z" },
        ...{ draining: false, labels: index % 4 < 2 ? ["big"] : [], rack: `r${index % 10}` },
        coldRemainingMs: 0,
      })),
    );
    return new Promise((resolve) => {
      signal.addEventListener("abort", () => {
        resolve();
      });
    });
  }
}

class StaticOperators extends OperatorFeed {
  readonly #clock: HeapClock;

  constructor(clock: HeapClock) {
    super();
    this.#clock = clock;
  }

  async follow(listener: OperatorListener, signal: AbortSignal): Promise<void> {
    listener.configured(fleetConfig());
    while (!signal.aborted) {
      listener.confirmed(this.#clock.now());
      await this.#clock.sleep(500, signal);
    }
  }

  reportWave(): Promise<boolean> {
    return Promise.resolve(true);
  }
}

class SimulatedConnector extends JobBackendConnector {
  readonly #servers: ReadonlyMap<string, SimulatedJobServer>;

  constructor(servers: readonly SimulatedJobServer[]) {
    super();
    this.#servers = new Map(servers.map((server) => [server.id, server]));
  }

  connect(_address: string, id: string): JobBackend {
    return this.#servers.get(id)!.client();
  }
}

class NoAdvisor extends PlacementAdvisor {
  advise() {
    return Promise.resolve(Err({ kind: "unavailable" as const, detail: "none" }));
  }
}

class NoNotifier extends RecordNotifier {
  notify(): Promise<void> {
    return Promise.resolve();
  }
}

class NoLoadNotifier extends LoadNotifier {
  send(): Promise<void> {
    return Promise.resolve();
  }
}

class NoPlacementQuestions extends PlacementQuestions {
  ask() {
    return Promise.resolve(undefined);
  }
}
