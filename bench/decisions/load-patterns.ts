import type { StepSpec } from "../../src/protocol/job-spec.ts";
import type { Random } from "../../src/ports/random.ts";

/** Servers of the replayed pool and cores of each. */
export const SERVERS = 10;
export const CORES_PER_SERVER = 8;
/** Arrivals end after this time in ms; what has arrived is then run to its end. */
export const ARRIVALS_MS = 20_000;

/** Part of the tasks that take {@link TAIL_FACTOR} times as long as the others. */
const TAIL_PART = 0.03;
const TAIL_FACTOR = 7;
/** Standard deviation of the natural logarithm of actual over declared durations. */
const DURATION_SPREAD = 0.25;

/** Form of the jobs of a stream. */
export interface JobShape {
  /** Number of tasks of each step; the steps follow one another. */
  readonly tasks: readonly number[];
  readonly cores: number;
  /** Shortest and longest duration of tasks in milliseconds. */
  readonly minMs: number;
  readonly maxMs: number;
}

/** Jobs of one organisation on one queue. */
export interface Stream {
  readonly queue: string;
  readonly organisation: string;
  readonly priority: number;
  readonly shape: JobShape;
  /** Work that arrives at a time in ms, as a part of the capacity of the pool. */
  readonly load: (atMs: number) => number;
  /** Declared over expected durations. */
  readonly declared?: number;
}

/** A load to replay. */
export interface LoadPattern {
  readonly name: string;
  readonly describe: string;
  readonly streams: readonly Stream[];
  /** Number of servers that accept tasks at a time in ms. */
  readonly servers: (atMs: number) => number;
}

/** A job of a pattern. */
export interface Arrival {
  readonly stream: Stream;
  readonly atMs: number;
  readonly steps: readonly StepSpec[];
  /** Actual durations in ms of the tasks of each step. */
  readonly actualMs: readonly (readonly number[])[];
}

const NARROW: JobShape = { tasks: [1], cores: 1, minMs: 200, maxMs: 1600 };
const CHAIN: JobShape = { tasks: [2, 4, 1], cores: 1, minMs: 150, maxMs: 900 };
const WIDE: JobShape = { tasks: [24], cores: 1, minMs: 400, maxMs: 1200 };
const URGENT: JobShape = { tasks: [2], cores: 1, minMs: 100, maxMs: 400 };

function always(load: number): (atMs: number) => number {
  return () => load;
}

function surge(load: number, factor: number, fromMs: number, untilMs: number) {
  return (atMs: number): number => (atMs >= fromMs && atMs < untilMs ? load * factor : load);
}

function stream(queue: string, load: Stream["load"], changes: Partial<Stream> = {}): Stream {
  return { queue, organisation: "all", priority: 1, shape: CHAIN, load, ...changes };
}

function pattern(
  name: string,
  describe: string,
  streams: readonly Stream[],
  servers: LoadPattern["servers"] = always(SERVERS),
): LoadPattern {
  return { name, describe, streams, servers };
}

/** Organisations of the pattern `organisation`; the last one sends the burst. */
export const ORGANISATIONS = ["a", "b", "c", "d", "burst"] as const;

/** The load patterns by name. */
export const LOAD_PATTERNS: readonly LoadPattern[] = [
  pattern("steady", "60% of the capacity", [stream("batch", always(0.6))]),
  pattern("surge", "5 times the mean for 4 s", [
    stream("batch", surge(0.35, 5, 4000, 8000)),
    stream("narrow", always(0.15), { shape: NARROW }),
  ]),
  pattern("two-surges", "two queues at 5 times their means, overlapping by 2 s", [
    stream("batch", surge(0.25, 5, 4000, 8000)),
    stream("narrow", surge(0.25, 5, 6000, 10_000), { shape: NARROW }),
  ]),
  pattern(
    "organisation",
    "one of five organisations at 7.5 times its load for 6 s",
    ORGANISATIONS.map((organisation) => {
      const load = organisation === "burst" ? surge(0.14, 7.5, 4000, 10_000) : always(0.14);
      return stream("batch", load, { organisation });
    }),
  ),
  pattern("urgent-burst", "urgent jobs at 5 times their mean for 4 s beside batch work", [
    stream("urgent", surge(0.1, 5, 4000, 8000), { shape: URGENT, priority: 0 }),
    stream("batch", surge(0.55, 1.6, 3000, 9000)),
  ]),
  pattern("wide-narrow", "steps of 24 tasks beside single tasks at 1.5 times the capacity", [
    stream("wide", surge(0.35, 2.2, 4000, 10_000), { shape: WIDE }),
    stream("narrow", surge(0.35, 2.2, 4000, 10_000), { shape: NARROW }),
  ]),
  pattern("declared-off", "declared durations ten times too high and too low, in a surge", [
    stream("batch", surge(0.25, 5, 5000, 9000), { declared: 10 }),
    stream("narrow", surge(0.25, 2, 5000, 9000), { shape: NARROW, declared: 0.1 }),
  ]),
  pattern(
    "outage",
    "recovery after 6 s in which nothing starts, at 60% load",
    [stream("batch", always(0.4)), stream("narrow", always(0.2), { shape: NARROW })],
    (atMs) => (atMs >= 4000 && atMs < 10_000 ? 0 : SERVERS),
  ),
  pattern(
    "capacity-loss",
    "a third of the servers lost at a peak of 95%",
    [
      stream("batch", surge(0.4, 1.6, 3000, 15_000)),
      stream("narrow", surge(0.2, 1.6, 3000, 15_000), { shape: NARROW }),
    ],
    (atMs) => (atMs >= 5000 && atMs < 12_000 ? Math.ceil((SERVERS * 2) / 3) : SERVERS),
  ),
];

/** Arrivals of a pattern in order of time. */
export function arrivalsOf({ streams }: LoadPattern, random: Random): readonly Arrival[] {
  const arrivals = streams.flatMap((source) => [...arrivalsOfStream(source, random)]);
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}

function* arrivalsOfStream(source: Stream, random: Random): Iterable<Arrival> {
  const { tasks, cores, minMs, maxMs } = source.shape;
  const meanTasks = tasks.reduce((sum, count) => sum + count, 0);
  const tail = 1 + TAIL_PART * (TAIL_FACTOR - 1);
  const meanWork = (meanTasks * cores * (minMs + maxMs) * tail) / 2;
  const capacity = SERVERS * CORES_PER_SERVER;
  // Arrivals are drawn at the highest rate and kept with the probability of the present one.
  const loads = Array.from({ length: ARRIVALS_MS / 100 }, (_, n) => source.load(n * 100));
  const highest = (Math.max(...loads) * capacity) / meanWork;
  for (let atMs = 0; ;) {
    atMs -= Math.log(1 - random.next()) / highest;
    if (atMs >= ARRIVALS_MS) return;
    if (random.next() * highest >= (source.load(atMs) * capacity) / meanWork) continue;
    yield arrival(source, atMs, random);
  }
}

function arrival(source: Stream, atMs: number, random: Random): Arrival {
  const { shape, declared = 1 } = source;
  const { tasks, cores, minMs, maxMs } = shape;
  const steps: StepSpec[] = [];
  const actualMs: number[][] = [];
  for (const [position, count] of tasks.entries()) {
    const expectedMs = minMs + random.next() * (maxMs - minMs);
    steps.push(stepSpec(count, cores, expectedMs * declared, position));
    actualMs.push(Array.from({ length: count }, () => expectedMs * durationFactor(random)));
  }
  return { stream: source, atMs, steps, actualMs };
}

function durationFactor(random: Random): number {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
  const factor = random.next() < TAIL_PART ? TAIL_FACTOR : 1;
  return factor * Math.exp(DURATION_SPREAD * normal);
}

function stepSpec(tasks: number, cores: number, estimateMs: number, position: number): StepSpec {
  return {
    ...{ tasks, estimateMs, after: position === 0 ? [] : [position - 1], checkpointing: false },
    ...{ gang: false, sameRack: false, requiredLabel: "", dataRack: "", maxPerServer: 0 },
    ...{ speculative: false, longRunning: false, image: "", targetLatencyMs: 0, filler: false },
    ...{ availabilityBudget: 0 },
    demand: { cpuMillis: cores * 1000, memoryMb: 0, accelerators: 0 },
  };
}
