/** The operators' configuration for jobs, in the product's terms. */
import type { Resources } from "./job-spec.ts";

/** Cost of asking the placement advisor. */
export interface AdvisorTiming {
  /** Time of a call, in milliseconds. */
  readonly decideMs: number;
  /** Additional time for each backend server named, in milliseconds. */
  readonly eachMs: number;
  /** Time for which a ticket holds, in milliseconds. */
  readonly validMs: number;
}

/** A queue and the callers' path to it. */
export interface QueueConfig {
  readonly name: string;
  readonly host: string;
  /** The longest prefix that a path begins with selects the queue. */
  readonly prefix: string;
  readonly pool: string;
  /** 0 comes first. */
  readonly priority: number;
  /** Runs of a task that may fail before its job fails. */
  readonly maxAttempts: number;
  /** A job is on time within this multiple of its longest chain of work, plus `targetLatencyMs`. */
  readonly stretch: number;
  readonly targetLatencyMs: number;
  readonly openToAll: boolean;
  readonly advice: AdvisorTiming | undefined;
}

/** A pool of instances. */
export interface PoolConfig {
  readonly name: string;
  /** Its backend servers refuse what does not fit. */
  readonly admissionCheck: boolean;
  /** Its instances are switched off and free of charge. */
  readonly spare: boolean;
}

/** An organisation that hands in jobs. */
export interface OrganisationConfig {
  readonly name: string;
  readonly keys: readonly string[];
  /** Share when the fleet is full, relative to the others. */
  readonly weight: number;
  /** Upper limit of what runs at the same time; 0 means none for that resource. */
  readonly cap: Resources;
}

/** One version of the configuration. */
export interface FleetConfig {
  readonly version: number;
  readonly queues: readonly QueueConfig[];
  readonly pools: readonly PoolConfig[];
  readonly organisations: readonly OrganisationConfig[];
  /** Most bytes of a caller's body. */
  readonly maxBodyBytes: number;
}

/** A backend server as it registers itself. */
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
  /** Unix time in ms of its boot; an id may boot again. */
  readonly bootedAt: number;
}

/** A maintenance wave that the operators ask for. */
export interface WaveRequest {
  readonly wave: number;
  readonly instances: readonly string[];
  readonly durationMs: number;
  /** Most instances in maintenance at the same time. */
  readonly maxAtOnce: number;
}
