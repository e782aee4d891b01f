import type { ListedRun, RunLists } from "../../ports/job-backend.ts";
import type { ActiveRun } from "./run-registry.ts";

/** What a list of runs says about the runs that are believed to be on a backend server. */
export interface Reconciliation {
  /** Runs that are listed as running, with what is listed. */
  readonly present: readonly (readonly [ActiveRun, ListedRun])[];
  /** Runs that are neither running nor ended, and can't start any more. */
  readonly vanished: readonly ActiveRun[];
  /** Runs whose start was not answered and that are not there yet. */
  readonly missing: readonly ActiveRun[];
  /** Listed runs that nobody accounts for. */
  readonly unknown: readonly ListedRun[];
}

/**
 * Compares lists with belief. Only what was settled before the lists were asked for (`askedAt`) can
 * be concluded from an absence, because an order may overtake the question.
 */
export function reconcile(
  runs: readonly ActiveRun[],
  lists: RunLists,
  askedAt: number,
): Reconciliation {
  const listed = new Map(lists.running.map((run) => [run.task, run]));
  const present: (readonly [ActiveRun, ListedRun])[] = [];
  const vanished: ActiveRun[] = [];
  const missing: ActiveRun[] = [];
  const accounted = new Set<ListedRun>();
  for (const run of runs) {
    const found = listed.get(run.task.name);
    if (found?.run === run.run) {
      accounted.add(found);
      present.push([run, found]);
    } else if (run.since < askedAt) {
      if (run.phase === "unconfirmed") missing.push(run);
      else if (run.phase !== "recording" && run.phase !== "starting") vanished.push(run);
    }
  }
  const unknown = lists.running.filter((run) => !accounted.has(run));
  return { present, vanished, missing, unknown };
}
