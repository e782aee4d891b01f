import type { TaskSpec } from "../../src/ports/backend-server.ts";
import { FleetHistory } from "./fleet-history.ts";
import { OperatorHistory } from "./operator-history.ts";
import { OutageHistory } from "./outage-history.ts";
import { RequestHistory } from "./request-history.ts";
import { Violations, type Violation } from "./violations.ts";

/** Options of {@link Oracle}. */
export interface OracleOptions {
  readonly now: () => number;
  /** The whole answer to a nonce under a request id. */
  readonly expectedAnswer: (nonce: string, requestId: string) => string;
}

/**
 * Judges a run by what callers, backend servers and operators saw. It keeps a few dictionaries
 * and reads no state or counter of the product.
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
    const goesOnFrom = (): number | undefined => outages.goesOnFrom;
    this.requests = new RequestHistory({ now, violations, expectedAnswer, goesOnFrom });
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
  shutDown(entry: string, unanswered: readonly string[]): void {
    for (const nonce of unanswered) {
      this.#violations.add("shutdown", `${entry} ended before it answered ${nonce}`);
    }
  }

  /** These calls waited with running tasks at an entry when its undisturbed shutdown began. */
  checkCut(entry: string, calls: readonly number[]): void {
    for (const call of calls) {
      const outcome = this.requests.cutOutcome(call);
      if (outcome !== undefined) this.#violations.add("shutdown", `${entry} cut ${outcome}`);
    }
  }

  /** Operators raced from one base; at most one of them may be told that it was accepted. */
  raced(accepted: readonly boolean[]): void {
    if (accepted.filter(Boolean).length > 1) {
      this.#violations.add("configuration", "two edits of one base revision were accepted");
    }
  }

  /** A promise to callers or operators was not kept in time after every fault was healed. */
  notRecovered(detail: string): void {
    this.#violations.add("liveness", detail);
  }

  /** A component threw, which only programming errors do; its work is lost. */
  threw(where: string, error: unknown): void {
    const text = error instanceof Error ? (error.stack ?? error.message) : String(error);
    this.#violations.add("liveness", `${where} threw ${text}`);
  }
}
