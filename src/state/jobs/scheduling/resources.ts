import type { Resources, StepSpec } from "../../../protocol/job-spec.ts";

/** The amount 0 of every resource. */
export const NO_RESOURCES: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };

/** A sum that is changed in place, for sums over thousands of amounts. */
export type ResourceSum = { -readonly [K in keyof Resources]: number };

/** A sum of nothing. A literal, because copies by spread are several times slower to make and read. */
export function emptySum(): ResourceSum {
  return { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
}

/** Adds `factor` times an amount to a sum. */
export function accumulate(sum: ResourceSum, amount: Resources, factor = 1): void {
  sum.cpuMillis += amount.cpuMillis * factor;
  sum.memoryMb += amount.memoryMb * factor;
  sum.accelerators += amount.accelerators * factor;
}

/** Sum of two amounts. */
export function add(a: Resources, b: Resources): Resources {
  return {
    cpuMillis: a.cpuMillis + b.cpuMillis,
    memoryMb: a.memoryMb + b.memoryMb,
    accelerators: a.accelerators + b.accelerators,
  };
}

/** Difference of two amounts. */
export function subtract(a: Resources, b: Resources): Resources {
  return {
    cpuMillis: a.cpuMillis - b.cpuMillis,
    memoryMb: a.memoryMb - b.memoryMb,
    accelerators: a.accelerators - b.accelerators,
  };
}

/** An amount multiplied by a factor. */
export function times(a: Resources, factor: number): Resources {
  return {
    cpuMillis: a.cpuMillis * factor,
    memoryMb: a.memoryMb * factor,
    accelerators: a.accelerators * factor,
  };
}

/** True if `a` is at most `b` in every resource. */
export function fits(a: Resources, b: Resources): boolean {
  return a.cpuMillis <= b.cpuMillis && a.memoryMb <= b.memoryMb && a.accelerators <= b.accelerators;
}

/** True if the sum of `used` and `more` stays within a cap, where 0 means no limit. */
export function withinCap(used: Resources, more: Resources, cap: Resources): boolean {
  return (
    (cap.cpuMillis === 0 || used.cpuMillis + more.cpuMillis <= cap.cpuMillis) &&
    (cap.memoryMb === 0 || used.memoryMb + more.memoryMb <= cap.memoryMb) &&
    (cap.accelerators === 0 || used.accelerators + more.accelerators <= cap.accelerators)
  );
}

/** Resources that one task of a step occupies on its backend server; fillers reserve no CPU time. */
export function resourcesOccupied(step: StepSpec): Resources {
  return step.filler ? { ...step.demand, cpuMillis: 0 } : step.demand;
}
