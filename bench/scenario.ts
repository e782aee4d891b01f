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
  /** The task fails wherever it runs. */
  readonly neverSucceeds: boolean;
  /** Time from the start of the load at which the caller cancels it. */
  readonly cancelAt: number | undefined;
}

/** What is measured. Times are in milliseconds from the start of the load. */
export interface Scenario {
  readonly describe: string;
  readonly loadMs: number;
  readonly runMs: number;
  readonly timeoutMs: number;
  /** Requests a second of a queue, whose pool can run `capacity` a second. */
  readonly rate: (queue: number, atMs: number, capacity: number) => number;
  /** Weight with which a team is drawn for a request. */
  readonly demand: (team: TeamPlan) => number;
  readonly faults?: readonly Fault[];
  /** Factor of every upper limit. @default 1 */
  readonly limitScale?: number;
  /** Declared run time divided by the real mean, by queue. @default 1 */
  readonly declaredFactor?: (queue: number) => number;
  /** Share of the jobs that fail wherever they run. @default 0 */
  readonly neverSucceedShare?: number;
  /** Time at which the caller cancels a request sent at the given time, if it does. */
  readonly cancelAt?: (atMs: number, random: number) => number | undefined;
  /** Position of the availability zone that a team sends to. @default any */
  readonly zoneOf?: (site: Site, team: number, atMs: number) => number;
  /** With maintenance due from the start: most servers that drain or reboot at once. */
  readonly maintenanceParallel?: number;
}
