import type { Result } from "ts-results";

/** Backend servers on which a step may run. */
export interface Advice {
  /** Ticket of each allowed backend server, by its id. */
  readonly tickets: ReadonlyMap<string, string>;
  /** Time in milliseconds for which the tickets are valid. */
  readonly validMs: number;
}

/** Why the advisor gave no advice. */
export interface AdviceError {
  readonly kind: "overloaded" | "unavailable";
  readonly detail: string;
}

/** Maximum number of backend servers per request. */
export const MAX_ADVISED_SERVERS = 100;

/** The service that knows which backend servers a queue's policy allows. */
export abstract class PlacementAdvisor {
  /** `step` names one occurrence of a step. `timeoutMs` includes time in the advisor's queue. */
  abstract advise(
    step: string,
    servers: readonly string[],
    timeoutMs: number,
  ): Promise<Result<Advice, AdviceError>>;
}
