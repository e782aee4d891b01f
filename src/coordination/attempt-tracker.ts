import type { Clock } from "../ports/clock.ts";
import type { TaskRef, TaskResult } from "../ports/backend-server.ts";
import type { EntrySettings } from "../settings/entry-settings.ts";
import type { RequestRecord } from "../state/request-record.ts";
import type { FleetView, HeldServers, Peers, TaskStatus } from "./ports.ts";
import { waitAtMost } from "./wait.ts";
import type { StartOutcome } from "./work.ts";

/** Interval at which the holder of an attempt's server is queried for its status. */
const STATUS_INTERVAL_MS = 2000;
/** Query interval while the server is unknown because the reply of a peer was lost. */
const LOST_REPLY_INTERVAL_MS = 500;
const CALL_TIMEOUT_MS = 1000;
/**
 * Consecutive status queries without an answer after which an attempt counts as lost. For an
 * idempotent request this applies without further delay, so that it is retried elsewhere when its
 * server's lease has lapsed; for others only once the deadline has passed.
 */
const FAILED_QUERY_LIMIT = 3;
/** Consecutive `finished` statuses without a result after which the result counts as lost. */
const FINISHED_LIMIT = 15;
/**
 * Time for which a peer is asked about an offer. Peers remember ended offers for twice this time;
 * later replies would not be reliable.
 */
const OFFER_QUERY_MS = 60_000;

/** How an attempt ended. */
export type AttemptEnd =
  | { readonly kind: "result"; readonly server: string; readonly result: TaskResult }
  /** The attempt certainly did not start. */
  | { readonly kind: "never-started" }
  /** The attempt ran at least in part, or may have run; no result will arrive. */
  | { readonly kind: "lost" }
  /** The request now has another owner, which receives the result. */
  | { readonly kind: "moved" };

/** Start outcomes after which the attempt may be running. */
export type PossibleStart = Extract<StartOutcome, { readonly kind: "started" | "ambiguous" }>;

/** Options of {@link AttemptTracker}. */
export interface AttemptTrackerOptions {
  readonly clock: Clock;
  readonly settings: Pick<EntrySettings, "resultRetentionMs">;
  readonly held: HeldServers;
  readonly peers: Peers;
  readonly fleet: FleetView;
}

interface TrackedAttempt {
  /** True once the server or a peer confirmed the start. */
  confirmed: boolean;
  server: string | undefined;
  readonly holder: string;
  readonly ref: TaskRef;
  /** Monotonic time in milliseconds. */
  readonly trackedSince: number;
}

/** Determines how attempts ended whose results have not arrived. */
export class AttemptTracker {
  readonly #options: AttemptTrackerOptions;

  constructor(options: AttemptTrackerOptions) {
    this.#options = options;
  }

  /**
   * Waits for the result and polls the attempt's status meanwhile. For when an attempt without a
   * result counts as lost, see {@link FAILED_QUERY_LIMIT} and {@link FINISHED_LIMIT}.
   */
  async waitForEnd(
    outcome: PossibleStart,
    result: Promise<AttemptEnd>,
    { idempotent, deadline }: Pick<RequestRecord, "idempotent" | "deadline">,
  ): Promise<AttemptEnd> {
    const { clock } = this.#options;
    const attempt = this.#track(outcome);
    let failedQueries = 0;
    let finished = 0;
    for (;;) {
      const interval = attempt.server === undefined ? LOST_REPLY_INTERVAL_MS : STATUS_INTERVAL_MS;
      const end = await waitAtMost(clock, result, interval);
      if (end !== undefined) return end;
      const status = await this.#status(attempt);
      if (status === "never-started") return this.#endOfUnstarted(attempt);
      if (status === "lost") return { kind: "lost" };
      finished = status === "finished" ? finished + 1 : 0;
      if (finished >= FINISHED_LIMIT) return { kind: "lost" };
      failedQueries = status === "not-holder" ? failedQueries + 1 : 0;
      const mayCountAsLost = idempotent || clock.now() >= deadline;
      if (mayCountAsLost && failedQueries >= FAILED_QUERY_LIMIT) return { kind: "lost" };
    }
  }

  /** Waits for the result of an attempt on an unknown server; `lost` after `untilMs`. */
  async waitForResult(result: Promise<AttemptEnd>, untilMs: number): Promise<AttemptEnd> {
    const { clock } = this.#options;
    return (await waitAtMost(clock, result, untilMs - clock.now())) ?? { kind: "lost" };
  }

  /** Resolves an ambiguous start on a server held here; true if it certainly never happened. */
  async confirmNeverStarted(outcome: PossibleStart): Promise<boolean> {
    const { clock, settings } = this.#options;
    const attempt = this.#track(outcome);
    while (clock.now() - attempt.trackedSince < settings.resultRetentionMs) {
      await clock.sleep(STATUS_INTERVAL_MS);
      const status = await this.#status(attempt);
      if (status !== "not-holder") return status === "never-started";
    }
    return false;
  }

  #track(outcome: PossibleStart): TrackedAttempt {
    const { server, holder, ref } = outcome;
    const trackedSince = this.#options.clock.now();
    return { confirmed: outcome.kind === "started", server, holder, ref, trackedSince };
  }

  /**
   * A server drops finished tasks after a while. "Never started" is therefore certain only for an
   * unconfirmed start, and only while the server would still list the task.
   */
  #endOfUnstarted(attempt: TrackedAttempt): AttemptEnd {
    const { clock, settings } = this.#options;
    const listed = clock.now() - attempt.trackedSince < settings.resultRetentionMs / 2;
    return !attempt.confirmed && listed ? { kind: "never-started" } : { kind: "lost" };
  }

  async #status(attempt: TrackedAttempt): Promise<TaskStatus> {
    const { server, ref } = attempt;
    if (server === undefined) return this.#queryOffer(attempt);
    const here = this.#options.held.status(server, ref);
    if (here !== "not-holder") return here;
    for (const peer of this.#possibleHolders(attempt, server)) {
      const req = { type: "task-status", server, ...ref } as const;
      const reply = await this.#options.peers.call(peer, req, CALL_TIMEOUT_MS);
      if (reply.ok && reply.val.status !== "not-holder") return reply.val.status;
    }
    return this.#isRemoved(server) ? "lost" : "not-holder";
  }

  /**
   * The peers that report holding the server; without any, the holder at the start and the peers of
   * the server's zone.
   */
  #possibleHolders(attempt: TrackedAttempt, server: string): readonly string[] {
    const gossip = [...this.#options.peers.gossip()];
    const holders = gossip.filter(([, peer]) => peer.message.held.includes(server));
    if (holders.length > 0) return holders.map(([incarnation]) => incarnation);
    const record = this.#options.fleet.current()?.servers.find((each) => each.name === server);
    const zone = gossip.filter(([, peer]) => peer.hello.zone === record?.zone);
    const others = zone.map(([incarnation]) => incarnation);
    return [attempt.holder, ...others.filter((each) => each !== attempt.holder)].filter(
      (each) => each !== this.#options.peers.self.incarnation,
    );
  }

  #isRemoved(server: string): boolean {
    const fleet = this.#options.fleet.current();
    return fleet !== undefined && !fleet.servers.some((each) => each.name === server);
  }

  /**
   * Repeats an offer with a duration of 0. The peer replies with the outcome of the first copy; if
   * it has not received that, it declines both copies, so that the attempt never starts there.
   */
  async #queryOffer(attempt: TrackedAttempt): Promise<TaskStatus> {
    const { clock, peers } = this.#options;
    if (clock.now() - attempt.trackedSince > OFFER_QUERY_MS) return "not-holder";
    const req = {
      type: "run",
      spec: emptySpec(attempt.ref),
      attempt: attempt.ref.attempt,
      home: peers.self.incarnation,
      offerMs: 0,
    } as const;
    const reply = await peers.call(attempt.holder, req, CALL_TIMEOUT_MS);
    if (reply.err) return "not-holder";
    if (reply.val.kind === "declined") return "never-started";
    attempt.server = reply.val.server;
    attempt.confirmed = reply.val.kind === "started";
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
