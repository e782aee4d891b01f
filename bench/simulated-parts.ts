/** Simulated links, servers and tasks of a benchmarked fleet. */
import type { BackendResult, TaskResult, TaskSpec } from "../src/ports/backend-server.ts";
import { SimulatedBackendServer, TaskRunner } from "../src/stand-ins/simulated-backend-server.ts";
import type { BackendParty } from "../test/fakes/faulty-backend.ts";
import { Links, type LinkOutcome, type Party } from "../test/fakes/links.ts";
import type { Arrival } from "./scenario.ts";

/** Run time of a failing task, in milliseconds. */
export const TIME_TO_FAILURE_MS = 20;

/** Links that report each call. */
export class ObservedLinks extends Links {
  onCall: (from: Party, to: Party) => void = () => undefined;

  override call<T>(
    from: Party,
    to: Party,
    deliver: () => Promise<T>,
    timeoutMs: number,
  ): Promise<LinkOutcome<T>> {
    this.onCall(from, to);
    return super.call(from, to, deliver, timeoutMs);
  }
}

/** Runs each task with the run time and the outcome planned for its request. */
export class PlannedRunner extends TaskRunner {
  readonly #requests: readonly Arrival[];
  /** While true, every task that starts fails. */
  failing = false;

  constructor(requests: readonly Arrival[]) {
    super();
    this.#requests = requests;
  }

  run(spec: TaskSpec): { readonly runMs: number; readonly result: TaskResult } {
    const { runMs, neverSucceeds } = this.#requests[requestNumberOf(spec)]!;
    if (!this.failing && !neverSucceeds)
      return { runMs, result: { kind: "answer", payload: spec.payload } };
    const reason = neverSucceeds ? "bad input" : "disk error";
    return { runMs: TIME_TO_FAILURE_MS, result: { kind: "failure", reason } };
  }
}

/** A server that reports accepted reboot orders. */
export class RebootReportingServer extends SimulatedBackendServer {
  onReboot: () => void = () => undefined;

  override async reboot(leaseId: string): Promise<Awaited<BackendResult<void>>> {
    const done = await super.reboot(leaseId);
    if (done.ok) this.onReboot();
    return done;
  }
}

/** A backend server of the fleet, with its network party and its task runner. */
export interface FleetServer extends BackendParty {
  readonly name: string;
  readonly server: RebootReportingServer;
  readonly runner: PlannedRunner;
}

/** Number of a request, which is the body of its payload. */
export function requestNumberOf(spec: TaskSpec): number {
  return Number(Buffer.from(spec.payload.body).toString());
}
