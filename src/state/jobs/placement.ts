import type { Resources, StepSpec } from "../../protocol/job-spec.ts";
import { fits } from "./resources.ts";

/** Backend servers over which the tasks of a long-running step are spread at least. */
const LONG_TASK_SERVERS = 2;

/** A backend server that may take a task, with what is free on it. */
export interface PlacementCandidate {
  readonly id: string;
  readonly rack: string;
  readonly zone: string;
  readonly labels: readonly string[];
  readonly free: Resources;
  /** Tasks of the same occurrence of the step on this backend server. */
  readonly tasksOfStep: number;
  /** Tasks of the same occurrence of the step on this rack. */
  readonly tasksOfStepOnRack: number;
  /** Long-running tasks of all jobs on this backend server. */
  readonly longTasks: number;
  /** What ran there took far longer than estimated. */
  readonly slow: boolean;
  /** Maintenance will end what runs there. */
  readonly maintenanceAhead: boolean;
  /** Lower is better: recent failures on this backend server. */
  readonly recentFailures: number;
  /** The task failed here before. */
  readonly failedHere: boolean;
}

/**
 * Chooses the backend server for a task, or undefined if none has room.
 *
 * Answers bursts of wide steps: short tasks fill the backend server that they leave the least
 * processor time on, so that whole backend servers stay free for the large tasks of the next step.
 * Long-running tasks are gathered on a few backend servers, but not all on one, because a lost server
 * or a maintenance wave should take a small part of them.
 */
export function choosePlacement<T extends PlacementCandidate>(
  step: StepSpec,
  demand: Resources,
  candidates: readonly T[],
): T | undefined {
  let best: T | undefined;
  for (const candidate of candidates) {
    if (!admissible(step, demand, candidate)) continue;
    if (best === undefined || compare(step, candidate, best) < 0) best = candidate;
  }
  return best;
}

/** True if the step's rules and the free capacity allow the task there. */
export function admissible(
  step: StepSpec,
  demand: Resources,
  { free, labels, tasksOfStep: ofStep }: PlacementCandidate,
): boolean {
  if (step.requiredLabel !== "" && !labels.includes(step.requiredLabel)) return false;
  if (step.maxPerServer > 0 && ofStep >= step.maxPerServer) return false;
  return fits(demand, free);
}

/** Negative if `a` is the better place. */
function compare(step: StepSpec, a: PlacementCandidate, b: PlacementCandidate): number {
  return (
    Number(a.failedHere) - Number(b.failedHere) ||
    Number(a.slow) - Number(b.slow) ||
    distance(step, a) - distance(step, b) ||
    a.recentFailures - b.recentFailures ||
    interrupted(step, a) - interrupted(step, b) ||
    spread(step, a) - spread(step, b) ||
    gathered(step, b) - gathered(step, a) ||
    left(step, a) - left(step, b)
  );
}

/** 1 where the task would be slower because of its rack. */
function distance(
  step: StepSpec,
  { rack, tasksOfStepOnRack: ofStepOnRack }: PlacementCandidate,
): number {
  if (step.dataRack !== "") return rack === step.dataRack ? 0 : 1;
  if (step.sameRack) return ofStepOnRack > 0 ? 0 : 1;
  return 0;
}

/** 1 where a long-running task would have to move again soon. */
function interrupted(step: StepSpec, { maintenanceAhead }: PlacementCandidate): number {
  return step.longRunning && maintenanceAhead ? 1 : 0;
}

/** 1 where a long-running step would have more than its part of tasks on one backend server. */
function spread(step: StepSpec, { tasksOfStep: ofStep }: PlacementCandidate): number {
  if (!step.longRunning) return 0;
  return ofStep < Math.ceil(step.tasks / LONG_TASK_SERVERS) ? 0 : 1;
}

/** Long-running tasks share few backend servers, so that the others can leave the pool when idle. */
function gathered(step: StepSpec, { longTasks }: PlacementCandidate): number {
  return step.longRunning ? Math.min(1, longTasks) : 0;
}

function left(step: StepSpec, { free }: PlacementCandidate): number {
  // Fillers go where most is free, to disturb serving tasks least.
  return step.filler ? -free.cpuMillis : free.cpuMillis;
}
