import type { Resources, StepSpec } from "../../protocol/job-spec.ts";
import { fits, subtract } from "./resources.ts";

/** A backend server that may take a task, with what is free on it. */
export interface PlacementCandidate {
  readonly id: string;
  readonly rack: string;
  readonly zone: string;
  readonly labels: readonly string[];
  readonly free: Resources;
  /** Tasks of the same occurrence of the step on this backend server. */
  readonly ofStep: number;
  /** Tasks of the same occurrence of the step on this rack. */
  readonly ofStepOnRack: number;
  /** Lower is better: recent failures on this backend server. */
  readonly penalty: number;
  /** The task failed here before. */
  readonly failedHere: boolean;
}

/**
 * Chooses the backend server for a task, or undefined if none has room.
 *
 * Answers bursts of wide steps: short tasks fill the backend server that they leave the least
 * processor time on, so that whole backend servers stay free for the large tasks of the next step.
 * Long-running tasks are spread over racks instead, because a lost rack or a maintenance wave must
 * not take more of them than their availability budget.
 */
export function choosePlacement(
  step: StepSpec,
  demand: Resources,
  candidates: readonly PlacementCandidate[],
): PlacementCandidate | undefined {
  let best: PlacementCandidate | undefined;
  for (const candidate of candidates) {
    if (!admissible(step, demand, candidate)) continue;
    if (best === undefined || compare(step, demand, candidate, best) < 0) best = candidate;
  }
  return best;
}

/** True if the step's rules and the free capacity allow the task there. */
export function admissible(
  step: StepSpec,
  demand: Resources,
  { free, labels, ofStep }: PlacementCandidate,
): boolean {
  if (step.requiredLabel !== "" && !labels.includes(step.requiredLabel)) return false;
  if (step.maxPerServer > 0 && ofStep >= step.maxPerServer) return false;
  return fits(demand, free);
}

/** Negative if `a` is the better place. */
function compare(
  step: StepSpec,
  demand: Resources,
  a: PlacementCandidate,
  b: PlacementCandidate,
): number {
  return (
    Number(a.failedHere) - Number(b.failedHere) ||
    distance(step, a) - distance(step, b) ||
    a.penalty - b.penalty ||
    spread(step, a) - spread(step, b) ||
    a.ofStep - b.ofStep ||
    left(step, demand, a) - left(step, demand, b)
  );
}

/** 1 where the task would be slower because of its rack. */
function distance(step: StepSpec, { rack, ofStepOnRack }: PlacementCandidate): number {
  if (step.dataRack !== "") return rack === step.dataRack ? 0 : 1;
  if (step.sameRack) return ofStepOnRack > 0 ? 0 : 1;
  return 0;
}

function spread(step: StepSpec, { ofStepOnRack }: PlacementCandidate): number {
  return step.longRunning ? ofStepOnRack : 0;
}

function left(step: StepSpec, demand: Resources, { free }: PlacementCandidate): number {
  const { cpuMillis } = subtract(free, demand);
  // Long-running tasks and fillers go where most is free, to disturb each other least.
  return step.longRunning || step.filler ? -cpuMillis : cpuMillis;
}
