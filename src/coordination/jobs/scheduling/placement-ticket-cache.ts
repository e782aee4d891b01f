import PQueue from "p-queue";
import type { Clock } from "../../../ports/clock.ts";
import type { Log } from "../../../ports/log.ts";
import { MAX_ADVISED_SERVERS, type PlacementAdvisor } from "../../../ports/placement-advisor.ts";
import type { AdvisorTiming } from "../../../protocol/fleet-config.ts";
import { formatStepName } from "../../../protocol/job-spec.ts";
import type { StepRun } from "../../../state/jobs/records/job.ts";

/** Added to the advisor's stated decision time to get the call timeout, in milliseconds. */
const CALL_TIMEOUT_MARGIN_MS = 1500;
/** Tickets are discarded this many milliseconds before they expire. */
const EXPIRY_MARGIN_MS = 300;
/** Delay in ms before servers are requested again after a failed call. */
const RETRY_MS = 300;

/** Options of {@link PlacementTicketCache}. */
export interface PlacementTicketCacheOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly advisor: PlacementAdvisor;
  /** Called after new tickets were stored. */
  readonly onTicketsAdded: () => void;
}

interface Ticket {
  readonly ticket: string;
  readonly expiresAt: number;
}

interface StepAdvice {
  readonly tickets: Map<string, Ticket>;
  /** Time until which the advisor's answer is valid, by server; Infinity during a request. */
  readonly validUntil: Map<string, number>;
}

/** Requests tickets from the placement advisor in batches and caches them while they are valid. */
export class PlacementTicketCache {
  readonly #options: PlacementTicketCacheOptions;
  readonly #steps = new Map<string, StepAdvice>();
  /** The advisor handles one call per entry instance at a time. */
  readonly #queue = new PQueue({ concurrency: 1 });

  constructor(options: PlacementTicketCacheOptions) {
    this.#options = options;
  }

  /** Returns the ticket of a step for a server, or undefined if there is no valid one. */
  ticket(step: StepRun, server: string): string | undefined {
    const ticket = this.#steps.get(stepName(step))?.tickets.get(server);
    const now = this.#options.clock.now();
    return ticket !== undefined && ticket.expiresAt > now ? ticket.ticket : undefined;
  }

  /** Discards a ticket that the server refused, so that a new one is requested. */
  discardTicket(step: StepRun, server: string): void {
    const advice = this.#steps.get(stepName(step));
    advice?.tickets.delete(server);
    advice?.validUntil.delete(server);
  }

  /** Requests tickets for the servers that have no valid answer from the advisor. */
  requestTickets(step: StepRun, servers: readonly string[], timing: AdvisorTiming): void {
    const now = this.#options.clock.now();
    const name = stepName(step);
    const advice = this.#steps.get(name) ?? { tickets: new Map(), validUntil: new Map() };
    this.#steps.set(name, advice);
    const unknown = servers.filter((server) => (advice.validUntil.get(server) ?? 0) <= now);
    const batch = unknown.slice(0, MAX_ADVISED_SERVERS);
    if (batch.length === 0) return;
    for (const server of batch) advice.validUntil.set(server, Infinity);
    void this.#queue.add(() => this.#fetchTickets(name, advice, batch, timing));
  }

  /** Removes the tickets of all steps of a job. */
  removeJob(job: string): void {
    for (const name of this.#steps.keys()) if (name.startsWith(`${job}.`)) this.#steps.delete(name);
  }

  async #fetchTickets(
    name: string,
    { tickets, validUntil }: StepAdvice,
    servers: readonly string[],
    { decideMs, eachMs, validMs }: AdvisorTiming,
  ): Promise<void> {
    const { clock, log, advisor, onTicketsAdded } = this.#options;
    const requestedAt = clock.now();
    const timeoutMs = decideMs + eachMs * servers.length + CALL_TIMEOUT_MARGIN_MS;
    const result = await advisor.advise(name, servers, timeoutMs);
    if (result.err) {
      log.warn(
        { step: name, servers: servers.length, err: result.val },
        "placement advisor call failed",
      );
      for (const server of servers) validUntil.set(server, clock.now() + RETRY_MS);
      return;
    }
    const expiresAt = requestedAt + (result.val.validMs || validMs) - EXPIRY_MARGIN_MS;
    for (const server of servers) validUntil.set(server, expiresAt);
    for (const [server, ticket] of result.val.tickets) tickets.set(server, { ticket, expiresAt });
    log.debug(
      { step: name, servers: servers.length, good: result.val.tickets.size },
      "placement advice received",
    );
    onTicketsAdded();
  }
}

function stepName(step: StepRun): string {
  const { job, occurrence, position } = step;
  return formatStepName({ job: job.spec.id, occurrence, step: position });
}
