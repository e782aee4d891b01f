import { Job } from "../../src/state/jobs/records/job.ts";
import { DurationModels } from "../../src/state/jobs/scheduling/duration-model.ts";
import { rankStep } from "../../src/state/jobs/scheduling/job-order.ts";
import { StepPlanner, type RankedStep } from "../../src/state/jobs/scheduling/step-planner.ts";
import { SeededRandom } from "../../test/fakes/seeded-random.ts";
import { arrivalsOf, LOAD_PATTERNS } from "./load-patterns.ts";
import { ReplayedFleet } from "./replay.ts";

const URGENCY = { priority: 1, stretch: 1.6, targetLatencyMs: 600 };
const WARM_UP_ROUNDS = 100;
const MEASURED_ROUNDS = 200;

/** Microseconds of CPU time that one plan of the given number of waiting steps takes. */
export function planCostMicros(steps: number): number {
  const durations = new DurationModels();
  const planner = new StepPlanner(durations);
  const waiting = waitingSteps(steps, durations);
  const fleet = new ReplayedFleet([0, 0, 0, 1], 0, new Map([["a", 20]]));
  const plan = (round: number): void => {
    planner.sort([...waiting], fleet, round * 10);
  };
  for (let round = 1; round <= WARM_UP_ROUNDS; round++) plan(round);
  const before = process.cpuUsage();
  for (let round = 1; round <= MEASURED_ROUNDS; round++) plan(WARM_UP_ROUNDS + round);
  const { user, system } = process.cpuUsage(before);
  return (user + system) / MEASURED_ROUNDS;
}

function waitingSteps(count: number, durations: DurationModels): readonly RankedStep[] {
  const pattern = LOAD_PATTERNS.find(({ name }) => name === "organisation")!;
  const arrivals = arrivalsOf(pattern, new SeededRandom(1));
  return Array.from({ length: count }, (_, n) => {
    const { stream, steps } = arrivals[n % arrivals.length]!;
    const { queue, organisation } = stream;
    const job = new Job({
      ...{ id: `j${n}`, queue, organisation, pool: "pool", acceptedAtMs: n },
      ...{ spec: "", steps, schedule: undefined },
    });
    const [occurrence] = job.occurrences;
    const [step] = occurrence!.steps;
    const rank = rankStep(step!, occurrence!, URGENCY, 0, durations);
    return { step: step!, rank, pool: "pool", urgency: URGENCY };
  });
}
