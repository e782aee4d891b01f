import type { Clock } from "../ports/clock.ts";
import type { Random } from "../ports/random.ts";
import type {
  CancelRequest,
  QueryRequest,
  RequestSpec,
  RequestState,
  SubmitRequest,
} from "../protocol/peer-messages.ts";
import { ownerMovingState, refusedState } from "./refused-states.ts";
import type { RequestOwnership, Peers } from "./ports.ts";

/** Longest wait requested in one call to the owner; a longer wait takes several calls. */
const WAIT_CHUNK_MS = 2000;
/** Added to the requested wait to get the timeout of the call. */
const REPLY_MARGIN_MS = 1000;
const RETRY_BASE_MS = 100;
const RETRY_CAP_MS = 1000;
/** Time after which an owner that never replied is reported as unreachable. */
const UNREACHABLE_AFTER_MS = 2000;
/** Fewest failed calls before that report. */
const MIN_CALLS = 2;
const RETRY_AFTER_MS = 1000;

/** Options of {@link OwnerClient}. */
export interface OwnerClientOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly ownership: RequestOwnership;
  readonly peers: Peers;
}

/** The state reported by the owner, or `self` if this entry is the owner, or `gone`. */
export type OwnerReply =
  | { readonly kind: "state"; readonly state: RequestState | undefined }
  | { readonly kind: "self" }
  | { readonly kind: "gone" };

type OwnerRequest = SubmitRequest | QueryRequest | CancelRequest;

/** One exchange with a request owner, which may take several calls. */
interface OwnerExchange {
  readonly requestId: string;
  /** Monotonic time in milliseconds. */
  readonly deadline: number;
  /** True to keep calling while the request has no outcome. */
  readonly wait: boolean;
  /** Builds the next call; `reached` is true once the owner has replied. */
  readonly next: (reached: boolean, remainingMs: number) => OwnerRequest;
}

/** Sends submits, queries and cancellations to request owners at other entries. */
export class OwnerClient {
  readonly #options: OwnerClientOptions;

  constructor(options: OwnerClientOptions) {
    this.#options = options;
  }

  /** Submits a request to its owner; with `wait`, waits for the outcome until the deadline. */
  submit(spec: RequestSpec, deadline: number, wait: boolean): Promise<OwnerReply> {
    const { requestId, team } = spec;
    return this.#exchange({
      requestId,
      deadline,
      wait,
      next: (reached, remainingMs) => {
        const waitMs = wait ? Math.min(WAIT_CHUNK_MS, remainingMs) : 0;
        if (reached) return { type: "query", requestId, team, waitMs };
        return { type: "submit", spec: { ...spec, timeoutMs: remainingMs }, waitMs };
      },
    });
  }

  /** Queries the state of a request and waits for its outcome until the deadline. */
  query(requestId: string, team: string | undefined, deadline: number): Promise<OwnerReply> {
    return this.#exchange({
      requestId,
      deadline,
      wait: deadline > this.#options.clock.now(),
      next: (_reached, remainingMs) => {
        return { type: "query", requestId, team, waitMs: Math.min(WAIT_CHUNK_MS, remainingMs) };
      },
    });
  }

  /** Cancels a request at its owner. */
  cancel(requestId: string, team: string | undefined): Promise<OwnerReply> {
    const deadline = this.#options.clock.now() + UNREACHABLE_AFTER_MS;
    const next = (): OwnerRequest => ({ type: "cancel", requestId, team });
    return this.#exchange({ requestId, deadline, wait: false, next });
  }

  async #exchange(exchange: OwnerExchange): Promise<OwnerReply> {
    const { clock, random } = this.#options;
    const { deadline, wait } = exchange;
    const giveUpAt = Math.min(deadline, clock.now() + UNREACHABLE_AFTER_MS);
    let reached = false;
    let failures = 0;
    for (let delay = RETRY_BASE_MS; ;) {
      const reply = await this.#callOwner(exchange, reached);
      if (reply.kind !== "none") {
        const pending = reply.kind === "state" && reply.state?.kind === "pending";
        if (!pending || !wait || clock.now() >= deadline) return reply;
        reached = true;
        delay = RETRY_BASE_MS;
        continue;
      }
      failures++;
      const end = reached || failures < MIN_CALLS ? deadline : giveUpAt;
      if (clock.now() >= end)
        return { kind: "state", state: reached ? ownerUnresponsiveState() : reply.state };
      await clock.sleep(Math.max(10, random.next() * delay));
      delay = Math.min(RETRY_CAP_MS, delay * 2);
    }
  }

  /** Makes one call. `none` carries the state to report if no later call succeeds. */
  async #callOwner(
    { requestId, deadline, next }: OwnerExchange,
    reached: boolean,
  ): Promise<OwnerReply | { readonly kind: "none"; readonly state: RequestState }> {
    const { clock, ownership, peers } = this.#options;
    const lookup = ownership.lookup(requestId);
    if (lookup.kind === "moving") return { kind: "none", state: ownerMovingState() };
    if (lookup.kind !== "peer") return { kind: lookup.kind };
    const req = next(reached, Math.max(0, deadline - clock.now()));
    const waitMs = "waitMs" in req ? req.waitMs : 0;
    const reply = await peers.call(lookup.incarnation, req, waitMs + REPLY_MARGIN_MS);
    if (reply.err) return { kind: "none", state: ownerUnreachableState(reply.val.kind === "busy") };
    const { state } = reply.val;
    if (state?.kind === "refused" && state.reason === "home_moving") return { kind: "none", state };
    return { kind: "state", state };
  }
}

/** State of a request whose owner accepted it and then became unresponsive. */
function ownerUnresponsiveState(): RequestState {
  const detail = "The request's owner does not respond.";
  return refusedState("outcome_unknown", detail, "unknown", RETRY_AFTER_MS);
}

function ownerUnreachableState(busy: boolean): RequestState {
  const detail = "The request's owner is not reachable; an earlier attempt may have run.";
  return refusedState(busy ? "peer_busy" : "home_unreachable", detail, "unknown", RETRY_AFTER_MS);
}
