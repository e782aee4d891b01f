import type { Clock } from "../ports/clock.ts";
import type { TaskRef, TaskResult } from "../ports/backend-server.ts";
import type { EntrySettings } from "../settings/entry-settings.ts";
import type { RequestRecord } from "../state/request-record.ts";
import type { FleetView, HeldServers, Peers, TaskStatus } from "./ports.ts";
import { waitAtMost } from "./wait.ts";
import type { StartOutcome } from "./work.ts";

/** How often the holder of an attempt's server is asked what became of it. */
const STATUS_INTERVAL_MS = 2000;
/** First question after the reply of a peer was lost. */
const LOST_REPLY_INTERVAL_MS = 500;
const CALL_TIMEOUT_MS = 1000;
/**
 * Unanswered questions after which an attempt is given up: at once if the request is idempotent,
 * which is tried elsewhere when its server's lease has lapsed, otherwise once its deadline passed.
 */
const UNANSWERED_LIMIT = 3;
/** Times that an attempt may be stated as finished before its result counts as lost. */
const FINISHED_LIMIT = 15;
/** Peers remember offers for twice this time; afterwards their answer would not be certain. */
const OFFER_QUESTION_MS = 60_000;

/** How an attempt ended. */
export type AttemptEnd =
  | { readonly kind: "result"; readonly server: string; readonly result: TaskResult }
  /** Certain. */
  | { readonly kind: "never-started" }
  /** It ran at least in part, or nobody knows whether it did; no result will come. */
  | { readonly kind: "lost" }
  /** The request has another home by now, which takes the result. */
  | { readonly kind: "moved" };

/** Outcomes after which an attempt may be running. */
export type PossibleStart = Extract<StartOutcome, { readonly kind: "started" | "ambiguous" }>;

/** Options of {@link AttemptTracker}. */
export interface AttemptTrackerOptions {
  readonly clock: Clock;
  readonly settings: Pick<EntrySettings, "resultRetentionMs">;
  readonly held: HeldServers;
  readonly peers: Peers;
  readonly fleet: FleetView;
}

interface Place {
  certain: boolean;
  server: string | undefined;
  readonly holder: string;
  readonly ref: TaskRef;
  readonly since: number;
}

/** Finds out what became of attempts whose results have not arrived. */
export class AttemptTracker {
  readonly #options: AttemptTrackerOptions;

  constructor(options: AttemptTrackerOptions) {
    this.#options = options;
  }

  /**
   * Waits for the result, and asks for the attempt's status meanwhile. An attempt that nobody can
   * tell about counts as lost, at once if it may be repeated, else from its request's deadline on.
   */
  async waitForEnd(
    outcome: PossibleStart,
    result: Promise<AttemptEnd>,
    { idempotent, deadline }: Pick<RequestRecord, "idempotent" | "deadline">,
  ): Promise<AttemptEnd> {
    const { clock } = this.#options;
    const place = this.#place(outcome);
    let unanswered = 0;
    let finished = 0;
    for (;;) {
      const interval = place.server === undefined ? LOST_REPLY_INTERVAL_MS : STATUS_INTERVAL_MS;
      const end = await waitAtMost(clock, result, interval);
      if (end !== undefined) return end;
      const status = await this.#status(place);
      if (status === "never-started") return this.#endOfUnstarted(place);
      if (status === "lost") return { kind: "lost" };
      finished = status === "finished" ? finished + 1 : 0;
      if (finished >= FINISHED_LIMIT) return { kind: "lost" };
      unanswered = status === "not-holder" ? unanswered + 1 : 0;
      const decided = idempotent || clock.now() >= deadline;
      if (decided && unanswered >= UNANSWERED_LIMIT) return { kind: "lost" };
    }
  }

  /** Waits for the result of an attempt whose server is not known here. */
  async waitForResult(result: Promise<AttemptEnd>, untilMs: number): Promise<AttemptEnd> {
    const { clock } = this.#options;
    return (await waitAtMost(clock, result, untilMs - clock.now())) ?? { kind: "lost" };
  }

  /** Resolves an ambiguous start on a server held here; true if it certainly never started. */
  async neverStarted(outcome: PossibleStart): Promise<boolean> {
    const { clock, settings } = this.#options;
    const place = this.#place(outcome);
    while (clock.now() - place.since < settings.resultRetentionMs) {
      await clock.sleep(STATUS_INTERVAL_MS);
      const status = await this.#status(place);
      if (status !== "not-holder") return status === "never-started";
    }
    return false;
  }

  #place(outcome: PossibleStart): Place {
    const { server, holder, ref } = outcome;
    const since = this.#options.clock.now();
    return { certain: outcome.kind === "started", server, holder, ref, since };
  }

  /**
   * A server forgets finished tasks, so "never started" is certain only for a start that was not
   * confirmed, and only while the server would still list the task.
   */
  #endOfUnstarted(place: Place): AttemptEnd {
    const { clock, settings } = this.#options;
    const listed = clock.now() - place.since < settings.resultRetentionMs / 2;
    return !place.certain && listed ? { kind: "never-started" } : { kind: "lost" };
  }

  async #status(place: Place): Promise<TaskStatus> {
    const { server, ref } = place;
    if (server === undefined) return this.#askOffer(place);
    const here = this.#options.held.status(server, ref);
    if (here !== "not-holder") return here;
    for (const peer of this.#candidates(place, server)) {
      const req = { type: "task-status", server, ...ref } as const;
      const reply = await this.#options.peers.call(peer, req, CALL_TIMEOUT_MS);
      if (reply.ok && reply.val.status !== "not-holder") return reply.val.status;
    }
    return this.#removed(server) ? "lost" : "not-holder";
  }

  /** The peer that announces the server, else the former holder and the entries of its zone. */
  #candidates(place: Place, server: string): readonly string[] {
    const gossip = [...this.#options.peers.gossip()];
    const holders = gossip.filter(([, peer]) => peer.message.held.includes(server));
    if (holders.length > 0) return holders.map(([incarnation]) => incarnation);
    const record = this.#options.fleet.current()?.servers.find((each) => each.name === server);
    const zone = gossip.filter(([, peer]) => peer.hello.zone === record?.zone);
    const others = zone.map(([incarnation]) => incarnation);
    return [place.holder, ...others.filter((each) => each !== place.holder)].filter(
      (each) => each !== this.#options.peers.self.incarnation,
    );
  }

  #removed(server: string): boolean {
    const fleet = this.#options.fleet.current();
    return fleet !== undefined && !fleet.servers.some((each) => each.name === server);
  }

  /** Repeats an offer with no time left: the peer then states what became of the first copy. */
  async #askOffer(place: Place): Promise<TaskStatus> {
    const { clock, peers } = this.#options;
    if (clock.now() - place.since > OFFER_QUESTION_MS) return "not-holder";
    const req = {
      type: "run",
      spec: emptySpec(place.ref),
      attempt: place.ref.attempt,
      home: peers.self.incarnation,
      offerMs: 0,
    } as const;
    const reply = await peers.call(place.holder, req, CALL_TIMEOUT_MS);
    if (reply.err) return "not-holder";
    if (reply.val.kind === "declined") return "never-started";
    place.server = reply.val.server;
    place.certain = reply.val.kind === "started";
    return "running";
  }
}

function emptySpec(ref: TaskRef) {
  return {
    requestId: ref.requestId,
    team: undefined,
    queue: "",
    priority: "normal",
    idempotent: false,
    timeoutMs: 0,
    payload: { contentType: "", body: new Uint8Array() },
  } as const;
}
