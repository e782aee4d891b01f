/** Ends charges of tasks on servers no longer held here, once the tasks are known to have ended. */
import type { Clock } from "../ports/clock.ts";
import type { Charge, TaskCharges } from "../state/task-charges.ts";
import type { FleetView, HeldServers, Peers, TaskStatus } from "./ports.ts";

const INTERVAL_MS = 2000;
const CALL_TIMEOUT_MS = 1000;
/** Maximum number of calls per round, oldest charges first; later ones follow once those ended. */
const MAX_CALLS = 64;

/** Options of {@link ChargeResolver}. */
export interface ChargeResolverOptions {
  readonly clock: Clock;
  readonly charges: TaskCharges;
  readonly held: HeldServers;
  readonly fleet: FleetView;
  readonly peers: Peers;
}

/** Periodically asks the current lease holders for the status of the charged tasks. */
export class ChargeResolver {
  readonly #options: ChargeResolverOptions;
  readonly #stopped = new AbortController();

  constructor(options: ChargeResolverOptions) {
    this.#options = options;
  }

  /** Runs until {@link stop}. */
  async run(): Promise<void> {
    const { clock } = this.#options;
    while (!this.#stopped.signal.aborted) {
      await clock.sleep(INTERVAL_MS, this.#stopped.signal);
      await this.resolve();
    }
  }

  stop(): void {
    this.#stopped.abort();
  }

  /** Checks all charges once. */
  async resolve(): Promise<void> {
    const { charges, held, fleet } = this.#options;
    const document = fleet.current();
    const known = new Set(document?.servers.map(({ name }) => name));
    const pending: { readonly charge: Charge; readonly holder: string }[] = [];
    for (const charge of charges.list()) {
      if (charge.server === undefined) continue;
      const status = held.status(charge.server, charge);
      if (status !== "not-holder") this.#apply(charge, status);
      // A server is removed from the fleet document only when it is known to be gone.
      else if (document !== undefined && !known.has(charge.server)) charges.endCharge(charge);
      else {
        const holder = this.#holderOf(charge.server);
        if (holder !== undefined) pending.push({ charge, holder });
      }
    }
    await Promise.all(
      pending.slice(0, MAX_CALLS).map((each) => this.#queryHolder(each.charge, each.holder)),
    );
  }

  async #queryHolder(charge: Charge, holder: string): Promise<void> {
    const { requestId, attempt, server } = charge;
    if (server === undefined) return;
    const req = { type: "task-status" as const, server, requestId, attempt };
    const reply = await this.#options.peers.call(holder, req, CALL_TIMEOUT_MS);
    if (reply.ok) this.#apply(charge, reply.val.status);
  }

  #apply(charge: Charge, status: TaskStatus): void {
    if (status !== "running" && status !== "not-holder") this.#options.charges.endCharge(charge);
  }

  #holderOf(server: string): string | undefined {
    for (const [incarnation, { message }] of this.#options.peers.gossip()) {
      if (message.held.includes(server)) return incarnation;
    }
    return undefined;
  }
}
