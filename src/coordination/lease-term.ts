import { EventProgress } from "./event-progress.ts";
import type { Validity } from "./lease-coverage.ts";

/** Time during which a server is held without a break. */
export interface LeaseTerm {
  /** Aborted when the lease is lost or released. */
  readonly lost: AbortController;
  /** Aborted to end the present pause between renewals. */
  renewNow: AbortController;
  /** What the server reports of its events. */
  readonly events: EventProgress;
  /** Monotonic time of the first grant's receipt in milliseconds. */
  readonly startedAt: number;
  leaseId: string;
  validity: Validity;
  /** True once the server's tasks were read under the present lease. */
  adopted: boolean;
}

export function newLeaseTerm(startedAt: number, leaseId: string, validity: Validity): LeaseTerm {
  const [lost, hurry] = [new AbortController(), new AbortController()];
  const events = new EventProgress();
  return { lost, renewNow: hurry, events, startedAt, leaseId, validity, adopted: false };
}

export function isTermLost(tenure: LeaseTerm): boolean {
  return tenure.lost.signal.aborted;
}
