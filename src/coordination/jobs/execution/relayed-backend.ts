import { Err } from "ts-results";
import type { Clock } from "../../../ports/clock.ts";
import {
  JobBackend,
  JobBackendConnector,
  type BackendClock,
  type ConnectOptions,
  type OrderResult,
  type PaceOrder,
  type PollOrder,
  type RunLists,
  type StartOrder,
  type StopOrder,
} from "../../../ports/job-backend.ts";
import type { SessionRecord } from "../../../protocol/job-records.ts";
import { ExecutorAssignment } from "../../../state/jobs/execution/executor-assignment.ts";
import type { OrderContent } from "./batch-builder.ts";
import { ExecutorLink, type ExecutorLinkOptions } from "./executor-link.ts";

/** After an executor failed to reach a server, the server gets its orders directly for this time. */
const SERVER_BACKOFF_MS = 2000;

/** A link below this bandwidth (3.4 Mbit/s) is relieved by executors whatever the fleet's size. */
const SLOW_LINK_BYTES_PER_MS = 425;

/** Options of {@link RelayedBackendConnector}. */
export interface RelayedBackendConnectorOptions extends ExecutorLinkOptions {
  /** Sends orders without an executor. */
  readonly direct: JobBackendConnector;
  /** Name of this entry instance. */
  readonly name: string;
  /** Live entry instances. Another array after each change. */
  readonly sessions: () => readonly SessionRecord[];
}

/**
 * Opens clients of backend servers that send each order through the server's executor, or directly
 * while there is none that works. Belongs to one tenure of the lock.
 */
export class RelayedBackendConnector extends JobBackendConnector {
  readonly #options: RelayedBackendConnectorOptions;
  readonly #servers = new Map<string, RelayedBackend>();
  readonly #assignment: ExecutorAssignment;
  /** By peer address. */
  readonly #links = new Map<string, ExecutorLink>();
  #assignedFrom: readonly SessionRecord[] | undefined;

  constructor(options: RelayedBackendConnectorOptions) {
    super();
    this.#options = options;
    const slowLink = options.linkBytesPerMs < SLOW_LINK_BYTES_PER_MS;
    this.#assignment = new ExecutorAssignment(slowLink ? 0 : undefined);
  }

  connect(address: string, id: string, { zone }: ConnectOptions = {}): JobBackend {
    const direct = this.#options.direct.connect(address, id);
    if (zone === undefined) return direct;
    const backend = new RelayedBackend({
      ...{ direct, address, id, zone, clock: this.#options.clock },
      tenureValid: () => this.#options.tenure.valid,
      link: (server) => this.#link(server),
      closed: (server) => {
        this.#remove(server);
      },
    });
    this.#servers.set(id, backend);
    this.#assignedFrom = undefined;
    return backend;
  }

  /** A link that takes orders for the server now; undefined if it gets them directly. */
  #link(server: RelayedBackend): ExecutorLink | undefined {
    const { sessions, name, counters } = this.#options;
    const current = sessions();
    if (current !== this.#assignedFrom) {
      this.#assignedFrom = current;
      this.#assignment.update(this.#servers.values(), current, name);
    }
    const executor = this.#assignment.executor(server);
    if (executor === undefined) return undefined;
    let link = this.#links.get(executor.peerAddress);
    if (link === undefined) {
      link = new ExecutorLink(this.#options, executor);
      this.#links.set(executor.peerAddress, link);
    }
    if (link.ready) return link;
    counters.event("relay_direct_orders");
    return undefined;
  }

  #remove(server: RelayedBackend): void {
    if (this.#servers.get(server.id) !== server) return;
    this.#servers.delete(server.id);
    this.#assignment.forget(server.id);
    this.#assignedFrom = undefined;
  }
}

interface RelayedBackendOptions {
  readonly direct: JobBackend;
  readonly address: string;
  readonly id: string;
  readonly zone: string;
  readonly clock: Clock;
  readonly tenureValid: () => boolean;
  readonly link: (server: RelayedBackend) => ExecutorLink | undefined;
  readonly closed: (server: RelayedBackend) => void;
}

/** Client of one backend server. Decides for each order whether it goes through the executor. */
class RelayedBackend extends JobBackend {
  readonly address: string;
  readonly id: string;
  readonly zone: string;
  readonly #options: RelayedBackendOptions;
  /** Monotonic time in ms until which the executor is not used. */
  #directUntil = 0;

  constructor(options: RelayedBackendOptions) {
    super();
    this.#options = options;
    this.address = options.address;
    this.id = options.id;
    this.zone = options.zone;
  }

  start(order: StartOrder): OrderResult<BackendClock> {
    const link = this.#link();
    if (link === undefined) return this.#options.direct.start(order);
    const { spec, ...content } = order;
    return this.#relay(link, { kind: "start", order: content }, spec, (direct) =>
      direct.start(order),
    );
  }

  stop(order: StopOrder): OrderResult<BackendClock> {
    const link = this.#link();
    if (link === undefined) return this.#options.direct.stop(order);
    return this.#relay(link, { kind: "stop", order }, undefined, (direct) => direct.stop(order));
  }

  poll(order: PollOrder): OrderResult<RunLists> {
    const link = this.#link();
    if (link === undefined) return this.#options.direct.poll(order);
    return this.#relay(link, { kind: "poll", order }, undefined, (direct) => direct.poll(order));
  }

  pace(order: PaceOrder): OrderResult<BackendClock> {
    const link = this.#link();
    if (link === undefined) return this.#options.direct.pace(order);
    return this.#relay(link, { kind: "pace", order }, undefined, (direct) => direct.pace(order));
  }

  override close(): void {
    this.#options.closed(this);
  }

  #link(): ExecutorLink | undefined {
    const { clock, link } = this.#options;
    return this.#directUntil > clock.now() ? undefined : link(this);
  }

  /**
   * Sends an order through the executor, and directly if that certainly did nothing. A start of
   * unknown outcome is never repeated; the other orders have the same effect when sent twice.
   */
  async #relay<T extends BackendClock>(
    link: ExecutorLink,
    content: OrderContent,
    spec: string | undefined,
    sendDirectly: (direct: JobBackend) => OrderResult<T>,
  ): OrderResult<T> {
    const { clock, direct, tenureValid } = this.#options;
    const outcome = await link.submit(this, content, spec);
    if (outcome.kind === "answered") {
      const { result } = outcome;
      // The cast is safe: the link checks that the result is of the order's kind.
      if (result.ok) return result as Awaited<OrderResult<T>>;
      const { kind } = result.val;
      if (kind !== "not-sent" && kind !== "unknown") return Err(result.val);
      this.#directUntil = clock.now() + SERVER_BACKOFF_MS;
      if (kind === "unknown" || !tenureValid()) return Err(result.val);
      return sendDirectly(direct);
    }
    const { kind, detail } = outcome;
    const repeatable = kind === "not-sent" || content.kind !== "start";
    if (repeatable && tenureValid()) return sendDirectly(direct);
    return Err({ kind, detail });
  }
}
