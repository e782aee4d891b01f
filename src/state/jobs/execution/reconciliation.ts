import type { ListedRun, RunLists } from "../../../ports/job-backend.ts";
import type { ActiveRun } from "./run-registry.ts";

/** Comparison of a list of runs with the runs that are expected on a backend server. */
export interface Reconciliation {
  /** Runs that are listed as running, with their list entries. */
  readonly present: readonly (readonly [ActiveRun, ListedRun])[];
  /** Runs that are neither running nor ended and can no longer start. */
  readonly vanished: readonly ActiveRun[];
  /** Runs whose start was not answered and that are not listed yet. */
  readonly missing: readonly ActiveRun[];
  /** Listed runs that match no expected run. */
  readonly unknown: readonly ListedRun[];
}

/**
 * Compares the listed runs with the expected ones. The absence of a run counts only if the run's phase
 * last changed before the lists were requested (`askedAt`), because an order may overtake the request.
 */
export function reconcile(
  runs: Iterable<ActiveRun>,
  lists: RunLists,
  askedAt: number,
): Reconciliation {
  const listed = new Map<string, ListedRun>();
  for (const run of lists.running) listed.set(run.task, run);
  const present: (readonly [ActiveRun, ListedRun])[] = [];
  const vanished: ActiveRun[] = [];
  const missing: ActiveRun[] = [];
  for (const run of runs) {
    const found = listed.get(run.task.name);
    if (found?.run === run.run) {
      listed.delete(found.task);
      present.push([run, found]);
    } else if (run.since < askedAt) {
      if (run.phase === "unconfirmed") missing.push(run);
      else if (run.phase !== "recording" && run.phase !== "starting") vanished.push(run);
    }
  }
  return { present, vanished, missing, unknown: [...listed.values()] };
}
