import type { Clock } from "../ports/clock.ts";
import type { Random } from "../ports/random.ts";
import type {
  CancelRequest,
  QueryRequest,
  RequestSpec,
  RequestState,
  SubmitRequest,
} from "../protocol/peer-messages.ts";
import { ownerMoving, refused } from "./refused-states.ts";
import type { Homes, Peers } from "./ports.ts";

/** Longest wait asked of a home in one call; the next call asks again. */
const WAIT_CHUNK_MS = 2000;
const REPLY_MARGIN_MS = 1000;
const RETRY_BASE_MS = 100;
const RETRY_CAP_MS = 1000;
/** How long a home that never answered is tried before the caller is told, at least twice. */
const UNREACHABLE_AFTER_MS = 2000;
const MIN_CALLS = 2;
const RETRY_AFTER_MS = 1000;

/** Options of {@link OwnerClient}. */
export interface OwnerClientOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly homes: Homes;
  readonly peers: Peers;
}

/** What a home stated, or that the home is this entry by now, or gone. */
export type OwnerReply =
  | { readonly kind: "state"; readonly state: RequestState | undefined }
  | { readonly kind: "self" }
  | { readonly kind: "gone" };

type HomeRequest = SubmitRequest | QueryRequest | CancelRequest;

/** One conversation with a home, which may take several calls. */
interface Conversation {
  readonly requestId: string;
  /** Monotonic time in milliseconds. */
  readonly deadline: number;
  /** True to go on while the request has no outcome. */
  readonly wait: boolean;
  readonly next: (reached: boolean, remainingMs: number) => HomeRequest;
}

/** Asks the homes of requests at other entries. */
export class OwnerClient {
  readonly #options: OwnerClientOptions;

  constructor(options: OwnerClientOptions) {
    this.#options = options;
  }

  /** Passes a request to its home and waits for the outcome until the deadline. */
  submit(spec: RequestSpec, deadline: number, wait: boolean): Promise<OwnerReply> {
    const { requestId, team } = spec;
    return this.#converse({
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

  /** Asks for the state of a request, waiting for its outcome until the deadline. */
  query(requestId: string, team: string | undefined, deadline: number): Promise<OwnerReply> {
    return this.#converse({
      requestId,
      deadline,
      wait: deadline > this.#options.clock.now(),
      next: (_reached, remainingMs) => {
        return { type: "query", requestId, team, waitMs: Math.min(WAIT_CHUNK_MS, remainingMs) };
      },
    });
  }

  /** Cancels a request at its home. */
  cancel(requestId: string, team: string | undefined): Promise<OwnerReply> {
    const deadline = this.#options.clock.now() + UNREACHABLE_AFTER_MS;
    const next = (): HomeRequest => ({ type: "cancel", requestId, team });
    return this.#converse({ requestId, deadline, wait: false, next });
  }

  async #converse(conversation: Conversation): Promise<OwnerReply> {
    const { clock, random } = this.#options;
    const { deadline, wait } = conversation;
    const giveUpAt = Math.min(deadline, clock.now() + UNREACHABLE_AFTER_MS);
    let reached = false;
    let failures = 0;
    for (let delay = RETRY_BASE_MS; ;) {
      const answer = await this.#ask(conversation, reached);
      if (answer.kind !== "none") {
        const pending = answer.kind === "state" && answer.state?.kind === "pending";
        if (!pending || !wait || clock.now() >= deadline) return answer;
        reached = true;
        delay = RETRY_BASE_MS;
        continue;
      }
      failures++;
      const end = reached || failures < MIN_CALLS ? deadline : giveUpAt;
      if (clock.now() >= end) return { kind: "state", state: reached ? silent() : answer.state };
      await clock.sleep(Math.max(10, random.next() * delay));
      delay = Math.min(RETRY_CAP_MS, delay * 2);
    }
  }

  /** One call; `none` with the state to report if no further call succeeds. */
  async #ask(
    { requestId, deadline, next }: Conversation,
    reached: boolean,
  ): Promise<OwnerReply | { readonly kind: "none"; readonly state: RequestState }> {
    const { clock, homes, peers } = this.#options;
    const lookup = homes.lookup(requestId);
    if (lookup.kind === "moving") return { kind: "none", state: ownerMoving() };
    if (lookup.kind !== "peer") return { kind: lookup.kind };
    const req = next(reached, Math.max(0, deadline - clock.now()));
    const waitMs = "waitMs" in req ? req.waitMs : 0;
    const reply = await peers.call(lookup.incarnation, req, waitMs + REPLY_MARGIN_MS);
    if (reply.err) return { kind: "none", state: unreachable(reply.val.kind === "busy") };
    const { state } = reply.val;
    if (state?.kind === "refused" && state.reason === "home_moving") return { kind: "none", state };
    return { kind: "state", state };
  }
}

/** State of a request whose home accepted it and then stopped answering. */
function silent(): RequestState {
  const detail = "The request's home does not answer.";
  return refused("outcome_unknown", detail, "unknown", RETRY_AFTER_MS);
}

function unreachable(busy: boolean): RequestState {
  const detail = "The request's home is not reachable; an earlier attempt may have run.";
  return refused(busy ? "peer_busy" : "home_unreachable", detail, "unknown", RETRY_AFTER_MS);
}
