import type { Clock } from "../../../ports/clock.ts";
import type { BackendClock, OrderError, OrderResult } from "../../../ports/job-backend.ts";
import type { Log } from "../../../ports/log.ts";
import type {
  ActiveRun,
  RunRegistry,
  RunPhase,
} from "../../../state/jobs/execution/run-registry.ts";
import { recordStarted } from "../../../state/jobs/execution/run-progress.ts";
import { SendWindow } from "../../../state/jobs/execution/send-window.ts";
import type { Counters } from "../../ports.ts";
import type { PlacementTicketCache } from "../scheduling/placement-ticket-cache.ts";
import type { LockTenure } from "../election/scheduler-lock.ts";
import type { StartForwarder } from "./start-forwarder.ts";
import type { ServerDriver } from "./server-driver.ts";

/** Pause in ms before a task is started again after its start failed. */
const REFUSED_START_PAUSE_MS = 250;
/** Pause in ms before a backend server that refused a start receives another one. */
const REFUSING_SERVER_PAUSE_MS = 1000;
/** Estimated bytes of a start order without its job spec. */
const ORDER_OVERHEAD_BYTES = 500;
/** Below this window size, starts are forwarded through the peers that accepted the jobs. */
const FORWARD_BELOW_WINDOW_BYTES = 64_000;
/** Time in ms for which no starts are forwarded to a peer that did not send one. */
const PEER_BACKOFF_MS = 2000;

/** Options of {@link RunStarter}. */
export interface RunStarterOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly counters: Counters;
  readonly tenure: LockTenure;
  readonly ticketCache: PlacementTicketCache;
  readonly runRegistry: RunRegistry;
  readonly driver: (server: string) => ServerDriver | undefined;
  /** Bandwidth of this entry instance's network link, in bytes per millisecond. */
  readonly linkBytesPerMs: number;
  readonly forwarder: StartForwarder;
  /** Peer address of this entry instance. */
  readonly ownAddress: string;
  readonly setPhase: (run: ActiveRun, phase: RunPhase) => void;
  /** Called with runs that have certainly not been started. */
  readonly notStarted: (run: ActiveRun) => void;
  /** Called when further tasks may be placed. */
  readonly requestRound: () => void;
}

/** Sends start orders for recorded placements, limited by a window that adapts to round trips. */
export class RunStarter {
  readonly #options: RunStarterOptions;
  readonly #window: SendWindow;
  /** Peers that failed to send a start, with the monotonic time in ms at which the backoff ends. */
  readonly #peerBackoff = new Map<string, number>();

  constructor(options: RunStarterOptions) {
    this.#options = options;
    this.#window = new SendWindow(options.linkBytesPerMs);
  }

  /** True if the window allows a further start. */
  get canStartMore(): boolean {
    return this.#window.open;
  }

  /** Limit of bytes of start orders in flight. */
  get windowBytes(): number {
    return this.#window.bytes;
  }

  /** Reserves window space for a placement that will be started once it is recorded. */
  reserve(run: ActiveRun): void {
    const specBytes = this.#forwardingPeer(run) === undefined ? run.task.job.spec.spec.length : 0;
    this.#window.reserve(run, ORDER_OVERHEAD_BYTES + specBytes);
  }

  /** Releases the window space of a placement that will not be started. */
  cancel(run: ActiveRun): void {
    this.#window.release(run);
  }

  /** Sends the start order of a recorded placement and handles its result. */
  async start(run: ActiveRun): Promise<void> {
    const { driver, tenure, clock, log, counters, setPhase, notStarted } = this.#options;
    const { runRegistry, requestRound } = this.#options;
    const server = driver(run.server);
    const { task } = run;
    if (server === undefined || server.closed || !tenure.valid) {
      // No order was sent, so the task can be placed elsewhere at once.
      notStarted(run);
      return;
    }
    // The zone may have been evacuated while the placement was being recorded.
    if (server.startValidMs <= 0) {
      counters.event("start_withheld_evacuation");
      notStarted(run);
      return;
    }
    setPhase(run, "starting");
    log.debug({ task: task.name, run: run.run, server: run.server }, "start order sent");
    const sentAt = clock.now();
    const result = await this.#sendOrder(run, server);
    this.#window.release(run);
    this.#window.observe(clock.now() - sentAt);
    requestRound();
    if (runRegistry.forTask(task.name) !== run) return;
    if (result.err) this.#handleFailure(run, server, result.val);
    else {
      setPhase(run, run.phase === "starting" ? "running" : run.phase);
      recordStarted(run, result.val);
    }
    server.requestPoll();
  }

  async #sendOrder(run: ActiveRun, server: ServerDriver): OrderResult<BackendClock> {
    const { task } = run;
    const order = {
      ...{ task: task.name, run: run.run, spec: task.job.spec.spec },
      ...(task.checkpoint === "" ? {} : { checkpoint: task.checkpoint }),
      ...this.#ticket(run),
    };
    const peer = this.#forwardingPeer(run);
    if (peer === undefined) return server.start(order);
    const { forwarder, counters } = this.#options;
    const { address, id } = server.registration;
    const forwarded = await server.start(order, ({ spec: _spec, ...start }) =>
      forwarder.start(peer, { ...start, job: task.job.spec.id, address, server: id }),
    );
    if (forwarded.ok || forwarded.val.kind !== "not-sent") return forwarded;
    counters.event("start_not_carried");
    this.#peerBackoff.set(peer, this.#options.clock.now() + PEER_BACKOFF_MS);
    // The lock may have expired while waiting for the peer.
    return this.#options.tenure.valid ? server.start(order) : forwarded;
  }

  /** Peer that holds the spec of the run's job; undefined if the start must be sent directly. */
  #forwardingPeer({ task }: ActiveRun): string | undefined {
    const { acceptedBy } = task.job.spec;
    const { ownAddress, clock } = this.#options;
    if (acceptedBy === undefined || acceptedBy === ownAddress) return undefined;
    if (this.#window.bytes >= FORWARD_BELOW_WINDOW_BYTES) return undefined;
    return (this.#peerBackoff.get(acceptedBy) ?? 0) > clock.now() ? undefined : acceptedBy;
  }

  #ticket({ task, server }: ActiveRun): { readonly ticket?: string } {
    const ticket = this.#options.ticketCache.ticket(task.step, server);
    return ticket === undefined ? {} : { ticket };
  }

  #handleFailure(run: ActiveRun, server: ServerDriver, err: OrderError): void {
    const { clock, log, counters, ticketCache, setPhase, notStarted } = this.#options;
    const { task } = run;
    log.warn({ task: task.name, run: run.run, server: server.id, err }, "start failed");
    counters.event(`start_failed_${err.kind}`);
    if (err.kind === "unknown") {
      setPhase(run, run.phase === "stopping" ? "stopping" : "unconfirmed");
      return;
    }
    if (err.kind === "not-done") server.health.failed(task.job.spec.id, clock.now());
    if (err.kind === "not-done" || err.kind === "no-room")
      server.notBefore = clock.now() + REFUSING_SERVER_PAUSE_MS;
    // The order waited for a connection of this entry instance; the server did not refuse it.
    if (err.kind === "not-sent") server.notBefore = clock.now() + REFUSED_START_PAUSE_MS;
    if (err.kind === "ticket") ticketCache.discardTicket(task.step, server.id);
    task.notBefore = clock.now() + REFUSED_START_PAUSE_MS;
    notStarted(run);
  }
}
