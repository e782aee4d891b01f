import type { Clock } from "../ports/clock.ts";
import type { TaskRef } from "../ports/backend-server.ts";
import type { RunReply, RunRequest } from "../protocol/peer-messages.ts";
import type { AttemptTracker } from "./attempt-tracker.ts";
import type { Dispatcher, DispatchHandle } from "./dispatcher.ts";
import type { Budgets, Counters, HeldServers, RequestOwnership } from "./ports.ts";
import { refKey, type StartOutcome } from "./work.ts";

/** Time for which an ended offer is remembered; owners ask again for at most half of it. */
const OFFER_MEMORY_MS = 120_000;

/** Options of {@link ReceivedOffers}. */
export interface ReceivedOffersOptions {
  readonly clock: Clock;
  readonly dispatcher: Dispatcher;
  readonly tracker: AttemptTracker;
  readonly budgets: Budgets;
  readonly held: HeldServers;
  readonly ownership: RequestOwnership;
  readonly counters: Counters;
}

/** An offer and its outcome, kept for repeats of the offer. */
interface ReceivedOffer {
  readonly ref: TaskRef;
  readonly reply: Promise<RunReply>;
  readonly handle: DispatchHandle | undefined;
  server: string | undefined;
  /** True once the owner has cancelled the attempt. */
  stopRequested: boolean;
  /** Monotonic time in milliseconds; undefined while the attempt is queued. */
  endedAt: number | undefined;
}

/** Queues attempts offered by peers. Offers are idempotent: each attempt is queued once. */
export class ReceivedOffers {
  readonly #options: ReceivedOffersOptions;
  readonly #offers = new Map<string, ReceivedOffer>();
  #stopping = false;

  constructor(options: ReceivedOffersOptions) {
    this.#options = options;
  }

  /** Declines new offers from now on; repeats of earlier offers still get their outcome. */
  stop(): void {
    this.#stopping = true;
  }

  /** Queues the attempt until the offer expires; the reply reports the outcome. */
  run(from: string, req: RunRequest): Promise<RunReply> {
    const ref = { requestId: req.spec.requestId, attempt: req.attempt };
    const known = this.#offers.get(refKey(ref));
    if (known !== undefined) return known.reply;
    if (this.#stopping) return this.#decline(ref, "stopping");
    if (req.home !== from) return this.#decline(ref, "not_home");
    if (this.#options.ownership.isRetired(from)) return this.#decline(ref, "home_retired");
    if (req.offerMs <= 0) return this.#decline(ref, "offer_ended");
    return this.#queue(req, ref);
  }

  /** Withdraws an offer or stops its attempt. If the offer arrives later, it is declined. */
  cancel(ref: TaskRef): void {
    const offer = this.#offers.get(refKey(ref));
    if (offer === undefined) {
      void this.#decline(ref, "cancelled");
      return;
    }
    offer.stopRequested = true;
    offer.handle?.withdraw("cancelled");
    this.#stopIfRequested(offer);
  }

  #queue(req: RunRequest, ref: TaskRef): Promise<RunReply> {
    const { clock, dispatcher, counters } = this.#options;
    counters.event("offer_received");
    const handle = dispatcher.dispatch({
      spec: req.spec,
      owner: req.home,
      acceptedAt: clock.now(),
      expiresAt: clock.now() + req.offerMs,
      avoid: [],
      offered: true,
      nextRef: () => ref,
    });
    const reply = handle.outcome.then((outcome) => this.#reply(offer, outcome, req.spec.team));
    const initial = { server: undefined, stopRequested: false, endedAt: undefined };
    const offer: ReceivedOffer = { ref, reply, handle, ...initial };
    this.#remember(offer);
    return reply;
  }

  /** Records the end of an offer and builds the reply to it. */
  #reply(offer: ReceivedOffer, outcome: StartOutcome, team: string | undefined): RunReply {
    offer.endedAt = this.#options.clock.now();
    if (outcome.kind === "withdrawn" || outcome.kind === "declined")
      return { type: "run-reply", kind: "declined", reason: outcome.reason };
    if (outcome.kind === "ambiguous" && outcome.server === undefined)
      throw new Error("an offered attempt may only start on a held server");
    offer.server = outcome.server;
    this.#stopIfRequested(offer);
    if (outcome.kind === "started")
      return { type: "run-reply", kind: "started", server: outcome.server };
    void this.#releaseIfUnstarted(outcome, team);
    return { type: "run-reply", kind: "uncertain", server: outcome.server ?? "" };
  }

  async #releaseIfUnstarted(
    outcome: Extract<StartOutcome, { readonly kind: "ambiguous" }>,
    team: string | undefined,
  ): Promise<void> {
    if (team === undefined) return;
    if (await this.#options.tracker.confirmNeverStarted(outcome))
      this.#options.budgets.release(team, outcome.ref);
  }

  #stopIfRequested(offer: ReceivedOffer): void {
    if (offer.stopRequested && offer.server !== undefined)
      void this.#options.held.stop(offer.server, offer.ref, "stop");
  }

  /** Declines an offer and remembers that, so that a delayed copy of it is declined as well. */
  #decline(ref: TaskRef, reason: string): Promise<RunReply> {
    const reply = Promise.resolve({ type: "run-reply", kind: "declined", reason } as const);
    const endedAt = this.#options.clock.now();
    this.#remember({
      ref,
      reply,
      handle: undefined,
      server: undefined,
      stopRequested: false,
      endedAt,
    });
    return reply;
  }

  #remember(offer: ReceivedOffer): void {
    const now = this.#options.clock.now();
    for (const [key, { endedAt }] of this.#offers) {
      if (endedAt === undefined || endedAt + OFFER_MEMORY_MS > now) break;
      this.#offers.delete(key);
    }
    this.#offers.set(refKey(offer.ref), offer);
  }
}
