import type { Clock } from "../../../ports/clock.ts";
import type { JobSpec } from "../../../protocol/job-spec.ts";
import type { PlacementExplanation, StepPlacement } from "../../../protocol/placement-answers.ts";
import { keptFreeWhileCold } from "../../../state/jobs/execution/cold-start.ts";
import { Job, type StepRun } from "../../../state/jobs/records/job.ts";
import {
  compareStepRanks,
  rankStep,
  UNKNOWN_QUEUE_URGENCY,
  type StepRank,
} from "../../../state/jobs/scheduling/job-order.ts";
import {
  explainCandidates,
  type ExplainedServer,
  type UnavailableReason,
} from "../../../state/jobs/scheduling/placement-explanation.ts";
import { subtract, withinCap } from "../../../state/jobs/scheduling/resources.ts";
import type { FleetConfigView } from "../config-view.ts";
import type { ServerDriver } from "../execution/server-driver.ts";
import type { Scheduler } from "./scheduler.ts";

/** Options of {@link explainPlacement}. */
export interface PlacementExplainerOptions {
  readonly clock: Clock;
  readonly config: FleetConfigView;
  readonly scheduler: Pick<Scheduler, "jobRegistry" | "drivers" | "durations" | "tracker">;
  /** Name of this entry instance. */
  readonly name: string;
}

/** Explains where the scheduler would place a job now. The job itself is not added to anything. */
export function explainPlacement(
  spec: JobSpec,
  options: PlacementExplainerOptions,
): PlacementExplanation {
  const { config, scheduler, name } = options;
  const job = new Job({ ...spec, schedule: undefined });
  const ready = new Set(job.readySteps());
  const waiting = waitingRanks(spec.pool, options);
  const servers = explainedServers(spec.pool, options);
  const settings =
    spec.organisation === undefined ? undefined : config.organisation(spec.organisation);
  const used = scheduler.tracker.runRegistry.usedByOrganisation(spec.organisation ?? "");
  const steps = (job.occurrences[0]?.steps ?? []).map((step): StepPlacement => {
    const rank = rankOf(step, options);
    const ahead = waiting.filter((other) => compareStepRanks(other, rank) <= 0);
    return {
      ...{ step: step.position, tasks: step.tasks.length, class: classOf(rank, ready.has(step)) },
      stepsAhead: ahead.length,
      latestStartInMs: Math.round(rank.latestStartMs - options.clock.wallTime()),
      withinCap: settings === undefined || withinCap(used, step.spec.demand, settings.cap),
      groups: explainCandidates(step.spec, servers),
    };
  });
  const cap = settings === undefined ? {} : { cap: { used, cap: settings.cap } };
  return { scheduler: name, steps, ...cap };
}

function classOf(rank: StepRank, ready: boolean): StepPlacement["class"] {
  if (!ready) return "after-others";
  if (rank.longRunning) return "long-running";
  return rank.canBeOnTime ? "on-time" : "late";
}

function rankOf(step: StepRun, options: PlacementExplainerOptions): StepRank {
  const { clock, config, scheduler } = options;
  const { job } = step;
  const queue = config.queueOf(job.spec) ?? UNKNOWN_QUEUE_URGENCY;
  const releasedAtMs = job.occurrences[step.occurrence]?.releasedAtMs ?? clock.wallTime();
  const { steps } = job.occurrences[step.occurrence] ?? { steps: [step] };
  const occurrence = { number: step.occurrence, releasedAtMs, steps };
  return rankStep(step, occurrence, queue, clock.wallTime(), scheduler.durations);
}

function waitingRanks(pool: string, options: PlacementExplainerOptions): readonly StepRank[] {
  const { config, scheduler } = options;
  const ranks: StepRank[] = [];
  for (const job of scheduler.jobRegistry.openJobs) {
    if (config.poolOf(job.spec) !== pool) continue;
    for (const step of job.readySteps()) ranks.push(rankOf(step, options));
  }
  return ranks;
}

function explainedServers(
  pool: string,
  { clock, scheduler }: PlacementExplainerOptions,
): readonly ExplainedServer[] {
  const { runRegistry } = scheduler.tracker;
  return [...scheduler.drivers.all()]
    .filter(({ registration }) => registration.pool === pool)
    .map((driver) => {
      const { id, zone, labels, capacity } = driver.registration;
      const free = subtract(capacity, runRegistry.usedOnServer(id));
      // As in a placement round, an empty cold server takes any task that fits.
      const coldness = runRegistry.countOn(id) > 0 ? driver.coldness : 0;
      const coldCpuMillis = keptFreeWhileCold(capacity.cpuMillis, coldness);
      const unavailable = unavailableReason(driver, clock.now());
      return { zone, labels, free, coldCpuMillis, unavailable };
    });
}

function unavailableReason(driver: ServerDriver, now: number): UnavailableReason | undefined {
  if (driver.absent || driver.closed) return "absent";
  if (driver.registration.draining) return "draining";
  if (driver.evacuated) return "evacuated";
  if (driver.reserved) return "planned-work";
  if (!driver.reachable) return "unreachable";
  if (!driver.adopted) return "not-adopted";
  if (driver.notBefore > now) return "start-failed";
  return driver.speed.slow || driver.health.onProbation ? "slow-or-failing" : undefined;
}
