import type { Resources, StepSpec } from "../../../protocol/job-spec.ts";
import { fits } from "./resources.ts";

/** Minimum number of backend servers over which the tasks of a long-running step are spread. */
const MIN_LONG_TASK_SERVERS = 2;

/** A backend server that may take a task. */
export interface PlacementCandidate {
  readonly id: string;
  readonly rack: string;
  readonly zone: string;
  readonly labels: readonly string[];
  /** Free capacity. */
  readonly free: Resources;
  /** Number of tasks of the same occurrence of the step on this backend server. */
  readonly tasksOfStep: number;
  /** Number of tasks of the same occurrence of the step on this rack. */
  readonly tasksOfStepOnRack: number;
  /** Number of long-running tasks of all jobs on this backend server. */
  readonly longTasks: number;
  /** True if tasks on this backend server took far longer than estimated. */
  readonly slow: boolean;
  /** 1 if the backend server has just started and is slow, 0 if it is warm. */
  readonly coldness: number;
  /** True if maintenance will end the tasks on this backend server. */
  readonly maintenancePending: boolean;
  /** Number of consecutive failures on this backend server; lower is better. */
  readonly consecutiveFailures: number;
  /** True if the task failed on this backend server before. */
  readonly failedHere: boolean;
}

/**
 * Chooses the backend server for a task, or undefined if none is admissible.
 *
 * Steps with many tasks arrive in bursts. A short task goes to the backend server with the least free
 * processor time, so that whole backend servers stay free for the large tasks of the next step.
 * Long-running tasks are packed on a few backend servers, but not all on one, because a lost server
 * or a maintenance wave should end only a small part of them.
 */
export function choosePlacement<T extends PlacementCandidate>(
  step: StepSpec,
  demand: Resources,
  candidates: readonly T[],
): T | undefined {
  let best: T | undefined;
  for (const candidate of candidates) {
    if (!isAdmissible(step, demand, candidate)) continue;
    if (best === undefined || compareCandidates(step, candidate, best) < 0) best = candidate;
  }
  return best;
}

/** True if the step's constraints and the free capacity allow the task on a backend server. */
export function isAdmissible(
  step: StepSpec,
  demand: Resources,
  { free, labels, tasksOfStep }: Pick<PlacementCandidate, "free" | "labels" | "tasksOfStep">,
): boolean {
  if (step.requiredLabel !== "" && !labels.includes(step.requiredLabel)) return false;
  if (step.maxPerServer > 0 && tasksOfStep >= step.maxPerServer) return false;
  return fits(demand, free);
}

/** Negative if `a` is the better candidate. */
function compareCandidates(step: StepSpec, a: PlacementCandidate, b: PlacementCandidate): number {
  return compareSuitability(step, a, b) || freeCpuRank(step, a) - freeCpuRank(step, b);
}

/** Negative if `a` is the better candidate whatever processor time is free. */
export function compareSuitability(
  step: StepSpec,
  a: PlacementCandidate,
  b: PlacementCandidate,
): number {
  return (
    Number(a.failedHere) - Number(b.failedHere) ||
    Number(a.slow) - Number(b.slow) ||
    a.coldness - b.coldness ||
    rackMismatch(step, a) - rackMismatch(step, b) ||
    a.consecutiveFailures - b.consecutiveFailures ||
    interruptedSoon(step, a) - interruptedSoon(step, b) ||
    Number(exceedsShare(step, a.tasksOfStep)) - Number(exceedsShare(step, b.tasksOfStep)) ||
    joinsLongTasks(step, b) - joinsLongTasks(step, a)
  );
}

/** 1 if the task would be slower because of the candidate's rack, else 0. */
function rackMismatch(step: StepSpec, { rack, tasksOfStepOnRack }: PlacementCandidate): number {
  if (step.dataRack !== "") return rack === step.dataRack ? 0 : 1;
  if (step.sameRack) return tasksOfStepOnRack > 0 ? 0 : 1;
  return 0;
}

/** 1 if a long-running task would soon have to move because of maintenance, else 0. */
function interruptedSoon(step: StepSpec, { maintenancePending }: PlacementCandidate): number {
  return step.longRunning && maintenancePending ? 1 : 0;
}

/** Most tasks of a long-running step that one backend server should run. */
export function shareOfServer({ tasks }: StepSpec): number {
  return Math.ceil(tasks / MIN_LONG_TASK_SERVERS);
}

/** True if one more task of a long-running step would be too many on a server that runs `tasksOfStep`. */
export function exceedsShare(step: StepSpec, tasksOfStep: number): boolean {
  return step.longRunning && tasksOfStep >= shareOfServer(step);
}

/**
 * 1 if a long-running task would join others, else 0. Packing them on few backend servers lets the
 * other servers leave the pool when idle.
 */
function joinsLongTasks(step: StepSpec, { longTasks }: PlacementCandidate): number {
  return step.longRunning ? Math.min(1, longTasks) : 0;
}

function freeCpuRank(step: StepSpec, { free }: PlacementCandidate): number {
  // Fillers go where most processor time is free, since they slow down serving tasks least there.
  return step.filler ? -free.cpuMillis : free.cpuMillis;
}
