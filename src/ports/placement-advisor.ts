import type { Result } from "ts-results";

/** Backend servers on which a step may run. */
export interface Advice {
  /** Ticket of each allowed backend server, by its id. */
  readonly tickets: ReadonlyMap<string, string>;
  /** Time in milliseconds for which the tickets hold. */
  readonly validMs: number;
}

/** Why there is no advice. */
export interface AdviceError {
  readonly kind: "overloaded" | "unavailable";
  readonly detail: string;
}

/** Most backend servers in one question. */
export const MAX_ADVISED_SERVERS = 100;

/** The service that knows which backend servers a queue's policy allows. */
export abstract class PlacementAdvisor {
  /** `step` is the name of one occurrence of a step. `timeoutMs` covers its queue as well. */
  abstract advise(
    step: string,
    servers: readonly string[],
    timeoutMs: number,
  ): Promise<Result<Advice, AdviceError>>;
}
