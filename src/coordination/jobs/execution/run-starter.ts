import type { Clock } from "../../../ports/clock.ts";
import type { OrderError, OrderResult } from "../../../ports/job-backend.ts";
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
import type { ServerDriver, StartReply } from "./server-driver.ts";

/** Pause in ms before a task is started again after its start failed. */
const RETRY_START_PAUSE_MS = 250;
/** Pause in ms before a backend server that refused a start receives another one. */
const REFUSING_SERVER_PAUSE_MS = 1000;
/** Estimated bytes of a start order without its job spec. */
const ORDER_OVERHEAD_BYTES = 500;

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
    this.#window.reserve(run, ORDER_OVERHEAD_BYTES + run.task.job.spec.spec.length);
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
    else this.#handleReply(run, server, result.val);
    server.requestPoll();
  }

  /** Records that a start was accepted. The run stays unconfirmed, since the reply names no boot. */
  #handleReply(run: ActiveRun, server: ServerDriver, reply: StartReply): void {
    const { log, counters, setPhase } = this.#options;
    const { task, phase } = run;
    if (reply.fromLaterBoot) {
      log.info({ task: task.name, run: run.run, server: server.id }, "start reply of a later boot");
      counters.event("start_reply_of_later_boot");
    }
    setPhase(run, phase === "starting" ? "running" : phase);
    recordStarted(run, reply);
  }

  #sendOrder(run: ActiveRun, server: ServerDriver): OrderResult<StartReply> {
    const { task } = run;
    return server.start({
      ...{ task: task.name, run: run.run, spec: task.job.spec.spec },
      ...(task.checkpoint === "" ? {} : { checkpoint: task.checkpoint }),
      ...this.#ticket(run),
    });
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
    // The order did not reach the server.
    if (err.kind === "not-sent") server.notBefore = clock.now() + RETRY_START_PAUSE_MS;
    if (err.kind === "ticket") ticketCache.discardTicket(task.step, server.id);
    task.notBefore = clock.now() + RETRY_START_PAUSE_MS;
    notStarted(run);
  }
}
