import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  LoadPublisher,
  type LoadPublisherOptions,
} from "../../../src/coordination/jobs/admission/load-publisher.ts";
import { objectives } from "../../../src/state/jobs/admission/queue-load.ts";
import { Job } from "../../../src/state/jobs/records/job.ts";
import { DurationModels } from "../../../src/state/jobs/scheduling/duration-model.ts";
import { fleetConfig, jobRequest, queueConfig, step } from "../../fakes/jobs/job-builders.ts";
import { jobSpec } from "../../fakes/jobs/run-builders.ts";
import { VirtualClock } from "../../fakes/virtual-clock.ts";

const QUEUE = queueConfig({ stretch: 1.5, targetLatencyMs: 400 });
const { limitMs } = objectives(QUEUE, 400);

// Guards against measurements of all open jobs twice a second while the scheduler has none to spare.
test("queues are measured only while a ready step has waited for a tenth of its limit", async () => {
  const clock = new VirtualClock();
  const tenure = new AbortController();
  const job = new Job({ ...jobSpec(jobRequest(step())), queue: "queue", pool: "pool" });
  const [ready] = job.readySteps();
  let measured = 0;
  const publisher = new LoadPublisher({
    ...{ clock, tenure: { signal: tenure.signal, valid: true, token: 1 } },
    config: { current: fleetConfig({ queues: [QUEUE] }), queueOf: () => QUEUE },
    scheduler: {
      ...{ ready: true, durations: new DurationModels(), jobRegistry: { openJobs: [job] } },
      drivers: { all: () => [] },
    },
    ...{ notifier: undefined, peers: () => [], receive: () => undefined },
    get instances() {
      measured++;
      return undefined;
    },
  } as unknown as LoadPublisherOptions);
  void publisher.run();
  const measurements = async (waitedMs: number | undefined) => {
    measured = 0;
    ready!.readyAt = waitedMs === undefined ? undefined : clock.now() + 500 - waitedMs;
    await clock.advance(500);
    return measured;
  };
  assert.is(await measurements(undefined), 0);
  assert.is(await measurements(0.09 * limitMs), 0);
  assert.is(await measurements(0.11 * limitMs), 1);
  job.task(0, 0, 0)!.done = true;
  assert.is(await measurements(0.5 * limitMs), 0);
  tenure.abort();
});

test.run();
