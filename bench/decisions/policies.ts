import { compareStepRanks } from "../../src/state/jobs/scheduling/job-order.ts";
import type { DurationModels } from "../../src/state/jobs/scheduling/duration-model.ts";
import {
  type PlannedFleet,
  type RankedStep,
  StepPlanner,
} from "../../src/state/jobs/scheduling/step-planner.ts";

/** Decides in which order ready steps are placed. */
export abstract class OrderPolicy {
  abstract sort(steps: RankedStep[], fleet: PlannedFleet, now: number): readonly RankedStep[];
}

/** First come, first served. */
class ArrivalOrder extends OrderPolicy {
  sort(steps: RankedStep[]): readonly RankedStep[] {
    return steps.sort((a, b) => releasedAt(a) - releasedAt(b));
  }
}

/** Earliest latest start first, judging each step alone. */
class RankOrder extends OrderPolicy {
  sort(steps: RankedStep[]): readonly RankedStep[] {
    return steps.sort((a, b) => compareStepRanks(a.rank, b.rank));
  }
}

/** The queue plan. */
class PlanOrder extends OrderPolicy {
  readonly #planner: StepPlanner;

  constructor(durations: DurationModels) {
    super();
    this.#planner = new StepPlanner(durations);
  }

  sort(steps: RankedStep[], fleet: PlannedFleet, now: number): readonly RankedStep[] {
    return this.#planner.sort(steps, fleet, now);
  }
}

/** The compared policies. */
export const POLICIES = ["arrival", "rank", "plan"] as const;
export type PolicyName = (typeof POLICIES)[number];

export function createPolicy(name: PolicyName, durations: DurationModels): OrderPolicy {
  if (name === "arrival") return new ArrivalOrder();
  return name === "rank" ? new RankOrder() : new PlanOrder(durations);
}

function releasedAt({ step }: RankedStep): number {
  return step.job.spec.acceptedAtMs;
}
