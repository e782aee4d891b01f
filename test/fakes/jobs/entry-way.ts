import type { Clock, Timer } from "../../../src/ports/clock.ts";
import { Clock as AbstractClock } from "../../../src/ports/clock.ts";
import {
  JobBackend,
  JobBackendConnector,
  type OrderResult,
  type PaceOrder,
  type PollOrder,
  type StartOrder,
  type StopOrder,
} from "../../../src/ports/job-backend.ts";
import { Err } from "ts-results";
import type { StoreConnectivity } from "../../../src/state/jobs/election-delay.ts";
import {
  RecordStore,
  type RecordTransaction,
  type StoreResult,
} from "../../../src/ports/record-store.ts";
import type { MemoryRecordClient } from "../../../src/stand-ins/memory-record-store.ts";
import type { SimulatedJobServer } from "../../../src/stand-ins/simulated-job-server.ts";

const ORDER_TIMEOUT_MS = 900;

/** Bytes of a call beside what it carries. */
const CALL_BYTES = 400;

/** A link that carries calls one after the other. */
export class SlowLink {
  readonly #clock: Clock;
  readonly #bytesPerMs: number;
  #busyUntil = 0;

  constructor(clock: Clock, bytesPerMs: number) {
    this.#clock = clock;
    this.#bytesPerMs = bytesPerMs;
  }

  /** Resolves once a call of the given size has passed. */
  async carry(bytes: number): Promise<void> {
    const now = this.#clock.now();
    this.#busyUntil = Math.max(now, this.#busyUntil) + (CALL_BYTES + bytes) / this.#bytesPerMs;
    await this.#clock.sleep(this.#busyUntil - now);
  }
}

/** The state of one entry's process and of its ways out, switched by tests. */
export class EntryWay {
  /** The way to backend servers loses everything. */
  cutFromServers = false;
  /** The link that calls to the store and to backend servers share. */
  link: SlowLink | undefined;
  /** How the store is reported to be reached. */
  storeReach: StoreConnectivity = { disconnectedMs: 0, unresponsiveMs: 0 };
  readonly #clock: Clock;
  #frozen = false;
  #thawed: (() => void)[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Stops the process without it noticing; the monotonic clock goes on. */
  freeze(): void {
    this.#frozen = true;
  }

  thaw(): void {
    this.#frozen = false;
    const waiting = this.#thawed;
    this.#thawed = [];
    for (const resume of waiting) resume();
  }

  /** Resolves once the process runs. */
  running(): Promise<void> {
    if (!this.#frozen) return Promise.resolve();
    return new Promise((resolve) => this.#thawed.push(resolve));
  }

  /** What a process does in its own time happens only while it runs. */
  async pass<T>(call: () => Promise<T>): Promise<T> {
    await this.running();
    const result = await call();
    await this.running();
    return result;
  }

  /** The clock as the process sees it. */
  clock(): Clock {
    return new ProcessClock(this.#clock, this);
  }
}

class ProcessClock extends AbstractClock {
  readonly #clock: Clock;
  readonly #way: EntryWay;

  constructor(clock: Clock, way: EntryWay) {
    super();
    this.#clock = clock;
    this.#way = way;
  }

  now(): number {
    return this.#clock.now();
  }

  wallTime(): number {
    return this.#clock.wallTime();
  }

  schedule(delayMs: number, callback: () => void): Timer {
    let cancelled = false;
    const timer = this.#clock.schedule(delayMs, () => {
      void this.#way.running().then(() => {
        if (!cancelled) callback();
      });
    });
    return {
      cancel: () => {
        cancelled = true;
        timer.cancel();
      },
    };
  }
}

/** The store as one entry reaches it. */
export class EntryStore extends RecordStore {
  readonly #client: MemoryRecordClient;
  readonly #way: EntryWay;

  constructor(client: MemoryRecordClient, way: EntryWay) {
    super();
    this.#client = client;
    this.#way = way;
  }

  get(key: string) {
    return this.#way.pass(() => this.#client.get(key));
  }

  range(prefix: string) {
    return this.#way.pass(() => this.#client.range(prefix));
  }

  watch(prefix: string, after: number, waitMs: number) {
    return this.#way.pass(() => this.#client.watch(prefix, after, waitMs));
  }

  commit(txn: RecordTransaction): StoreResult<number> {
    const bytes = txn.puts.reduce((sum, { value }) => sum + value.length, 0);
    return this.#way.pass(async () => {
      await this.#way.link?.carry(bytes);
      return this.#client.commit(txn);
    });
  }

  grantLease(ttlMs: number) {
    return this.#way.pass(() => this.#client.grantLease(ttlMs));
  }

  renewLease(id: number) {
    return this.#way.pass(async () => {
      await this.#way.link?.carry(0);
      return this.#client.renewLease(id);
    });
  }

  revokeLease(id: number) {
    return this.#way.pass(() => this.#client.revokeLease(id));
  }
}

/** The backend servers as one entry reaches them. */
export class EntryConnector extends JobBackendConnector {
  readonly #clock: Clock;
  readonly #way: EntryWay;
  readonly #servers: ReadonlyMap<string, SimulatedJobServer>;

  constructor(clock: Clock, way: EntryWay, servers: ReadonlyMap<string, SimulatedJobServer>) {
    super();
    this.#clock = clock;
    this.#way = way;
    this.#servers = servers;
  }

  connect(_address: string, id: string): JobBackend {
    const server = this.#servers.get(id);
    if (server === undefined) throw new Error(`no server ${id}`);
    return new EntryBackend(this.#clock, this.#way, server.client());
  }
}

class EntryBackend extends JobBackend {
  readonly #clock: Clock;
  readonly #way: EntryWay;
  readonly #backend: JobBackend;

  constructor(clock: Clock, way: EntryWay, backend: JobBackend) {
    super();
    this.#clock = clock;
    this.#way = way;
    this.#backend = backend;
  }

  start(order: StartOrder) {
    return this.#order(() => this.#backend.start(order), order.spec.length);
  }

  stop(order: StopOrder) {
    return this.#order(() => this.#backend.stop(order));
  }

  poll(order: PollOrder) {
    return this.#order(() => this.#backend.poll(order));
  }

  pace(order: PaceOrder) {
    return this.#order(() => this.#backend.pace(order));
  }

  /** The way may have been cut since the order was sent. */
  #lost(): boolean {
    return this.#way.cutFromServers;
  }

  #order<T>(call: () => OrderResult<T>, bytes = 0): OrderResult<T> {
    const { link } = this.#way;
    if (link !== undefined) return this.#carried(link, call, bytes);
    return this.#way.pass(async () => {
      const reached = !this.#way.cutFromServers;
      const result = reached ? await call() : undefined;
      if (result !== undefined && !this.#lost()) return result;
      await this.#clock.sleep(ORDER_TIMEOUT_MS);
      return Err({ kind: "unknown", detail: "no answer" });
    });
  }

  /** A call that waits too long for the link is given up, and carried out all the same. */
  #carried<T>(link: SlowLink, call: () => OrderResult<T>, bytes: number): OrderResult<T> {
    const given: OrderResult<T> = this.#clock
      .sleep(ORDER_TIMEOUT_MS)
      .then(() => Err({ kind: "unknown", detail: "no answer" }));
    return Promise.race([link.carry(bytes).then(call), given]);
  }
}
