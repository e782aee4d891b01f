import type { Resources, StepSpec } from "../../protocol/job-spec.ts";

/** Nothing. */
export const NO_RESOURCES: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };

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

/** An amount multiplied. */
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

/** True if `used` and `more` stay within a cap, in which 0 stands for no limit. */
export function withinCap(used: Resources, more: Resources, cap: Resources): boolean {
  return (
    (cap.cpuMillis === 0 || used.cpuMillis + more.cpuMillis <= cap.cpuMillis) &&
    (cap.memoryMb === 0 || used.memoryMb + more.memoryMb <= cap.memoryMb) &&
    (cap.accelerators === 0 || used.accelerators + more.accelerators <= cap.accelerators)
  );
}

/** What one task of a step occupies on its backend server. */
export function occupied(step: StepSpec): Resources {
  return step.filler ? { ...step.demand, cpuMillis: 0 } : step.demand;
}
