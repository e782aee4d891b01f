import type { RequestState } from "../protocol/peer-messages.ts";
import type { Peers } from "./ports.ts";
import { isOwnerMoving, stateOfResult } from "./refused-states.ts";
import type { ResultDelivery } from "./result-delivery.ts";

const QUERY_TIMEOUT_MS = 1000;

/** Options of {@link UnclaimedResults}. */
export interface UnclaimedResultsOptions {
  readonly results: ResultDelivery;
  readonly peers: Peers;
}

/** Finds results of requests whose owner is gone, on the servers held here and by peers. */
export class UnclaimedResults {
  readonly #options: UnclaimedResultsOptions;

  constructor(options: UnclaimedResultsOptions) {
    this.#options = options;
  }

  /** State from a result on a server held here; undefined if none or if the team may not see it. */
  findLocal(requestId: string, team: string | undefined): RequestState | undefined {
    const here = this.#options.results.unclaimedResult(requestId, team);
    return here === undefined ? undefined : stateOfResult(here);
  }

  /** Searches the servers held here, then those of all peers. */
  async find(requestId: string, team: string | undefined): Promise<RequestState | undefined> {
    const here = this.findLocal(requestId, team);
    if (here !== undefined) return here;
    const { peers } = this.#options;
    const req = { type: "query", requestId, team, waitMs: 0 } as const;
    const replies = await Promise.all(
      [...peers.gossip().keys()].map((peer) => peers.call(peer, req, QUERY_TIMEOUT_MS)),
    );
    const states = replies.map((reply) => (reply.ok ? reply.val.state : undefined));
    return states.find((state) => state !== undefined && !isOwnerMoving(state));
  }

  /** The refusal of a request, or the state of a result that is found for an id that is too old. */
  async resultOrRefusal(
    { requestId, team }: { readonly requestId: string; readonly team: string | undefined },
    state: RequestState,
  ): Promise<RequestState> {
    // An id from before a takeover may have a result that its former owner did not store.
    const old = state.kind === "refused" && state.reason === "id_too_old";
    return (old ? await this.find(requestId, team) : undefined) ?? state;
  }
}
