import type { FleetConfig, JobQueueConfig } from "../../../src/protocol/fleet-config.ts";
import type { JobRequest, Resources, StepSpec } from "../../../src/protocol/job-spec.ts";
import { NO_RESOURCES } from "../../../src/state/jobs/scheduling/resources.ts";

/** A step with one task that needs one core. */
export function step(changes: Partial<StepSpec> = {}): StepSpec {
  return {
    ...{ tasks: 1, estimateMs: 400, after: [], checkpointing: false, gang: false },
    ...{ sameRack: false, requiredLabel: "", dataRack: "", maxPerServer: 0, speculative: false },
    ...{ longRunning: false, image: "", targetLatencyMs: 0, filler: false },
    ...{ availabilityBudget: 0, demand: { cpuMillis: 1000, memoryMb: 500, accelerators: 0 } },
    ...changes,
  };
}

/** A job request with the given steps. */
export function jobRequest(...steps: readonly StepSpec[]): JobRequest {
  return { spec: "work", steps, schedule: undefined };
}

/** The only queue of {@link fleetConfig}. */
export function queueConfig(changes: Partial<JobQueueConfig> = {}): JobQueueConfig {
  return {
    ...{ name: "queue", host: "host", prefix: "/queue/", pool: "pool", priority: 0 },
    ...{ maxAttempts: 3, stretch: 1.6, targetLatencyMs: 600, openToAll: true, advice: undefined },
    ...changes,
  };
}

/** A configuration with one queue, one pool and one organisation. */
export function fleetConfig(changes: Partial<FleetConfig> = {}): FleetConfig {
  return {
    version: 1,
    queues: [queueConfig()],
    pools: [{ name: "pool", admissionCheck: false, spare: false }],
    organisations: [{ name: "org", keys: ["key"], weight: 1, cap: NO_RESOURCES }],
    maxBodyBytes: 100_000,
    ...changes,
  };
}

/** Resources with processor capacity only, in thousandths of a core. */
export function cpu(cpuMillis: number): Resources {
  return { cpuMillis, memoryMb: 0, accelerators: 0 };
}
