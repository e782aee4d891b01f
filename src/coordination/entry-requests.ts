import type { Clock } from "../ports/clock.ts";
import type { Random } from "../ports/random.ts";
import type { RequestSpec, RequestState } from "../protocol/peer-messages.ts";
import { REFUSAL_REASONS, type Refusal, type RefusalReason } from "../protocol/refusal.ts";
import { grantAccess, identifyTeam } from "./access.ts";
import type { OwnerReply, OwnerClient } from "./owner-client.ts";
import type { OwnedRequests, IdOrigin } from "./owned-requests.ts";
import type { UnclaimedResults } from "./unclaimed-results.ts";
import { isOwnerMoving, refusedState } from "./refused-states.ts";
import {
  RequestService,
  type CallerReply,
  type CallerRequest,
  type ConfigView,
  type Counters,
  type RequestOwnership,
} from "./ports.ts";
import type { ReceivedOffers } from "./received-offers.ts";
import { Deferred } from "./wait.ts";

/** Extra wait for the refusal of a request that is withdrawn from the queue at its deadline. */
const DEADLINE_GRACE_MS = 150;
/** Subtracted from the deadline sent to the owner, so that its refusal arrives in time. */
const FORWARD_MARGIN_MS = 20;
/** How long a cancellation waits for a running task to stop. */
const CANCEL_WAIT_MS = 2000;
const RETRY_AFTER_MS = 1000;

/** Options of {@link EntryRequests}. */
export interface EntryRequestsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly config: ConfigView;
  readonly ownership: RequestOwnership;
  readonly counters: Counters;
  readonly ownedRequests: OwnedRequests;
  readonly ownerClient: OwnerClient;
  readonly offers: ReceivedOffers;
  readonly unclaimedResults: UnclaimedResults;
}

/** Handles callers' requests: finds each request's owner and reports the outcome. */
export class EntryRequests extends RequestService {
  readonly #options: EntryRequestsOptions;
  /** One for each submit in progress; resolved to end the submit with an unknown outcome. */
  readonly #waitingSubmits = new Set<Deferred<undefined>>();
  #stopping = false;

  constructor(options: EntryRequestsOptions) {
    super();
    this.#options = options;
  }

  /** Refuses new requests from now on. */
  stop(): void {
    this.#stopping = true;
    this.#options.ownedRequests.stop();
    this.#options.offers.stop();
  }

  /** Replies to all waiting submits with an unknown outcome before this incarnation ends. */
  replyToWaiting(): void {
    for (const waiting of this.#waitingSubmits) waiting.resolve(undefined);
  }

  /** Number of submits that wait here for a reply, whichever entry owns the request. */
  get waitingSubmits(): number {
    return this.#waitingSubmits.size;
  }

  issueId(): string {
    return this.#options.ownership.issue();
  }

  async submit(req: CallerRequest, mode: "sync" | "async"): Promise<CallerReply> {
    const { clock, config, ownership } = this.#options;
    const deadline = clock.now() + req.timeoutMs;
    // A request with the same idempotency key may have run before, which only its owner knows.
    const ran = req.idempotencyKey === undefined ? "no" : "unknown";
    if (this.#stopping) {
      const detail = "The entry instance shuts down.";
      return this.#refuse({ reason: "stopping", detail, ran, retryAfterMs: RETRY_AFTER_MS });
    }
    const access = grantAccess(config, req);
    if (access.err) return this.#refuse({ ...access.val, ran });
    const { team, queue } = access.val;
    const { idempotencyKey: key } = req;
    const spec: RequestSpec = {
      requestId: key === undefined ? ownership.issue() : ownership.requestId(team, queue.name, key),
      team,
      queue: queue.name,
      priority: req.priority,
      idempotent: queue.idempotent && req.idempotent !== false,
      timeoutMs: req.timeoutMs,
      payload: req.payload,
    };
    const shutdown = new Deferred<undefined>();
    this.#waitingSubmits.add(shutdown);
    try {
      const reply =
        key === undefined
          ? this.#submitHere(spec, "issued-now", deadline, mode)
          : this.#submitToOwner(spec, deadline, mode);
      const known = await Promise.race([reply, shutdown.promise]);
      return known ?? this.#reply(spec.requestId, { kind: "pending", started: true }, "sync");
    } finally {
      this.#waitingSubmits.delete(shutdown);
    }
  }

  async query(requestId: string, key: string | undefined, waitMs: number): Promise<CallerReply> {
    const { clock, config, ownedRequests, unclaimedResults, ownership, ownerClient } =
      this.#options;
    const identity = identifyTeam(config, key);
    if (identity.err) return this.#refuse({ ...identity.val, ran: "unknown", requestId });
    const team = identity.val;
    const deadline = clock.now() + waitMs;
    const record = ownedRequests.find(requestId, team);
    if (record !== undefined) {
      const state = await ownedRequests.wait(record, waitMs);
      if (!isOwnerMoving(state)) return this.#reply(requestId, state, "async");
    } else if (ownership.lookup(requestId).kind === "self") {
      const found = await unclaimedResults.find(requestId, team);
      return found === undefined
        ? this.#unknownId(requestId)
        : this.#reply(requestId, found, "async");
    }
    const reply = await ownerClient.query(requestId, team, deadline);
    return this.#replyFromOwner(requestId, team, reply, "async");
  }

  async cancel(requestId: string, key: string | undefined): Promise<CallerReply> {
    const { config, ownedRequests, ownership, ownerClient } = this.#options;
    const identity = identifyTeam(config, key);
    if (identity.err) return this.#refuse({ ...identity.val, ran: "unknown", requestId });
    const record = ownedRequests.find(requestId, identity.val);
    if (record !== undefined) {
      ownedRequests.cancel(record);
      return this.#reply(requestId, await ownedRequests.wait(record, CANCEL_WAIT_MS), "async");
    }
    if (ownership.lookup(requestId).kind === "self") return this.#unknownId(requestId);
    const reply = await ownerClient.cancel(requestId, identity.val);
    return this.#replyFromOwner(requestId, identity.val, reply, "async");
  }

  async #submitHere(
    spec: RequestSpec,
    origin: IdOrigin,
    deadline: number,
    mode: "sync" | "async",
  ): Promise<CallerReply> {
    const { ownedRequests, unclaimedResults, clock } = this.#options;
    const admitted = ownedRequests.submit(spec, origin);
    if ("kind" in admitted) {
      const state = await unclaimedResults.resultOrRefusal(spec, admitted);
      return this.#reply(spec.requestId, state, mode);
    }
    const waitMs = mode === "async" ? 0 : deadline - clock.now() + DEADLINE_GRACE_MS;
    const state = await ownedRequests.wait(admitted, waitMs);
    // The id's slot moved while the caller waited, so the new owner is queried.
    if (isOwnerMoving(state)) return this.#submitToOwner(spec, deadline, mode);
    return this.#reply(spec.requestId, state, mode);
  }

  async #submitToOwner(
    spec: RequestSpec,
    deadline: number,
    mode: "sync" | "async",
  ): Promise<CallerReply> {
    const { ownership, ownerClient } = this.#options;
    if (ownership.lookup(spec.requestId).kind === "self")
      return this.#submitHere(spec, "caller", deadline, mode);
    const reply = await ownerClient.submit(spec, deadline - FORWARD_MARGIN_MS, mode === "sync");
    if (reply.kind === "self") return this.#submitHere(spec, "caller", deadline, mode);
    return this.#replyFromOwner(spec.requestId, spec.team, reply, mode);
  }

  async #replyFromOwner(
    requestId: string,
    team: string | undefined,
    reply: OwnerReply,
    mode: "sync" | "async",
  ): Promise<CallerReply> {
    if (reply.kind === "gone") {
      const found = await this.#options.unclaimedResults.find(requestId, team);
      const detail = "The request's owner is gone and no result has been found so far.";
      const unknown = refusedState("outcome_unknown", detail, "unknown", RETRY_AFTER_MS);
      return this.#reply(requestId, found ?? unknown, mode);
    }
    if (reply.kind === "self") {
      const record = this.#options.ownedRequests.find(requestId, team);
      return record === undefined
        ? this.#unknownId(requestId)
        : this.#reply(requestId, record.state, mode);
    }
    if (reply.state === undefined) return this.#unknownId(requestId);
    return this.#reply(requestId, reply.state, mode);
  }

  #unknownId(requestId: string): CallerReply {
    const detail = "There is no record of this id.";
    return this.#refuse({ reason: "id_unknown", detail, ran: "unknown", requestId });
  }

  /** Builds the reply for a state. In mode `sync`, a pending request has an unknown outcome. */
  #reply(requestId: string, state: RequestState, mode: "sync" | "async"): CallerReply {
    if (state.kind === "answered") return { kind: "answer", requestId, payload: state.payload };
    if (state.kind === "pending") {
      if (mode === "async") return { kind: "pending", requestId };
      const detail = "The request has no outcome yet; ask for it by its id.";
      return this.#refuse({ reason: "outcome_unknown", detail, ran: "unknown", requestId });
    }
    const { detail, ran, retryAfterMs } = state;
    const refusal = { reason: parseReason(state.reason), detail, ran, requestId };
    return this.#refuse(retryAfterMs === undefined ? refusal : { ...refusal, retryAfterMs });
  }

  #refuse(refusal: Refusal): CallerReply {
    this.#options.counters.refusal(refusal.reason);
    return { kind: "refusal", refusal };
  }
}

/** Parses a reason received from a peer; an unknown one becomes `internal`. */
function parseReason(reason: string): RefusalReason {
  return REFUSAL_REASONS.find((each) => each === reason) ?? "internal";
}
