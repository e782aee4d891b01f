import { test } from "uvu";
import * as assert from "uvu/assert";
import { StragglerDetector } from "../../../src/coordination/jobs/execution/straggler-detector.ts";
import type { ServerDriver } from "../../../src/coordination/jobs/execution/server-driver.ts";
import type { Counters } from "../../../src/coordination/ports.ts";
import type { StepRun, Task } from "../../../src/state/jobs/records/job.ts";
import { newRun, recordListed } from "../../../src/state/jobs/execution/run-progress.ts";
import { RunRegistry, type ActiveRun } from "../../../src/state/jobs/execution/run-registry.ts";
import { ServerSpeed } from "../../../src/state/jobs/execution/server-speed.ts";
import { TailAssessment } from "../../../src/state/jobs/execution/tail-assessment.ts";
import {
  DurationModel,
  DurationModels,
} from "../../../src/state/jobs/scheduling/duration-model.ts";
import { jobRequest, step } from "../../fakes/jobs/job-builders.ts";
import { jobSpec } from "../../fakes/jobs/run-builders.ts";
import { Job } from "../../../src/state/jobs/records/job.ts";
import { SeededRandom } from "../../fakes/seeded-random.ts";
import { VirtualClock } from "../../fakes/virtual-clock.ts";

const TICK_MS = 100;
const SERVERS = 8;
const SLOTS = 4;
const LOG = { debug: none, info: none, warn: none, error: none };

function none(): void {
  // These tests do not check log lines.
}

/** Tasks of one queue, 3 of 100 of which take seven times as long, on eight servers. */
class Load {
  readonly #random: SeededRandom;
  readonly #clock = new VirtualClock();
  readonly #registry = new RunRegistry();
  readonly #durations = new DurationModels();
  readonly #tails = new TailAssessment(this.#registry, this.#durations);
  readonly #servers = Array.from({ length: SERVERS }, (_, index) => this.#server(`s${index}`));
  readonly #work = new Map<ActiveRun, { doneMs: number; readonly totalMs: number }>();
  readonly #tasks: Task[] = [];
  readonly #factors = new Map<Task, number>();
  readonly #forgetTails: boolean;
  readonly #detector: StragglerDetector;
  #jobs = 0;
  /** Factor by which the first server is slow. */
  slowness = 1;
  /** A run without progress from now on. */
  hanging: ActiveRun | undefined;
  stops: ActiveRun[] = [];
  /** Number of ticks in which a server of usual speed counted as slow. */
  wronglySlow = 0;

  constructor(seed: number, forgetTails: boolean) {
    this.#random = new SeededRandom(seed);
    this.#forgetTails = forgetTails;
    this.#detector = new StragglerDetector({
      ...{ clock: this.#clock, log: LOG, runRegistry: this.#registry, durations: this.#durations },
      counters: { event: none } as unknown as Counters,
      driver: (id) => this.#servers.find((server) => server.id === id),
      stop: (run) => {
        this.stops.push(run);
        this.#end(run);
        this.#tasks.unshift(run.task);
      },
    });
  }

  get firstServerSlow(): boolean {
    return this.#servers[0]!.speed.slow;
  }

  /** A run of usual length that has done between 40 and 50 percent of its work. */
  get halfway(): ActiveRun | undefined {
    return [...this.#work.keys()].find(
      ({ percent, task }) => percent >= 40 && percent < 50 && this.#factors.get(task) === 1,
    );
  }

  async tick(): Promise<void> {
    this.#start();
    await this.#clock.advance(TICK_MS);
    const now = this.#clock.now();
    for (const [run, work] of [...this.#work]) {
      if (run !== this.hanging) work.doneMs += TICK_MS / this.#slownessOf(run.server);
      if (work.doneMs >= work.totalMs) this.#done(run);
      else {
        const percent = Math.floor((work.doneMs * 100) / work.totalMs);
        const listed = { task: run.task.name, run: 1, checkpoint: "", percent, load: 0 };
        recordListed(run, listed, { clockMs: now }, now);
      }
    }
    if (this.#forgetTails)
      for (const tail of ["tail", "siblingTail"] as const)
        this.#durations.forQueue("queue")[tail].restore([]);
    this.#detector.stopStragglers();
    this.wronglySlow += this.#servers.slice(1).filter(({ speed }) => speed.slow).length;
  }

  #server(id: string): ServerDriver {
    return { id, speed: new ServerSpeed(), requestPoll: none } as unknown as ServerDriver;
  }

  #slownessOf(server: string): number {
    return server === "s0" ? this.slowness : 1;
  }

  #start(): void {
    for (const { id } of this.#servers) {
      for (let free = SLOTS - this.#registry.onServer(id).length; free > 0; free--) {
        if (this.#tasks.length === 0) this.#tasks.push(...this.#newStep().tasks);
        const task = this.#tasks.shift()!;
        const since = this.#clock.now();
        const assigned = { server: id, bootedAt: 0, rack: "r", phase: "running" as const, since };
        const run = newRun(task, assigned);
        run.firstProgress = { clockMs: since, percent: 0 };
        this.#registry.add(run);
        const totalMs = 1000 * (0.9 + this.#random.next() * 0.2) * this.#factors.get(task)!;
        this.#work.set(run, { doneMs: 0, totalMs });
      }
    }
  }

  #newStep(): StepRun {
    const request = jobRequest(step({ tasks: 6, estimateMs: 400 + this.#random.next() * 400 }));
    const created = new Job(jobSpec(request, { id: `job${this.#jobs++}` })).occurrences[0]!
      .steps[0]!;
    for (const task of created.tasks) this.#factors.set(task, this.#random.next() < 0.03 ? 7 : 1);
    return created;
  }

  #done(run: ActiveRun): void {
    const tookMs = this.#clock.now() - run.since;
    const server = this.#servers.find(({ id }) => id === run.server)!;
    this.#end(run);
    const ratio = this.#tails.runEnded(run, tookMs, server);
    if (ratio !== undefined) server.speed.observe(ratio, this.#clock.now());
    const { step: ofStep } = run.task;
    ofStep.durations.push({ server: run.server, tookMs, nearData: true });
    this.#durations.forQueue("queue").observe(ofStep.spec.estimateMs, tookMs);
  }

  #end(run: ActiveRun): void {
    this.#registry.remove(run);
    this.#work.delete(run);
  }
}

/** A load whose tails are known, or one that judges runs as if tails did not exist. */
async function settledLoad(seed: number, forgetTails: boolean): Promise<Load> {
  const load = new Load(seed, forgetTails);
  for (let tick = 0; tick < 400; tick++) await load.tick();
  load.stops = [];
  load.wronglySlow = 0;
  return load;
}

async function ticksUntil(load: Load, condition: () => boolean): Promise<number> {
  for (let tick = 1; tick < 300; tick++) {
    await load.tick();
    if (condition()) return tick;
  }
  return Infinity;
}

/**
 * Asserts that the longest time until something is found, over some seeds, is not longer with tails
 * than without. Single seeds differ, because the runs that are in progress at the time differ.
 */
async function assertAsSoon(ticksUntilFound: (load: Load) => Promise<number>): Promise<void> {
  const longest = { withTails: 0, without: 0 };
  for (const seed of [1, 2, 3, 4]) {
    const ticks = await ticksUntilFound(await settledLoad(seed, false));
    longest.withTails = Math.max(longest.withTails, ticks);
    const former = await ticksUntilFound(await settledLoad(seed, true));
    longest.without = Math.max(longest.without, former);
  }
  const seen = JSON.stringify(longest);
  assert.ok(longest.withTails <= longest.without, seen);
}

// Long tasks were stopped on each server in turn, and servers that ran them lost their work for seconds.
test("tasks that take seven times as long wherever they run are not stopped and cost no server its work", async () => {
  const [learnt, former] = [await settledLoad(1, false), await settledLoad(1, true)];
  for (let tick = 0; tick < 600; tick++) await Promise.all([learnt.tick(), former.tick()]);
  const seen =
    `${learnt.stops.length} stops, ${learnt.wronglySlow} slow ticks, ` +
    `before ${former.stops.length} and ${former.wronglySlow}`;
  assert.ok(learnt.stops.length * 5 <= former.stops.length, seen);
  assert.ok(learnt.wronglySlow * 5 <= former.wronglySlow, seen);
});

// A tolerant limit must not hide a server that makes all of its runs six times as long.
test("a server that becomes six times slower is found as soon as without tails", async () => {
  await assertAsSoon(async (load) => {
    load.slowness = 6;
    return await ticksUntil(load, () => load.firstServerSlow);
  });
});

// A projected duration within the tail must not hide a run that no longer makes any progress.
test("a run that hangs halfway is stopped as soon as without tails", async () => {
  await assertAsSoon(async (load) => {
    await ticksUntil(load, () => load.halfway !== undefined);
    load.hanging = load.halfway;
    return await ticksUntil(load, () => load.stops.includes(load.hanging!));
  });
});

test("a step lasts as long as the longest of its tasks once the tail of its queue is known", () => {
  const model = new DurationModel();
  assert.is(model.expectedStepMs(1000, 100), 1000);
  for (let ended = 0; ended < 400; ended++) {
    const tookMs = ended % 33 === 0 ? 7000 : 1000;
    model.observeTail(1000, tookMs);
    model.observe(1000, tookMs);
  }
  const of = (tasks: number): number => model.expectedStepMs(1000, tasks);
  assert.ok(of(100) > 5000 && of(100) < 9000, `${of(100)}`);
  assert.ok(of(8) < 1600, `${of(8)}`);
  assert.ok(of(1) < of(100) / 4);
});

test.run();
