/**
 * Measures the processor time of one load measurement with 3,000 open jobs of six tasks in five pools,
 * while no step waits and while half of the tasks wait. Run with `npx tsx bench/load-measurement.ts`.
 */
import type { LoadPublisherOptions } from "../src/coordination/jobs/admission/load-publisher.ts";
import { LoadPublisher } from "../src/coordination/jobs/admission/load-publisher.ts";
import { Job } from "../src/state/jobs/records/job.ts";
import { DurationModels } from "../src/state/jobs/scheduling/duration-model.ts";
import {
  cpu,
  fleetConfig,
  jobRequest,
  queueConfig,
  step,
} from "../test/fakes/jobs/job-builders.ts";

const POOLS = 5;
const JOBS = 3000;
const SERVERS = 300;
const MEASUREMENTS = 50;
const WARM_UP = 10;
const WAITED_MS = 60_000;

const queues = Array.from({ length: POOLS }, (_, n) =>
  queueConfig({ name: `q${n}`, pool: `p${n}`, stretch: 1.5, targetLatencyMs: 400 }),
);
const config = fleetConfig({ queues });
const members = Array.from({ length: SERVERS }, (_, n) => ({
  ...{ absent: false, registration: { pool: `p${n % POOLS}`, capacity: cpu(4000) } },
}));

function openJobs(waiting: boolean): ReadonlySet<Job> {
  const steps = [step({ tasks: 3 }), step({ tasks: 3, after: [0] })];
  const jobs = Array.from({ length: JOBS }, (_, n) => {
    const spec = { ...jobRequest(...steps), id: `${n}`, queue: `q${n % POOLS}` };
    const job = new Job({
      ...{ ...spec, pool: `p${n % POOLS}`, acceptedAtMs: 0, organisation: `org${n % 20}` },
    });
    for (const ready of job.readySteps()) {
      ready.readyAt = 0;
      for (const task of ready.tasks)
        if (!waiting || n % 2 === 0)
          task.placement = { server: "s", bootedAt: 0, leaseAsGranted: false };
    }
    return job;
  });
  return new Set(jobs);
}

async function measure(waiting: boolean): Promise<number> {
  const abort = new AbortController();
  const durations = new DurationModels();
  for (const { name } of queues)
    for (let n = 0; n < 100; n++) durations.forQueue(name).observe(400, 350 + n);
  let sleeps = 0;
  let before = process.cpuUsage();
  const sleep = (): Promise<void> => {
    if (sleeps++ === WARM_UP) before = process.cpuUsage();
    if (sleeps > WARM_UP + MEASUREMENTS) abort.abort();
    return Promise.resolve();
  };
  const options = {
    clock: { now: () => WAITED_MS, wallTime: () => 100, sleep },
    log: { info: () => undefined },
    tenure: { signal: abort.signal, valid: true, token: 1 },
    config: {
      current: config,
      queue: (name: string) => queues.find((queue) => queue.name === name),
      organisation: () => undefined,
    },
    scheduler: {
      ...{ ready: true, durations, jobRegistry: { openJobs: openJobs(waiting) } },
      drivers: { all: () => members },
    },
    ...{ instances: undefined, notifier: { send: () => undefined } },
    ...{ peers: () => [], receive: () => undefined },
  };
  await new LoadPublisher(options as unknown as LoadPublisherOptions).run();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / 1000 / MEASUREMENTS;
}

for (const waiting of [false, true]) {
  const ms = await measure(waiting);
  console.log(`${waiting ? "overload" : "calm"}: ${ms.toFixed(2)} ms of processor time`);
}
