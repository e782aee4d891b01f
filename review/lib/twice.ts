/** Rule TWICE, as far as the records of the workers decide it. */
import type { WorkerRun } from "./worker.ts";

/**
 * Starts while another run of the task was at work on a worker that is up, and starts after a run
 * that ended `done` and whose end was taken note of.
 */
export function startsTwice(runs: readonly WorkerRun[]): readonly string[] {
  const byTask = new Map<string, WorkerRun[]>();
  for (const run of runs) byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]);
  return [...byTask.values()].flatMap((group) =>
    group.flatMap((run) =>
      group.filter((other) => other !== run).flatMap((other) => describe(run, other) ?? []),
    ),
  );
}

function describe(run: WorkerRun, other: WorkerRun): string | undefined {
  if (run.startedAt < other.startedAt) return undefined;
  const name = `${run.task} run ${run.run} starts on ${run.worker}`;
  const of = `run ${other.run} on ${other.worker}`;
  if (other.endedAt === undefined || run.startedAt < other.endedAt)
    return `TWICE: ${name} while ${of} is at work`;
  if (other.how !== "done" || other.notedAt === undefined) return undefined;
  const ms = Math.round(run.startedAt - other.endedAt);
  return `TWICE: ${name} ${ms} ms after ${of} ended done, an end that was taken note of`;
}
