import { Err, Ok, type Result } from "ts-results";
import { LockTenure } from "../../../src/coordination/jobs/election/scheduler-lock.ts";
import { OrderExecutor } from "../../../src/coordination/jobs/execution/order-executor.ts";
import { RelayedBackendConnector } from "../../../src/coordination/jobs/execution/relayed-backend.ts";
import { PeerConnections } from "../../../src/coordination/jobs/peer-connections.ts";
import { Clock, type Timer } from "../../../src/ports/clock.ts";
import {
  JobBackend,
  JobBackendConnector,
  type BackendClock,
  type OrderResult,
  type PaceOrder,
  type PollOrder,
  type RunLists,
  type StartOrder,
  type StopOrder,
} from "../../../src/ports/job-backend.ts";
import type { Log } from "../../../src/ports/log.ts";
import {
  PeerConnection,
  PeerTransport,
  type PeerError,
} from "../../../src/ports/peer-transport.ts";
import type { PeerReply, PeerRequest, ReplyTo } from "../../../src/protocol/peer-messages.ts";
import { RecordedCounters } from "../observability-fakes.ts";
import { VirtualClock } from "../virtual-clock.ts";
import { peerHello } from "./cluster-peers.ts";

/** Duration in ms of a quick order at a backend server. */
const ORDER_MS = 2;
const NOOP_LOG = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

/** An order that reached a backend server. */
export interface SeenOrder {
  readonly kind: "start" | "stop" | "poll" | "pace";
  readonly server: string;
  readonly task?: string;
  readonly spec?: string;
  readonly token: number;
  readonly at: number;
}

/** Backend servers that record orders, answer quick ones at once and polls after their wait. */
export class RecordingConnector extends JobBackendConnector {
  readonly seen: SeenOrder[] = [];
  readonly clock: VirtualClock;

  constructor(clock: VirtualClock) {
    super();
    this.clock = clock;
  }

  /** Number of orders of a kind. */
  count(kind: SeenOrder["kind"]): number {
    return this.seen.filter((order) => order.kind === kind).length;
  }

  connect(_address: string, id: string): JobBackend {
    return new RecordingBackend(this, id);
  }
}

class RecordingBackend extends JobBackend {
  readonly #log: RecordingConnector;
  readonly #id: string;

  constructor(log: RecordingConnector, id: string) {
    super();
    this.#log = log;
    this.#id = id;
  }

  start({ task, spec, token }: StartOrder) {
    return this.#answer({ kind: "start", task, spec, token });
  }

  stop({ task, token }: StopOrder) {
    return this.#answer({ kind: "stop", task, token });
  }

  pace({ task, token }: PaceOrder) {
    return this.#answer({ kind: "pace", task, token });
  }

  async poll({ token, waitMs }: PollOrder): OrderResult<RunLists> {
    const { val } = await this.#answer({ kind: "poll", token }, waitMs);
    return Ok({ ...(val as BackendClock), bootedAt: 5, running: [], ended: [] });
  }

  async #answer(
    order: Omit<SeenOrder, "server" | "at">,
    waitMs = ORDER_MS,
  ): OrderResult<BackendClock> {
    const { clock, seen } = this.#log;
    seen.push({ ...order, server: this.#id, at: clock.now() });
    await clock.sleep(waitMs);
    return Ok({ clockMs: clock.now() });
  }
}

/** How the executor's process and its connection behave. */
export type ExecutorState =
  | "up"
  | "killed"
  /** Nothing is handled and nothing replied. */
  | "paused"
  /** As when paused, but what lies in the connection is handled when the process resumes. */
  | "frozen"
  | "replies-lost"
  | "malformed-replies"
  /** Closes the connection on an unknown message. */
  | "former-version";

/** The executor's clocks. They differ from the scheduler's, and tests move them. */
export class ExecutorTime extends Clock {
  /** Time in ms by which its clocks are ahead of the scheduler's. */
  monotonicAheadMs = 5_000_000;
  wallTimeAheadMs = -400_000;
  readonly #clock: VirtualClock;

  constructor(clock: VirtualClock) {
    super();
    this.#clock = clock;
  }

  now(): number {
    return this.#clock.now() + this.monotonicAheadMs;
  }

  wallTime(): number {
    return this.#clock.wallTime() + this.wallTimeAheadMs;
  }

  schedule(delayMs: number, callback: () => void): Timer {
    return this.#clock.schedule(delayMs, callback);
  }
}

/** A scheduler, one executor and 24 backend servers of one zone. */
export class RelayFixture {
  readonly clock = new VirtualClock();
  readonly counters = new RecordedCounters();
  /** Backend servers as reached by the scheduler itself, and by the executor. */
  readonly direct = new RecordingConnector(this.clock);
  readonly relayed = new RecordingConnector(this.clock);
  readonly batches: Uint8Array[] = [];
  readonly tenure = new LockTenure(this.clock, 7, 1, this.#time());
  readonly executorTime = new ExecutorTime(this.clock);
  /** Fields of the executor's warnings. */
  readonly warnings: Readonly<Record<string, unknown>>[] = [];
  state: ExecutorState = "up";
  executor = this.#newExecutor();
  readonly connector: RelayedBackendConnector;
  readonly backends: readonly JobBackend[];
  /** Time in ms of the last renewal of the lock. */
  renewedAt = 0;
  #renewing = true;
  #inConnection: (() => void)[] = [];

  constructor() {
    const transport = new FixtureTransport((req, timeoutMs) => this.#call(req, timeoutMs), this);
    this.connector = new RelayedBackendConnector({
      ...{ clock: this.clock, log: NOOP_LOG, counters: this.counters, tenure: this.tenure },
      ...{ direct: this.direct, name: "e0", linkBytesPerMs: 125_000 },
      connections: new PeerConnections({ transport, log: NOOP_LOG, self: peerHello("e0") }),
      sessions: () => SESSIONS,
    });
    this.backends = Array.from({ length: 24 }, (_, index) =>
      this.connector.connect(`10.0.0.${index}:1`, `s${index}`, { zone: "z" }),
    );
    void this.#renew();
  }

  /** A fixture whose executor has been found to relay. */
  static async ready(): Promise<RelayFixture> {
    const fixture = new RelayFixture();
    void fixture.poll(0);
    await fixture.clock.advance(20);
    fixture.direct.seen.length = 0;
    return fixture;
  }

  start(server: number, task = "t", spec = "spec") {
    return this.backends[server]!.start({ task, run: 1, spec, token: 7, deadlineMs: 2500 });
  }

  poll(server: number, waitMs = 0) {
    const order = { token: 7, deadlineMs: 6000, acknowledged: 0, waitMs };
    return this.backends[server]!.poll(order);
  }

  /** Replaces the executor's process, which loses all state. */
  restartExecutor(): void {
    this.executor = this.#newExecutor();
  }

  /** Lets a frozen executor go on, which first handles what lies in its connection. */
  resumeExecutor(): void {
    this.state = "up";
    for (const handle of this.#inConnection.splice(0)) handle();
  }

  /** Lets the lock lapse, although its record is not known to be lost. */
  stopRenewing(): void {
    this.#renewing = false;
  }

  #newExecutor(): OrderExecutor {
    const { counters, relayed, warnings } = this;
    const log: Log = {
      ...NOOP_LOG,
      warn: (fields: unknown) => {
        warnings.push(fields as Readonly<Record<string, unknown>>);
      },
    };
    return new OrderExecutor({ clock: this.executorTime, log, counters, connector: relayed });
  }

  async #call(req: PeerRequest, timeoutMs: number): Promise<Result<PeerReply, PeerError>> {
    if (req.type !== "order-batch") throw new Error("unexpected message");
    this.batches.push(req.batch);
    const { state } = this;
    if (state === "killed" || state === "former-version")
      return Err({ kind: "ambiguous", detail: "connection closed" });
    const silence = this.clock
      .sleep(timeoutMs)
      .then((): Result<PeerReply, PeerError> => Err({ kind: "ambiguous", detail: "no reply" }));
    if (state === "paused") return silence;
    if (state === "frozen") {
      this.#inConnection.push(() => void this.executor.handle("e0", req));
      return silence;
    }
    const handled = this.executor.handle("e0", req).then((reply) => Ok<PeerReply>(reply));
    if (state === "replies-lost") return silence;
    if (state === "malformed-replies")
      return Ok({ type: "order-results", results: Uint8Array.of(0x83, 1, 2) });
    return Promise.race([handled, silence]);
  }

  async #renew(): Promise<void> {
    while (this.#renewing) {
      this.renewedAt = this.clock.now();
      this.tenure.renewed(this.#time());
      await this.clock.sleep(300);
    }
  }

  #time() {
    return { now: this.clock.now(), wallTime: this.clock.wallTime() };
  }
}

const SESSIONS = ["e0", "e1"].map((name) => ({ name, peerAddress: name, zone: "z", strength: 1 }));

type Call = (req: PeerRequest, timeoutMs: number) => Promise<Result<PeerReply, PeerError>>;

class FixtureTransport extends PeerTransport {
  readonly #call: Call;
  readonly #fixture: RelayFixture;

  constructor(call: Call, fixture: RelayFixture) {
    super();
    this.#call = call;
    this.#fixture = fixture;
  }

  listen() {
    return Promise.resolve(Ok(undefined));
  }

  connect(): Promise<Result<PeerConnection, PeerError>> {
    if (this.#fixture.state === "killed")
      return Promise.resolve(Err({ kind: "not-sent", detail: "refused" }));
    return Promise.resolve(Ok(new FixtureConnection(this.#call)));
  }

  close() {
    return Promise.resolve();
  }
}

class FixtureConnection extends PeerConnection {
  readonly remote = peerHello("e1");
  open = true;
  readonly #call: Call;

  constructor(call: Call) {
    super();
    this.#call = call;
  }

  call<T extends PeerRequest>(req: T, timeoutMs: number) {
    return this.#call(req, timeoutMs) as Promise<Result<ReplyTo<T>, PeerError>>;
  }

  close(): void {
    this.open = false;
  }
}
