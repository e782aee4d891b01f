/** The operators' configuration for jobs, independent of the platform's wire format. */
import type { Resources } from "./job-spec.ts";

/** Response times of the placement advisor and validity of its tickets. */
export interface AdvisorTiming {
  /** Base duration of a call in milliseconds. */
  readonly decideMs: number;
  /** Additional duration for each backend server in the call, in milliseconds. */
  readonly eachMs: number;
  /** Time for which a ticket is valid, in milliseconds. */
  readonly validMs: number;
}

/** A queue and the host and path prefix under which callers reach it. */
export interface JobQueueConfig {
  readonly name: string;
  readonly host: string;
  /** The queue with the longest prefix that matches the request path is selected. */
  readonly prefix: string;
  readonly pool: string;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Number of failed runs of a task after which its job fails. */
  readonly maxAttempts: number;
  /** A job is on time within this multiple of its critical path, plus `targetLatencyMs`. */
  readonly stretch: number;
  readonly targetLatencyMs: number;
  readonly openToAll: boolean;
  readonly advice: AdvisorTiming | undefined;
}

/** A pool of instances. */
export interface JobPoolConfig {
  readonly name: string;
  /** Backend servers of the pool reject tasks that exceed their free capacity. */
  readonly admissionCheck: boolean;
  /** Instances of the pool are switched off and cost nothing. */
  readonly spare: boolean;
}

/** An organisation that submits jobs. */
export interface OrganisationConfig {
  readonly name: string;
  readonly keys: readonly string[];
  /** Weight relative to other organisations when the fleet is full. */
  readonly weight: number;
  /** Limit on the resources in use at the same time; 0 means no limit for that resource. */
  readonly cap: Resources;
}

/** One version of the configuration. */
export interface FleetConfig {
  readonly version: number;
  readonly queues: readonly JobQueueConfig[];
  readonly pools: readonly JobPoolConfig[];
  readonly organisations: readonly OrganisationConfig[];
  /** Maximum size of a request body in bytes. */
  readonly maxBodyBytes: number;
}

/** Registration record of a backend server. */
export interface RegisteredServer {
  readonly id: string;
  readonly pool: string;
  readonly address: string;
  readonly zone: string;
  readonly draining: boolean;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  /** Empty if unknown. */
  readonly rack: string;
  /** Unix time in ms of the boot. A server that boots again keeps its id. */
  readonly bootedAt: number;
  /** Time in ms for which the server is slow after its boot, as of its registration; 0 if it is not. */
  readonly coldRemainingMs: number;
}

/** A maintenance wave requested by operators. */
export interface WaveRequest {
  readonly wave: number;
  readonly instances: readonly string[];
  readonly durationMs: number;
  /** Maximum number of instances in maintenance at the same time. */
  readonly maxAtOnce: number;
}
