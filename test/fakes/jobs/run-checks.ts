import type {
  ObservedRun,
  SimulatedJobServer,
} from "../../../src/stand-ins/simulated-job-server.ts";

/**
 * Describes each start of a task while another run of it was active, or after one had ended as done
 * and its end was acknowledged.
 */
export function repeatedStarts(servers: Iterable<SimulatedJobServer>): readonly string[] {
  const byTask = new Map<string, ObservedRun[]>();
  for (const { history } of servers)
    for (const run of history) byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]);
  return [...byTask.values()].flatMap((runs) =>
    runs.flatMap((run) =>
      runs.filter((other) => other !== run && isRepeated(run, other)).map((o) => describe(run, o)),
    ),
  );
}

function isRepeated(
  run: ObservedRun,
  { startedAt, endedAt, end, acknowledged }: ObservedRun,
): boolean {
  if (run.startedAt < startedAt) return false;
  if (endedAt === undefined || run.startedAt < endedAt) return true;
  return end === "done" && acknowledged;
}

function describe({ task, run, server, startedAt }: ObservedRun, other: ObservedRun): string {
  return `${task} run ${run} on ${server} at ${startedAt}, run ${other.run} on ${other.server} from ${other.startedAt} to ${other.endedAt}`;
}
