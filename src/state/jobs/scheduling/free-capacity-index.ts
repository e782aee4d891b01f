import type { Resources, StepSpec } from "../../../protocol/job-spec.ts";
import { compareSuitability, isAdmissible, type PlacementCandidate } from "./placement.ts";

/** A candidate in the index. */
interface Entry<T> {
  readonly candidate: T;
  /** Position among the candidates, which decides between equally good ones. */
  readonly position: number;
  readonly group: Entry<T>[];
}

/**
 * Candidates in order of preference: groups of equal suitability, each sorted by free processor time.
 * Finds the same backend server as a scan with `choosePlacement`, but reads only the candidates from
 * the least sufficient one on.
 */
export class FreeCapacityIndex<T extends PlacementCandidate> {
  /** Groups by decreasing suitability. */
  readonly #groups: Entry<T>[][] = [];
  readonly #entries = new Map<T, Entry<T>>();

  constructor(candidates: readonly T[]) {
    const order = candidates.map((candidate, position) => ({ candidate, position }));
    order.sort(
      (a, b) => comparePlain(a.candidate, b.candidate) || compareFree(a.candidate, b.candidate),
    );
    let group: Entry<T>[] = [];
    for (const { candidate, position } of order) {
      const last = group.at(-1)?.candidate;
      if (last === undefined || comparePlain(last, candidate) !== 0) {
        group = [];
        this.#groups.push(group);
      }
      const entry = { candidate, position, group };
      group.push(entry);
      this.#entries.set(candidate, entry);
    }
  }

  /** True if the preference among candidates is the same for this step as for most steps. */
  static supports(step: StepSpec): boolean {
    return !step.longRunning && !step.filler && !step.sameRack && step.dataRack === "";
  }

  /** Returns the best admissible candidate for a supported step; undefined if there is none. */
  choose(step: StepSpec, demand: Resources): T | undefined {
    for (const group of this.#groups) {
      const from = firstWithCpu(group, demand.cpuMillis);
      for (let at = from; at < group.length; at++) {
        const candidate = group[at]?.candidate;
        if (candidate !== undefined && isAdmissible(step, demand, candidate)) return candidate;
      }
    }
    return undefined;
  }

  /** Applies a change of a candidate's free capacity and keeps the order. */
  update(candidate: T, change: () => void): void {
    const entry = this.#entries.get(candidate);
    if (entry === undefined) {
      change();
      return;
    }
    const { group } = entry;
    group.splice(insertionPoint(group, entry), 1);
    change();
    group.splice(insertionPoint(group, entry), 0, entry);
  }
}

/** A step without preferences of its own. */
const PLAIN_STEP = { longRunning: false, sameRack: false, dataRack: "" } as StepSpec;

function comparePlain(a: PlacementCandidate, b: PlacementCandidate): number {
  return compareSuitability(PLAIN_STEP, a, b);
}

function compareFree(a: PlacementCandidate, b: PlacementCandidate): number {
  return a.free.cpuMillis - b.free.cpuMillis;
}

/** Index of the first entry with at least the given free processor time. */
function firstWithCpu<T extends PlacementCandidate>(
  group: readonly Entry<T>[],
  cpuMillis: number,
): number {
  return firstIndex(group, ({ candidate }) => candidate.free.cpuMillis >= cpuMillis);
}

/** Index at which an entry is, or belongs, in its group. */
function insertionPoint<T extends PlacementCandidate>(
  group: readonly Entry<T>[],
  entry: Entry<T>,
): number {
  return firstIndex(
    group,
    (other) =>
      (compareFree(other.candidate, entry.candidate) || other.position - entry.position) >= 0,
  );
}

/** First index from which on the condition holds; the length if it never holds. */
function firstIndex<E>(sorted: readonly E[], condition: (entry: E) => boolean): number {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    const entry = sorted[middle];
    if (entry === undefined || condition(entry)) high = middle;
    else low = middle + 1;
  }
  return low;
}
