import type { Clock } from "../../../ports/clock.ts";
import type { JobBackend } from "../../../ports/job-backend.ts";
import type { Log } from "../../../ports/log.ts";
import type { RegisteredServer } from "../../../protocol/fleet-config.ts";
import type { LeaseBounds } from "../../../state/jobs/execution/lease-bounds.ts";
import type { LockTenure } from "../election/scheduler-lock.ts";
import type { EvacuationGuard } from "../fleet/evacuation-guard.ts";
import type { DriverListener } from "./driver-listener.ts";

/** Options of a `ServerDriver`. */
export interface ServerDriverOptions {
  readonly backend: JobBackend;
  readonly clock: Clock;
  readonly log: Log;
  readonly tenure: LockTenure;
  readonly listener: DriverListener;
  readonly registration: RegisteredServer;
  readonly evacuations: EvacuationGuard;
  /** Time to live in ms of the lease granted to the server. */
  readonly leaseTtlMs: number;
  /** Longest lease in ms that a backend server accepts, whatever deadline an order carries. */
  readonly maxServerLeaseMs: number;
  /** Monotonic time in ms at which this scheduler took over. */
  readonly takenOverAt: number;
  /** Bounds of the former boot's lease, if its driver is known. */
  readonly formerLease?: LeaseBounds | undefined;
}
