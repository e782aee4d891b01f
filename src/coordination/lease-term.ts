import { EventProgress } from "./event-progress.ts";
import type { Validity } from "./lease-coverage.ts";

/** A period during which a server is held without interruption. */
export interface LeaseTerm {
  /** Aborted when the lease is lost or released. */
  readonly lost: AbortController;
  /** Aborted to end the current pause between renewals. */
  renewNow: AbortController;
  /** Progress of the polls for the server's events. */
  readonly events: EventProgress;
  /** Monotonic time of the first grant's receipt in milliseconds. */
  readonly startedAt: number;
  leaseId: string;
  validity: Validity;
  /** True once the server's tasks were read under the current lease. */
  adopted: boolean;
}

export function newLeaseTerm(startedAt: number, leaseId: string, validity: Validity): LeaseTerm {
  const [lost, renewNow] = [new AbortController(), new AbortController()];
  const events = new EventProgress();
  return { lost, renewNow, events, startedAt, leaseId, validity, adopted: false };
}

export function isTermLost(term: LeaseTerm): boolean {
  return term.lost.signal.aborted;
}
