import type { Clock } from "../../ports/clock.ts";
import type { BackendClock, OrderError, OrderResult } from "../../ports/job-backend.ts";
import type { Log } from "../../ports/log.ts";
import type { ActiveRun, RunRegistry, RunPhase } from "../../state/jobs/run-registry.ts";
import { recordStarted } from "../../state/jobs/run-progress.ts";
import { SendWindow } from "../../state/jobs/send-window.ts";
import type { Counters } from "../ports.ts";
import type { PlacementTicketCache } from "./placement-ticket-cache.ts";
import type { LockTenure } from "./scheduler-lock.ts";
import type { StartForwarder } from "./start-forwarder.ts";
import type { ServerDriver } from "./server-driver.ts";

/** Pause before a task is started again after its start was refused, in milliseconds. */
const REFUSED_START_PAUSE_MS = 250;
/** Pause before a backend server that refused a start is asked again, in milliseconds. */
const REFUSING_SERVER_PAUSE_MS = 1000;
/** Bytes of a start order beside the text of its job. */
const ORDER_BYTES = 500;
/** With a smaller window starts go through the peers that accepted the jobs. */
const CARRY_BELOW_BYTES = 64_000;
/** Time in ms for which a peer that did not carry out a start is not asked again. */
const AVOIDED_PEER_MS = 2000;

/** Options of {@link RunStarter}. */
export interface RunStarterOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly counters: Counters;
  readonly tenure: LockTenure;
  readonly advice: PlacementTicketCache;
  readonly book: RunRegistry;
  readonly driver: (server: string) => ServerDriver | undefined;
  /** Capacity of this instance's link. */
  readonly linkBytesPerMs: number;
  readonly carrier: StartForwarder;
  /** Peer address of this entry instance. */
  readonly ownAddress: string;
  readonly setPhase: (run: ActiveRun, phase: RunPhase) => void;
  /** Called with runs that were certainly not started. */
  readonly notStarted: (run: ActiveRun) => void;
  /** Called when work may be placed. */
  readonly wake: () => void;
}

/** Orders the starts of recorded placements, at the pace at which they are answered. */
export class RunStarter {
  readonly #options: RunStarterOptions;
  readonly #window: SendWindow;
  /** Peers that did not carry out a start, with the monotonic time in ms until which it lasts. */
  readonly #avoided = new Map<string, number>();

  constructor(options: RunStarterOptions) {
    this.#options = options;
    this.#window = new SendWindow(options.linkBytesPerMs);
  }

  /** True if a further start may be placed. */
  get canStartMore(): boolean {
    return this.#window.open;
  }

  /** Bytes of start orders that may be under way at a time. */
  get windowBytes(): number {
    return this.#window.bytes;
  }

  /** Counts a placement whose start will be ordered once it is recorded. */
  reserve(run: ActiveRun): void {
    const text = this.#carrierOf(run) === undefined ? run.task.job.spec.spec.length : 0;
    this.#window.reserve(run, ORDER_BYTES + text);
  }

  /** The start of a placement won't be ordered. */
  cancel(run: ActiveRun): void {
    this.#window.release(run);
  }

  /** Orders the start of a recorded placement. */
  async start(run: ActiveRun): Promise<void> {
    const { driver, tenure, clock, log, setPhase: enter, notStarted, book, wake } = this.#options;
    const server = driver(run.server);
    const { task } = run;
    if (server === undefined || server.closed || !tenure.valid) {
      // Nothing was ordered, so the task may go elsewhere at once.
      notStarted(run);
      return;
    }
    enter(run, "starting");
    log.debug({ task: task.name, run: run.run, server: run.server }, "run ordered");
    const sentAt = clock.now();
    const result = await this.#order(run, server);
    this.#window.release(run);
    this.#window.observe(clock.now() - sentAt);
    wake();
    if (book.forTask(task.name) !== run) return;
    if (result.err) this.#failed(run, server, result.val);
    else {
      enter(run, run.phase === "starting" ? "running" : run.phase);
      recordStarted(run, result.val);
    }
    server.requestPoll();
  }

  async #order(run: ActiveRun, server: ServerDriver): OrderResult<BackendClock> {
    const { task } = run;
    const order = {
      ...{ task: task.name, run: run.run, spec: task.job.spec.spec },
      ...(task.checkpoint === "" ? {} : { checkpoint: task.checkpoint }),
      ...this.#ticket(run),
    };
    const peer = this.#carrierOf(run);
    if (peer === undefined) return server.start(order);
    const { carrier, counters } = this.#options;
    const { address, id } = server.registration;
    const carried = await server.start(order, ({ spec: _text, ...start }) =>
      carrier.start(peer, { ...start, job: task.job.spec.id, address, server: id }),
    );
    if (carried.ok || carried.val.kind !== "not-sent") return carried;
    counters.event("start_not_carried");
    this.#avoided.set(peer, this.#options.clock.now() + AVOIDED_PEER_MS);
    // The lock may have ended while the peer was waited for.
    return this.#options.tenure.valid ? server.start(order) : carried;
  }

  /** Peer that has the text of a run's job; undefined if this instance better sends it itself. */
  #carrierOf({ task }: ActiveRun): string | undefined {
    const { acceptedBy } = task.job.spec;
    const { ownAddress, clock } = this.#options;
    if (acceptedBy === undefined || acceptedBy === ownAddress) return undefined;
    if (this.#window.bytes >= CARRY_BELOW_BYTES) return undefined;
    return (this.#avoided.get(acceptedBy) ?? 0) > clock.now() ? undefined : acceptedBy;
  }

  #ticket({ task, server }: ActiveRun): { readonly ticket?: string } {
    const ticket = this.#options.advice.ticket(task.step, server);
    return ticket === undefined ? {} : { ticket };
  }

  #failed(run: ActiveRun, server: ServerDriver, err: OrderError): void {
    const { clock, log, counters, advice, setPhase: enter, notStarted } = this.#options;
    const { task } = run;
    log.warn({ task: task.name, run: run.run, server: server.id, err }, "start failed");
    counters.event(`start_failed_${err.kind}`);
    if (err.kind === "unknown") {
      enter(run, run.phase === "stopping" ? "stopping" : "unconfirmed");
      return;
    }
    if (err.kind === "not-done") server.health.failed(task.job.spec.id, clock.now());
    if (err.kind === "not-done" || err.kind === "no-room")
      server.notBefore = clock.now() + REFUSING_SERVER_PAUSE_MS;
    // A start that waited for a connection of this instance says nothing of the server.
    if (err.kind === "not-sent") server.notBefore = clock.now() + REFUSED_START_PAUSE_MS;
    if (err.kind === "ticket") advice.refused(task.step, server.id);
    task.notBefore = clock.now() + REFUSED_START_PAUSE_MS;
    notStarted(run);
  }
}
