import type { Clock } from "../ports/clock.ts";
import type { Random } from "../ports/random.ts";
import type { TaskResult } from "../ports/backend-server.ts";
import type { Dispatcher } from "./dispatcher.ts";
import { maySee, type OwnedRequests } from "./owned-requests.ts";
import type { Counters, FinishedTask, HeldServers, RequestOwnership, Peers } from "./ports.ts";
import { refKey } from "./work.ts";

const CALL_TIMEOUT_MS = 2000;
const RETRY_BASE_MS = 100;
const RETRY_CAP_MS = 5000;

/** Options of {@link ResultDelivery}. */
export interface ResultDeliveryOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly held: HeldServers;
  readonly ownership: RequestOwnership;
  readonly peers: Peers;
  readonly counters: Counters;
  readonly dispatcher: Dispatcher;
  readonly ownedRequests: OwnedRequests;
}

/** Delivers each result to its request's owner, and only then lets the server drop it. */
export class ResultDelivery {
  readonly #options: ResultDeliveryOptions;
  readonly #inProgress = new Set<string>();
  /** Results that no owner accepted; they stay on their server and can be queried here. */
  readonly #unclaimed = new Map<string, FinishedTask>();

  constructor(options: ResultDeliveryOptions) {
    this.#options = options;
    options.held.onFinished((task) => {
      options.dispatcher.taskEnded(task);
      void this.#deliver(task);
    });
  }

  /** Result of a request without an owner, if a held server has it and the team may see it. */
  unclaimedResult(requestId: string, team: string | undefined): TaskResult | undefined {
    this.#pruneUnclaimed();
    const record = this.#unclaimed.get(requestId)?.record;
    return record !== undefined && maySee(record, team) ? record.result : undefined;
  }

  async #deliver(task: FinishedTask): Promise<void> {
    const { clock, random, held } = this.#options;
    const key = refKey(task.record);
    if (task.record.result === undefined || this.#inProgress.has(key)) return;
    this.#inProgress.add(key);
    for (let delay = RETRY_BASE_MS; ; delay = Math.min(RETRY_CAP_MS, delay * 2)) {
      const end = await this.#tryDeliver(task, task.record.result);
      if (end === "stored") {
        this.#unclaimed.delete(task.record.requestId);
        await held.acknowledge(task.server, task.record);
      }
      if (end !== "again") break;
      await clock.sleep(delay / 2 + (random.next() * delay) / 2);
      if (held.status(task.server, task.record) === "not-holder") break;
    }
    this.#inProgress.delete(key);
  }

  async #tryDeliver(
    { server, record }: FinishedTask,
    result: TaskResult,
  ): Promise<"stored" | "unclaimed" | "again"> {
    const { ownership, ownedRequests, peers, counters } = this.#options;
    const { requestId, attempt } = record;
    const lookup = ownership.lookup(requestId);
    if (lookup.kind === "self") {
      const own = record.home === peers.self.incarnation || ownedRequests.hasRecord(requestId);
      if (own) ownedRequests.deliver(record, server, result);
      else ownedRequests.storeResultOfFormerOwner({ server, record });
      return "stored";
    }
    if (lookup.kind === "gone") {
      counters.event("result_homeless");
      this.#keepUnclaimed({ server, record });
      return "unclaimed";
    }
    if (lookup.kind === "moving") return "again";
    const req = { type: "result", requestId, attempt, server, result } as const;
    const reply = await peers.call(lookup.incarnation, req, CALL_TIMEOUT_MS);
    if (reply.ok && reply.val.accepted) return "stored";
    if (reply.ok) this.#keepUnclaimed({ server, record });
    return "again";
  }

  #keepUnclaimed(task: FinishedTask): void {
    this.#pruneUnclaimed();
    this.#unclaimed.set(task.record.requestId, task);
  }

  #pruneUnclaimed(): void {
    for (const [requestId, { server, record }] of this.#unclaimed) {
      if (this.#options.held.status(server, record) === "not-holder")
        this.#unclaimed.delete(requestId);
    }
  }
}
