import type {
  AckReply,
  CancelRequest,
  Hello,
  QueryRequest,
  RequestState,
  ResultRequest,
  RunCancelRequest,
  RunReply,
  RunRequest,
  StateReply,
  SubmitRequest,
} from "../protocol/peer-messages.ts";
import type { OwnedRequests } from "./owned-requests.ts";
import type { UnclaimedResults } from "./unclaimed-results.ts";
import type { RequestOwnership } from "./ports.ts";
import { ownerMovingState } from "./refused-states.ts";
import type { ReceivedOffers } from "./received-offers.ts";

/** Time a cancellation waits for a running task to stop; the caller at the peer waits longer. */
const CANCEL_WAIT_MS = 1000;

/** Messages between entries about requests. */
export type RequestMessage =
  SubmitRequest | QueryRequest | CancelRequest | RunRequest | RunCancelRequest | ResultRequest;

/** Replies to {@link RequestMessage}. */
export type RequestMessageReply = StateReply | RunReply | AckReply;

/** Options of {@link PeerRequests}. */
export interface PeerRequestsOptions {
  readonly ownership: RequestOwnership;
  readonly ownedRequests: OwnedRequests;
  readonly offers: ReceivedOffers;
  readonly unclaimedResults: UnclaimedResults;
}

/** Handles peers' messages about requests owned by this entry, and their offers of work. */
export class PeerRequests {
  readonly #options: PeerRequestsOptions;

  constructor(options: PeerRequestsOptions) {
    this.#options = options;
  }

  /** Handles a peer's message and returns the reply. */
  async handlePeer(from: Hello, req: RequestMessage): Promise<RequestMessageReply> {
    switch (req.type) {
      case "submit":
        return stateReply(await this.#submit(req));
      case "query":
        return stateReply(await this.#query(req));
      case "cancel":
        return stateReply(await this.#cancel(req));
      case "run":
        return this.#options.offers.run(from.incarnation, req);
      case "run-cancel":
        this.#options.offers.cancel(req);
        return { type: "ack", accepted: true };
      case "result":
        return { type: "ack", accepted: this.#result(req) };
    }
  }

  async #submit({ spec, waitMs }: SubmitRequest): Promise<RequestState> {
    const { ownedRequests, ownership, unclaimedResults } = this.#options;
    if (ownership.lookup(spec.requestId).kind !== "self") return ownerMovingState();
    const admitted = ownedRequests.submit(spec, "caller");
    if ("kind" in admitted) return unclaimedResults.resultOrRefusal(spec, admitted);
    return ownedRequests.wait(admitted, waitMs);
  }

  async #query({ requestId, team, waitMs }: QueryRequest): Promise<RequestState | undefined> {
    const { ownedRequests, ownership, unclaimedResults } = this.#options;
    const record = ownedRequests.find(requestId, team);
    if (record !== undefined) return ownedRequests.wait(record, waitMs);
    const here = unclaimedResults.findLocal(requestId, team);
    if (here !== undefined) return here;
    const { kind } = ownership.lookup(requestId);
    return kind === "self" || kind === "gone" ? undefined : ownerMovingState();
  }

  async #cancel({ requestId, team }: CancelRequest): Promise<RequestState | undefined> {
    const { ownedRequests, ownership } = this.#options;
    const record = ownedRequests.find(requestId, team);
    if (record === undefined)
      return ownership.lookup(requestId).kind === "self" ? undefined : ownerMovingState();
    ownedRequests.cancel(record);
    return ownedRequests.wait(record, CANCEL_WAIT_MS);
  }

  /** Accepts a result. False makes the sender look up the owner again. */
  #result({ requestId, attempt, server, result }: ResultRequest): boolean {
    const { ownedRequests, ownership } = this.#options;
    if (ownership.lookup(requestId).kind !== "self") return false;
    // Without a record, the result belongs to a request of a former owner. It stays with its
    // holder, which knows the team that may see it.
    if (!ownedRequests.hasRecord(requestId) && ownership.classify(requestId) !== "fresh")
      return false;
    ownedRequests.deliver({ requestId, attempt }, server, result);
    return true;
  }
}

function stateReply(state: RequestState | undefined): StateReply {
  return { type: "state", state };
}
