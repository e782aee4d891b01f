import type { Priority } from "../src/ports/backend-server.ts";
import type { Fault } from "./faults.ts";
import type { Site, TeamPlan } from "./site.ts";

/** One request of a run. Times are in milliseconds. */
export interface Arrival {
  /** From the start of the load. */
  readonly at: number;
  /** Index of the entry instance that receives it. */
  readonly entry: number;
  readonly queue: string;
  readonly team: string;
  readonly priority: Priority;
  readonly runMs: number;
  readonly timeoutMs: number;
  /** Whether the task fails on every server. */
  readonly neverSucceeds: boolean;
  /** Time at which the caller cancels the request, from the start of the load. */
  readonly cancelAt: number | undefined;
}

/** Load, faults and settings of one benchmark. Times are in ms from the start of the load. */
export interface Scenario {
  readonly describe: string;
  /** Duration of the load. */
  readonly loadMs: number;
  /** Mean run time of the tasks. */
  readonly runMs: number;
  readonly timeoutMs: number;
  /** Requests per second to the queue with this index; its pool can run `capacity` per second. */
  readonly rate: (queue: number, atMs: number, capacity: number) => number;
  /** Weight of a team in the random choice of a request's team. */
  readonly demand: (team: TeamPlan) => number;
  readonly faults?: readonly Fault[];
  /** Factor applied to every upper limit. @default 1 */
  readonly limitScale?: number;
  /** Ratio of declared to actual mean run time, by index of the queue. @default 1 */
  readonly declaredFactor?: (queue: number) => number;
  /** Share of the requests that fail on every server. @default 0 */
  readonly neverSucceedShare?: number;
  /** Time at which the caller cancels a request sent at `atMs`; undefined if it does not. */
  readonly cancelAt?: (atMs: number, random: number) => number | undefined;
  /** Index of the availability zone to which the team with this index sends. @default any */
  readonly zoneIndexOf?: (site: Site, team: number, atMs: number) => number;
  /** If set, maintenance is due from the start, for at most this many servers at once. */
  readonly maintenanceParallel?: number;
}
