import type { FleetConfig } from "../../../src/protocol/fleet-config.ts";
import type { JobRequest, StepSpec } from "../../../src/protocol/job-spec.ts";
import type { PlacementAdvisor } from "../../../src/ports/placement-advisor.ts";
import type {
  ObservedRun,
  SimulatedJobServer,
  TaskBehaviour,
} from "../../../src/stand-ins/simulated-job-server.ts";
import { SeededRandom } from "../seeded-random.ts";
import { advanceUntilSettled } from "../virtual-clock.ts";
import { FakeInstances, POOL, SPARE_POOL, type SpareInstance } from "./fake-instances.ts";
import { cpu, fleetConfig, jobRequest, step } from "./job-builders.ts";
import { JobCluster, type ClusterEntry } from "./job-cluster.ts";

/** A job with three long-running tasks of four cores, one of which may be away. */
export const LEDGER = "ledger";
/** The job that fills the server with one ledger task. */
export const FILLING_JOB = "roll";
const LEDGER_TASKS = 3;
const DEFAULT_LABELS = ["kind", "rack"];
const SETTLED_MS = 4000;
const STEP_MS = 100;

/** Options of {@link crowdedCluster}. */
export interface CrowdedClusterOptions {
  /** Changes to the step of the ledger job. */
  readonly ledger?: Partial<StepSpec>;
  /** The step that fills the other server. @default one long-running task of eight cores */
  readonly filling?: StepSpec;
  /** How tasks behave, by name. @default all last until they are stopped */
  readonly behaviour?: (task: string, cluster: JobCluster) => TaskBehaviour;
  readonly spares?: readonly SpareInstance[];
  readonly config?: FleetConfig;
  readonly advisor?: PlacementAdvisor;
  readonly organisation?: string;
  readonly stopMs?: number;
  /** Labels of both servers at first. */
  readonly labels?: readonly string[];
}

/** A configuration with the pool of the servers and a spare pool. */
export function configWithSparePool(changes: Partial<FleetConfig> = {}): FleetConfig {
  return fleetConfig({
    pools: [
      { name: POOL, admissionCheck: false, spare: false },
      { name: SPARE_POOL, admissionCheck: false, spare: true },
    ],
    ...changes,
  });
}

/** A step of long-running tasks, one of which may be away. */
export function longRunningStep(
  tasks: number,
  cpuMillis: number,
  changes: Partial<StepSpec> = {},
): StepSpec {
  const fixed = { tasks, longRunning: true, availabilityBudget: 1, demand: cpu(cpuMillis) };
  return step({ ...fixed, ...changes });
}

/**
 * Two full servers of twelve cores: two ledger tasks run on one, which is to be maintained, the third
 * one and the filling job on the other.
 */
export async function crowdedCluster(options: CrowdedClusterOptions = {}) {
  const { behaviour = () => ({ durationMs: undefined }), spares, organisation } = options;
  let instances: FakeInstances | undefined;
  const cluster: JobCluster = new JobCluster({
    ...{ random: new SeededRandom(1), entries: 2, servers: 2 },
    capacity: { cpuMillis: 12_000, memoryMb: 8000, accelerators: 0 },
    behaviour: (task) => behaviour(task, cluster),
    instances: (owner) => (instances = new FakeInstances(owner, spares)),
    config: options.config ?? configWithSparePool(),
    ...(options.advisor === undefined ? {} : { advisor: options.advisor }),
    stopMs: options.stopMs ?? 0,
  });
  for (const id of cluster.servers.keys())
    if (options.labels !== undefined) cluster.setLabels(id, options.labels);
  const { clock } = cluster;
  const advance = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      await clock.advance(STEP_MS);
      cluster.updateServers();
    }
  };
  const submit = async (id: string, job: JobRequest, queue?: string): Promise<void> => {
    const target = cluster.scheduler ?? (await cluster.electScheduler());
    await advanceUntilSettled(clock, cluster.submit(target, id, job, organisation, queue));
  };
  const scheduler: ClusterEntry = await cluster.electScheduler();
  await submit(LEDGER, jobRequest(longRunningStep(LEDGER_TASKS, 4000, options.ledger)));
  await advance(SETTLED_MS);
  const servers = [...cluster.servers.values()];
  const due = servers.find(({ running }) => running.length === 2)!;
  const other = servers.find((server) => server !== due)!;
  const labels = [...(options.labels ?? DEFAULT_LABELS), FILLING_JOB];
  cluster.setLabels(other.id, labels);
  const filling = options.filling ?? longRunningStep(1, 8000);
  await submit(FILLING_JOB, jobRequest({ ...filling, requiredLabel: FILLING_JOB }));
  await advance(SETTLED_MS);
  const requestWave = (wave = 1, of: readonly SimulatedJobServer[] = [due]): void => {
    const names = of.map(({ id }) => FakeInstances.nameOf(id));
    cluster.requestWave(wave, names, names.length);
  };
  const { maintained } = instances!;
  return { cluster, clock, scheduler, due, other, advance, submit, requestWave, maintained };
}

/** Runs of the ledger job by task, in order of their start. */
function ledgerRuns({ servers }: JobCluster): readonly (readonly ObservedRun[])[] {
  const runs = [...servers.values()].flatMap(({ history }) => history);
  const tasks = new Set(runs.map(({ task }) => task).filter((task) => task.startsWith(LEDGER)));
  return [...tasks]
    .sort()
    .map((name) =>
      runs.filter(({ task }) => task === name).sort((a, b) => a.startedAt - b.startedAt),
    );
}

/** Number of runs of each ledger task that were stopped. */
export function ledgerStops(cluster: JobCluster): readonly number[] {
  return ledgerRuns(cluster).map((runs) => runs.filter(({ end }) => end === "stopped").length);
}

/** Longest time in ms between the stop of a ledger task and its next start, up to now. */
export function longestMoveMs(cluster: JobCluster): number {
  const now = cluster.clock.now();
  const moves = ledgerRuns(cluster).flatMap((runs) =>
    runs.flatMap(({ end, endedAt = now }, position) =>
      end === "stopped" ? [(runs[position + 1]?.startedAt ?? now) - endedAt] : [],
    ),
  );
  return Math.max(0, ...moves);
}

/** Longest time in ms that each ledger task was without a run, up to now. */
export function longestGapsMs(cluster: JobCluster): readonly number[] {
  const now = cluster.clock.now();
  return ledgerRuns(cluster).map((runs) =>
    Math.max(
      ...runs.map(
        ({ endedAt = now }, position) => (runs[position + 1]?.startedAt ?? now) - endedAt,
      ),
    ),
  );
}
