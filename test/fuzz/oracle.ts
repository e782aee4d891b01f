import type { TaskSpec } from "../../src/ports/backend-server.ts";
import { FleetHistory } from "./fleet-history.ts";
import { OperatorHistory } from "./operator-history.ts";
import { OutageHistory } from "./outage-history.ts";
import { RequestHistory } from "./request-history.ts";
import { Violations, type Violation } from "./violations.ts";

/** Options of {@link Oracle}. */
export interface OracleOptions {
  readonly now: () => number;
  /** Returns the complete answer to a nonce under a request id. */
  readonly expectedAnswer: (nonce: string, requestId: string) => string;
}

/**
 * Checks the guarantees from the outside: only from what callers, backend servers and operators
 * observed and from stored documents, without any internal state or counter of the product.
 */
export class Oracle {
  readonly requests: RequestHistory;
  readonly operators: OperatorHistory;
  readonly fleet: FleetHistory;
  readonly outages: OutageHistory;
  readonly #violations: Violations;

  constructor({ now, expectedAnswer }: OracleOptions) {
    this.#violations = new Violations({ now });
    const violations = this.#violations;
    const outages = new OutageHistory({ now });
    this.outages = outages;
    const keyedWorkRequiredFrom = (): number | undefined => outages.keyedWorkRequiredFrom;
    this.requests = new RequestHistory({ now, violations, expectedAnswer, keyedWorkRequiredFrom });
    this.operators = new OperatorHistory({ now, violations });
    this.fleet = new FleetHistory({ now, violations, operators: this.operators });
  }

  get violations(): readonly Violation[] {
    return this.#violations.found;
  }

  /** A backend server started a task whose body carries the nonce. */
  started(server: string, nonce: string, spec: TaskSpec, pools: readonly string[]): void {
    this.requests.started(nonce, spec);
    this.fleet.started(server, spec, pools);
  }

  /** A backend server ended a task. */
  ended(server: string, nonce: string, spec: TaskSpec): void {
    this.requests.ended(nonce);
    this.fleet.ended(server, spec);
  }

  /** An entry instance finished its graceful shutdown; these calls to it had no reply. */
  shutdownCompleted(entry: string, callsWithoutReply: readonly string[]): void {
    for (const nonce of callsWithoutReply) {
      this.#violations.add("shutdown", `${entry} ended before it answered ${nonce}`);
    }
  }

  /** Checks calls whose tasks were running when a fault-free shutdown of their entry began. */
  checkInterruptedCalls(entry: string, calls: readonly number[]): void {
    for (const call of calls) {
      const outcome = this.requests.describeInterruption(call);
      if (outcome !== undefined)
        this.#violations.add("shutdown", `${entry} interrupted ${outcome}`);
    }
  }

  /** Operators edited one base revision concurrently; at most one edit may be accepted. */
  raced(accepted: readonly boolean[]): void {
    if (accepted.filter(Boolean).length > 1) {
      this.#violations.add("configuration", "two edits of one base revision were accepted");
    }
  }

  /** The system did not recover within a time limit after every fault had ended. */
  notRecovered(detail: string): void {
    this.#violations.add("liveness", detail);
  }

  /** A component threw. Only programming errors cause that, and the work of the call is lost. */
  threw(where: string, error: unknown): void {
    const message = error instanceof Error ? (error.stack ?? error.message) : String(error);
    this.#violations.add("liveness", `${where} threw ${message}`);
  }
}
