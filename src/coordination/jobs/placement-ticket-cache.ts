import PQueue from "p-queue";
import type { Clock } from "../../ports/clock.ts";
import type { Log } from "../../ports/log.ts";
import { MAX_ADVISED_SERVERS, type PlacementAdvisor } from "../../ports/placement-advisor.ts";
import type { AdviceCost } from "../../protocol/fleet-config.ts";
import { formatStepName } from "../../protocol/job-spec.ts";
import type { StepRun } from "../../state/jobs/job.ts";

/** Time for an answer beyond what the advisor needs for the question, in milliseconds. */
const ANSWER_MARGIN_MS = 1500;
/** Tickets that end within this time in ms are not used any more. */
const EXPIRY_MARGIN_MS = 300;
const RETRY_MS = 300;

/** Options of {@link PlacementTicketCache}. */
export interface PlacementTicketCacheOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly advisor: PlacementAdvisor;
  /** Called when new tickets are there. */
  readonly onTicketsAdded: () => void;
}

interface Ticket {
  readonly ticket: string;
  readonly expiresAt: number;
}

interface StepAdvice {
  readonly tickets: Map<string, Ticket>;
  /** Servers that were asked about, with the time until which the answer holds. */
  readonly asked: Map<string, number>;
}

/** Tickets of the placement advisor, asked for in batches and kept while they hold. */
export class PlacementTicketCache {
  readonly #options: PlacementTicketCacheOptions;
  readonly #steps = new Map<string, StepAdvice>();
  /** The advisor handles one call of an instance at a time. */
  readonly #queue = new PQueue({ concurrency: 1 });

  constructor(options: PlacementTicketCacheOptions) {
    this.#options = options;
  }

  /** Ticket of a step for a server; undefined if there is none that holds. */
  ticket(step: StepRun, server: string): string | undefined {
    const ticket = this.#steps.get(nameOf(step))?.tickets.get(server);
    const now = this.#options.clock.now();
    return ticket !== undefined && ticket.expiresAt > now ? ticket.ticket : undefined;
  }

  /** A server refused the ticket. */
  refused(step: StepRun, server: string): void {
    const advice = this.#steps.get(nameOf(step));
    advice?.tickets.delete(server);
    advice?.asked.delete(server);
  }

  /** Asks about the servers of which nothing is known that holds. */
  request(step: StepRun, servers: readonly string[], cost: AdviceCost): void {
    const now = this.#options.clock.now();
    const name = nameOf(step);
    const advice = this.#steps.get(name) ?? { tickets: new Map(), asked: new Map() };
    this.#steps.set(name, advice);
    const unknown = servers.filter((server) => (advice.asked.get(server) ?? 0) <= now);
    const batch = unknown.slice(0, MAX_ADVISED_SERVERS);
    if (batch.length === 0) return;
    for (const server of batch) advice.asked.set(server, Infinity);
    void this.#queue.add(() => this.#ask(name, advice, batch, cost));
  }

  /** Forgets the steps of a job. */
  removeJob(job: string): void {
    for (const name of this.#steps.keys()) if (name.startsWith(`${job}.`)) this.#steps.delete(name);
  }

  async #ask(
    name: string,
    { tickets, asked }: StepAdvice,
    servers: readonly string[],
    { decideMs, eachMs, validMs }: AdviceCost,
  ): Promise<void> {
    const { clock, log, advisor, onTicketsAdded: wake } = this.#options;
    const askedAt = clock.now();
    const timeoutMs = decideMs + eachMs * servers.length + ANSWER_MARGIN_MS;
    const result = await advisor.advise(name, servers, timeoutMs);
    if (result.err) {
      log.warn({ step: name, servers: servers.length, err: result.val }, "no placement advice");
      for (const server of servers) asked.set(server, clock.now() + RETRY_MS);
      return;
    }
    const expiresAt = askedAt + (result.val.validMs || validMs) - EXPIRY_MARGIN_MS;
    for (const server of servers) asked.set(server, expiresAt);
    for (const [server, ticket] of result.val.tickets) tickets.set(server, { ticket, expiresAt });
    log.debug({ step: name, servers: servers.length, good: result.val.tickets.size }, "advice");
    wake();
  }
}

function nameOf(step: StepRun): string {
  const { job, occurrence, position } = step;
  return formatStepName({ job: job.spec.id, occurrence, step: position });
}
