import { Job, type StepRun, type Task } from "../../src/state/jobs/records/job.ts";
import { DurationModels } from "../../src/state/jobs/scheduling/duration-model.ts";
import { rankStep } from "../../src/state/jobs/scheduling/job-order.ts";
import { jobValue } from "../../src/state/jobs/scheduling/job-value.ts";
import { MinHeap } from "../../src/state/jobs/scheduling/min-heap.ts";
import {
  PlannedFleet,
  PlannedPool,
  shareholder,
  type RankedStep,
} from "../../src/state/jobs/scheduling/step-planner.ts";
import { SeededRandom } from "../../test/fakes/seeded-random.ts";
import {
  arrivalsOf,
  CORES_PER_SERVER,
  SERVERS,
  type Arrival,
  type LoadPattern,
} from "./load-patterns.ts";
import { createPolicy, type OrderPolicy, type PolicyName } from "./policies.ts";

const ROUND_MS = 10;
const STRETCH = 1.6;
const TARGET_LATENCY_MS = 600;
/** Value of a job that ends within {@link GIVE_UP_OBJECTIVES} objectives, as a part of its full value. */
const LATE_VALUE = 0.07;
const GIVE_UP_OBJECTIVES = 3;

/** What became of one job. */
export interface JobOutcome {
  readonly queue: string;
  readonly organisation: string;
  readonly value: number;
  /** Core milliseconds. */
  readonly work: number;
  /** Time in ms from release to end. */
  readonly tookMs: number;
  readonly onTime: boolean;
  /** True if the job ended before its caller gave up. */
  readonly useful: boolean;
  readonly utility: number;
}

interface OpenJob {
  readonly job: Job;
  readonly arrival: Arrival;
}

interface RunEnd {
  /** End in ms. */
  readonly heapKey: number;
  readonly task: Task;
  readonly server: number;
}

/** Replays a load pattern against a policy, without a network or servers. */
export class Replay {
  readonly #pattern: LoadPattern;
  readonly #durations = new DurationModels();
  readonly #policy: OrderPolicy;
  readonly #arrivals: readonly Arrival[];
  readonly #means: ReadonlyMap<string, number>;
  readonly #open = new Map<string, OpenJob>();
  readonly #ends = new MinHeap<RunEnd>();
  readonly #free = new Array<number>(SERVERS).fill(CORES_PER_SERVER);
  readonly #occupied = new Map<string, number>();
  readonly #outcomes: JobOutcome[] = [];
  #now = 0;

  constructor(pattern: LoadPattern, policy: PolicyName, seed: number) {
    this.#pattern = pattern;
    this.#policy = createPolicy(policy, this.#durations);
    this.#arrivals = arrivalsOf(pattern, new SeededRandom(seed));
    this.#means = meanWorkByQueue(this.#arrivals);
  }

  /** Runs all jobs to their ends. */
  run(): readonly JobOutcome[] {
    let next = 0;
    while (next < this.#arrivals.length || this.#open.size > 0) {
      this.#now += ROUND_MS;
      this.#endRuns();
      for (; (this.#arrivals[next]?.atMs ?? Infinity) <= this.#now; next++)
        this.#accept(this.#arrivals[next]!, next);
      if (this.#open.size > 0) this.#round();
    }
    return this.#outcomes;
  }

  #accept(arrival: Arrival, number: number): void {
    const { queue, organisation } = arrival.stream;
    const id = `j${number}`;
    const job = new Job({
      ...{ id, queue, organisation, pool: "pool", acceptedAtMs: arrival.atMs },
      ...{ spec: "", steps: arrival.steps, schedule: undefined },
    });
    this.#open.set(id, { job, arrival });
  }

  #endRuns(): void {
    for (let end = this.#ends.pop(); end !== undefined; end = this.#ends.pop()) {
      if (end.heapKey > this.#now) {
        this.#ends.push(end);
        return;
      }
      this.#endRun(end);
    }
  }

  #endRun({ task, server, heapKey }: RunEnd): void {
    const { job, step } = task;
    const cores = step.spec.demand.cpuMillis / 1000;
    this.#free[server]! += cores;
    this.#occupy(job, -cores);
    task.placement = undefined;
    task.done = true;
    const actualMs = this.#actualMs(task);
    this.#durations.forQueue(job.spec.queue).observe(step.spec.estimateMs, actualMs);
    job.refreshState(heapKey);
    if (job.final) this.#jobEnded(this.#open.get(job.spec.id)!);
  }

  #jobEnded({ job, arrival }: OpenJob): void {
    this.#open.delete(job.spec.id);
    const { queue, organisation } = arrival.stream;
    const work = actualWork(arrival);
    const value = jobValue(work, this.#means.get(queue) ?? 0);
    const chainMs = arrival.actualMs.reduce((sum, tasks) => sum + mean(tasks), 0);
    const objectiveMs = STRETCH * chainMs + TARGET_LATENCY_MS;
    const tookMs = job.endedAtMs - arrival.atMs;
    const onTime = tookMs <= objectiveMs;
    const useful = tookMs <= GIVE_UP_OBJECTIVES * objectiveMs;
    const utility = onTime ? value : useful ? LATE_VALUE * value : 0;
    this.#outcomes.push({ queue, organisation, value, work, tookMs, onTime, useful, utility });
  }

  #round(): void {
    const accepting = this.#pattern.servers(this.#now);
    const free = this.#free.slice(0, accepting);
    if (free.every((cores) => cores <= 0)) return;
    const steps: RankedStep[] = [];
    for (const { job, arrival } of this.#open.values())
      for (const step of job.readySteps()) steps.push(this.#rank(step, arrival));
    const fleet = new ReplayedFleet(free, this.#now, this.#occupied);
    for (const { step } of this.#policy.sort(steps, fleet, this.#now))
      for (const task of step.tasks) if (task.waiting && !this.#place(task, accepting)) break;
  }

  #rank(step: StepRun, { stream }: Arrival): RankedStep {
    const urgency = {
      priority: stream.priority,
      stretch: STRETCH,
      targetLatencyMs: TARGET_LATENCY_MS,
    };
    const [occurrence] = step.job.occurrences;
    const rank = rankStep(step, occurrence!, urgency, this.#now, this.#durations);
    return { step, rank, pool: "pool", urgency };
  }

  #place(task: Task, accepting: number): boolean {
    const cores = task.step.spec.demand.cpuMillis / 1000;
    const server = this.#free.findIndex((free, index) => index < accepting && free >= cores);
    if (server < 0) return false;
    this.#free[server]! -= cores;
    this.#occupy(task.job, cores);
    task.run++;
    task.placement = { server: String(server), bootedAt: 0, leaseAsGranted: false };
    this.#ends.push({ heapKey: this.#now + this.#actualMs(task), task, server });
    return true;
  }

  #occupy(job: Job, cores: number): void {
    const name = shareholder(job);
    this.#occupied.set(name, (this.#occupied.get(name) ?? 0) + cores);
  }

  #actualMs({ job, step, index }: Task): number {
    return this.#open.get(job.spec.id)!.arrival.actualMs[step.position]![index]!;
  }
}

/** A fleet of one pool whose servers have the given free cores. */
export class ReplayedFleet extends PlannedFleet {
  readonly #pool: PlannedPool;

  constructor(free: readonly number[], now: number, occupied: ReadonlyMap<string, number>) {
    super();
    this.#pool = new ReplayedPool(free, now, occupied);
  }

  pool(): PlannedPool {
    return this.#pool;
  }

  weight(): number {
    return 1;
  }
}

class ReplayedPool extends PlannedPool {
  readonly #free: readonly number[];
  readonly #now: number;
  readonly #occupied: ReadonlyMap<string, number>;

  constructor(free: readonly number[], now: number, occupied: ReadonlyMap<string, number>) {
    super();
    this.#free = free;
    this.#now = now;
    this.#occupied = occupied;
  }

  capacity() {
    const freeCores = this.#free.reduce((sum, cores) => sum + cores, 0);
    return { cores: this.#free.length * CORES_PER_SERVER, freeCores, wallTimeMs: this.#now };
  }

  occupied(): ReadonlyMap<string, number> {
    return this.#occupied;
  }
}

function actualWork({ steps, actualMs }: Arrival): number {
  return actualMs.reduce((sum, tasks, position) => {
    const cores = steps[position]!.demand.cpuMillis / 1000;
    return sum + cores * tasks.reduce((total, ms) => total + ms, 0);
  }, 0);
}

function meanWorkByQueue(arrivals: readonly Arrival[]): ReadonlyMap<string, number> {
  const works = new Map<string, number[]>();
  for (const arrival of arrivals) {
    const { queue } = arrival.stream;
    works.set(queue, [...(works.get(queue) ?? []), actualWork(arrival)]);
  }
  return new Map([...works].map(([queue, values]) => [queue, mean(values)]));
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
